#include "standin/BackendQuery.h"

#include <charconv>
#include <cstdint>

namespace Coltsfootwell::Standin {

namespace {

std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const char *digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2) {
            out.push_back(static_cast<char>(code));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

} // namespace

std::string queryValue(std::string_view target, std::string_view key)
{
    std::size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string_view pair = target.substr(start + 1, end - start - 1);
        if (const std::size_t equals = pair.find('=');
            equals != std::string_view::npos && pair.substr(0, equals) == key) {
            return percentDecode(pair.substr(equals + 1));
        }
        start = end;
    }
    return {};
}

std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t fallback)
{
    const std::string text = queryValue(target, key);
    std::uint64_t n = fallback;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    return error == std::errc() && end == text.data() + text.size() ? n : fallback;
}

} // namespace Coltsfootwell::Standin
