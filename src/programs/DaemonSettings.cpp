#include "programs/DaemonSettings.h"

#include "programs/EndpointArgument.h"
#include "wire/ConfigurationSchema.h"
#include "wire/WireError.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

std::string textAt(const json::object &object, std::string_view key, bool required,
                   JsonFault &fault)
{
    const json::value *value = object.if_contains(key);
    if (value && value->is_string()) {
        return std::string(std::string_view(value->get_string()));
    }
    if ((value || required) && fault.rule.empty()) {
        fault = {'/' + std::string(key), value ? json::serialize(*value) : std::string(),
                 value ? "must be a string" : "must be given"};
    }
    return {};
}

Endpoint endpointOf(std::string_view text, const std::string &path, JsonFault &fault)
{
    const auto endpoint = endpointArgument(text);
    if (!endpoint && fault.rule.empty()) {
        fault = {path, std::string(text), std::string(EndpointRule)};
    }
    return endpoint.value_or(Endpoint {});
}

/// The schema has been checked.
LogSettings logSettingsOf(const json::object &log, JsonFault &fault)
{
    LogSettings settings;
    const json::value *embedded = log.if_contains("embedded");
    settings.embedded = embedded && embedded->get_bool();
    const char *key = settings.embedded ? "listen" : "address";
    settings.address = textAt(log, key, true, fault);
    if (settings.address.empty()) {
        fault = {std::string("/log/") + key, "",
                 settings.embedded ? "must be given with \"embedded\": true"
                                   : "must be given without \"embedded\": true"};
    }
    if (const json::value *seconds = log.if_contains("retentionSeconds")) {
        settings.retention = std::chrono::seconds(seconds->to_number<std::int64_t>());
    }
    if (const json::value *records = log.if_contains("retentionRecords")) {
        settings.retentionRecords = records->to_number<std::uint64_t>();
    }
    return settings;
}

} // namespace

DaemonSettings decodeSettings(std::string_view text, JsonFault &fault, std::error_code &ec)
{
    DaemonSettings settings;
    fault = {};
    ec.clear();
    if (const auto faults = checkSchema(SchemaKind::DaemonSettings, text, ec); ec) {
        fault = faults.front();
        return settings;
    }
    const json::value document = json::parse(json::string_view(text.data(), text.size()));
    const json::object &object = document.get_object();
    settings.id = textAt(object, "id", true, fault);
    settings.region = textAt(object, "region", true, fault);
    settings.dataCentre = textAt(object, "dataCentre", true, fault);
    settings.listen = endpointOf(textAt(object, "listen", true, fault), "/listen", fault);
    settings.advertise = settings.listen;
    if (object.contains("advertise")) {
        settings.advertise
            = endpointOf(textAt(object, "advertise", true, fault), "/advertise", fault);
    }
    settings.configurationFile = textAt(object, "configurationFile", false, fault);
    if (const json::value *seeds = object.if_contains("seeds"); seeds && seeds->is_array()) {
        for (const json::value &seed : seeds->get_array()) {
            const std::string_view item
                = seed.is_string() ? std::string_view(seed.get_string()) : std::string_view();
            settings.seeds.push_back(endpointOf(item, "/seeds", fault));
        }
    }
    if (const json::value *log = object.if_contains("log")) {
        settings.log = logSettingsOf(log->get_object(), fault);
    }
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return settings;
}

} // namespace Coltsfootwell
