#include "wire/JsonDiff.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

std::string serializeOrEmpty(const json::value *value)
{
    return value ? json::serialize(*value) : std::string();
}

void diffValues(const std::string &path, const json::value *before, const json::value *after,
                std::vector<JsonDifference> &out)
{
    if (before && after && before->is_object() && after->is_object()) {
        for (const auto &entry : before->get_object()) {
            diffValues(path + '/' + std::string(entry.key()), &entry.value(),
                       after->get_object().if_contains(entry.key()), out);
        }
        for (const auto &entry : after->get_object()) {
            if (!before->get_object().contains(entry.key())) {
                diffValues(path + '/' + std::string(entry.key()), nullptr, &entry.value(), out);
            }
        }
        return;
    }
    if (before && after && before->is_array() && after->is_array()
        && before->get_array().size() == after->get_array().size()) {
        for (std::size_t i = 0; i < before->get_array().size(); ++i) {
            diffValues(path + '/' + std::to_string(i), &before->get_array()[i],
                       &after->get_array()[i], out);
        }
        return;
    }
    if (std::string left = serializeOrEmpty(before), right = serializeOrEmpty(after);
        left != right) {
        out.push_back({path, std::move(left), std::move(right)});
    }
}

} // namespace

std::vector<JsonDifference> diffJson(std::string_view before, std::string_view after)
{
    const json::value left = json::parse(json::string_view(before.data(), before.size()));
    const json::value right = json::parse(json::string_view(after.data(), after.size()));
    std::vector<JsonDifference> differences;
    diffValues("", &left, &right, differences);
    return differences;
}

} // namespace Coltsfootwell
