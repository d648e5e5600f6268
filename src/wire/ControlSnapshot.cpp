#include "wire/ControlSnapshot.h"

#include "wire/ConfigurationJson.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace json = boost::json;

std::string encodeSnapshot(const ControlSnapshot &snapshot)
{
    json::object object;
    object["position"] = snapshot.position.offset;
    object["epoch"] = snapshot.position.epoch;
    json::array &out = object["out"].emplace_array();
    for (const std::string &dataCentre : snapshot.outOfService) {
        out.emplace_back(dataCentre);
    }
    if (snapshot.configuration) {
        object["configuration"] = json::parse(encodeConfiguration(*snapshot.configuration));
    }
    return json::serialize(object);
}

} // namespace Coltsfootwell
