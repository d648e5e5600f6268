#include "wire/StatusJson.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace json = boost::json;

std::string encodeStatus(const DaemonStatus &status)
{
    json::object object {{"daemon", status.id.name},     {"incarnation", status.id.incarnation},
                         {"region", status.region},      {"dataCentre", status.dataCentre},
                         {"version", status.version},    {"fresh", status.fresh},
                         {"freshnessAgeMs", nullptr},    {"logReachable", status.logReachable},
                         {"logReader", status.logReader}};
    if (status.age) {
        object["freshnessAgeMs"] = status.age->count();
    }
    return json::serialize(object);
}

std::optional<DaemonStatus> decodeStatus(std::string_view text)
{
    try {
        const json::value value = json::parse(json::string_view(text.data(), text.size()));
        DaemonStatus status;
        status.id = {json::value_to<std::string>(value.at("daemon")),
                     value.at("incarnation").to_number<Incarnation>()};
        status.region = json::value_to<std::string>(value.at("region"));
        status.dataCentre = json::value_to<std::string>(value.at("dataCentre"));
        status.version = value.at("version").to_number<ConfigurationVersion>();
        status.fresh = value.at("fresh").as_bool();
        if (const json::value &age = value.at("freshnessAgeMs"); !age.is_null()) {
            status.age = std::chrono::milliseconds(age.to_number<std::int64_t>());
        }
        status.logReachable = value.at("logReachable").as_bool();
        status.logReader = value.at("logReader").as_bool();
        return status;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Coltsfootwell
