#include "wire/ControlSnapshot.h"

#include "wire/ConfigurationJson.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace json = boost::json;

std::string encodeSnapshot(const ControlSnapshot &snapshot)
{
    json::object object;
    object["position"] = snapshot.position;
    json::array &out = object["out"].emplace_array();
    for (const std::string &dataCentre : snapshot.out) {
        out.emplace_back(dataCentre);
    }
    if (snapshot.configuration) {
        object["configuration"] = json::parse(encodeConfiguration(*snapshot.configuration));
    }
    return json::serialize(object);
}

std::optional<ControlSnapshot> decodeSnapshot(std::string_view text)
{
    boost::system::error_code ec;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    const json::object *object = ec ? nullptr : document.if_object();
    const json::value *position = object ? object->if_contains("position") : nullptr;
    const json::value *out = object ? object->if_contains("out") : nullptr;
    if (!position || !out || !out->is_array()) {
        return std::nullopt;
    }
    ControlSnapshot snapshot;
    snapshot.position = position->to_number<std::uint64_t>(ec);
    for (const json::value &dataCentre : out->get_array()) {
        if (!dataCentre.is_string()) {
            return std::nullopt;
        }
        snapshot.out.emplace(std::string_view(dataCentre.get_string()));
    }
    if (const json::value *configuration = object->if_contains("configuration"); configuration) {
        JsonFault fault;
        std::error_code malformed;
        auto decoded = std::make_shared<Configuration>(
            decodeConfiguration(json::serialize(*configuration), fault, malformed));
        if (malformed) {
            return std::nullopt;
        }
        // What is out is told apart, and a later change of it must not meet a stale copy.
        for (auto &[name, rules] : decoded->dataCentres) {
            rules.inService = rules.inService || snapshot.out.contains(name);
        }
        snapshot.configuration = std::move(decoded);
    }
    return ec ? std::nullopt : std::optional(std::move(snapshot));
}

} // namespace Coltsfootwell
