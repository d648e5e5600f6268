#include "wire/LeftProcessJson.h"

#include "wire/JsonFields.h"

namespace Coltsfootwell {

namespace json = boost::json;

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
        processes.push_back({item.requiredText("instance"),
                             item.integer<std::int64_t>("startMs", 0),
                             item.integer<std::int64_t>("announcedAtMs", 0)});
    });
    if (!fault.rule.empty()) {
        processes.clear();
    }
    return processes;
}

} // namespace Coltsfootwell
