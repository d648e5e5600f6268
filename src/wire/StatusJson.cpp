#include "wire/StatusJson.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace json = boost::json;

std::string encodeStatus(const DaemonStatus &status)
{
    return json::serialize(json::object {{"daemon", status.id.name},
                                         {"incarnation", status.id.incarnation},
                                         {"region", status.region},
                                         {"dataCentre", status.dataCentre},
                                         {"version", status.version},
                                         {"ready", status.ready}});
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
        status.ready = value.at("ready").as_bool();
        return status;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Coltsfootwell
