#include "wire/HttpDialect.h"

#include <algorithm>

namespace Coltsfootwell {

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::ranges::equal(left, right, {}, lower, lower);
}

std::optional<std::string_view> headerValue(std::span<const HeaderField> fields,
                                            std::string_view name)
{
    const auto it = std::ranges::find_if(
        fields, [name](const HeaderField &field) { return equalHeaderNames(field.name, name); });
    return it == fields.end() ? std::nullopt : std::optional<std::string_view>(it->value);
}

void removeHeaders(std::vector<HeaderField> &fields, std::span<const std::string_view> names)
{
    std::erase_if(fields, [names](const HeaderField &field) {
        return std::ranges::any_of(
            names, [&field](std::string_view name) { return equalHeaderNames(field.name, name); });
    });
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view item = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const std::size_t begin = item.find_first_not_of(" \t");
        if (begin != std::string_view::npos) {
            items.emplace_back(item.substr(begin, item.find_last_not_of(" \t") - begin + 1));
        }
    }
    return items;
}

} // namespace Coltsfootwell
