#include "wire/LeftProcessJson.h"

#include "wire/JsonFields.h"

namespace Coltsfootwell {

namespace json = boost::json;

namespace {

/// \return Unix milliseconds; 0 if the field is missing.
std::int64_t readTime(const JsonFields &fields, std::string_view key)
{
    const auto time = fields.integer<std::int64_t>(key, 0);
    if (time < 0) {
        fields.fail(key, "must not be negative");
    }
    return time;
}

} // namespace

std::string encodeLeftProcesses(std::span<const LeftProcess> processes)
{
    json::array left;
    for (const LeftProcess &process : processes) {
        left.emplace_back(json::object {{"instance", process.instance},
                                        {"startMs", process.processStartMs},
                                        {"announcedAtMs", process.announcedAtMs}});
    }
    return json::serialize(json::object {{"left", left}});
}

std::vector<LeftProcess> decodeLeftProcesses(std::string_view text, JsonFault &fault)
{
    std::vector<LeftProcess> processes;
    const json::value document = parseObject(text, fault);
    if (!fault.rule.empty()) {
        return processes;
    }
    const JsonFields fields(document.get_object(), "", fault);
    fields.objects("left", [&processes](const JsonFields &item) {
        processes.push_back({item.requiredText("instance"), readTime(item, "startMs"),
                             readTime(item, "announcedAtMs")});
    });
    if (!fault.rule.empty()) {
        processes.clear();
    }
    return processes;
}

} // namespace Coltsfootwell
