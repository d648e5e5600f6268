#include "programs/DaemonSettings.h"

#include "programs/EndpointArgument.h"
#include "wire/ConfigurationSchema.h"
#include "wire/WireError.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Reads the members of a document whose form the schema has checked.
class SettingsReader
{
public:
    SettingsReader(const json::object &object, JsonFault &fault) : m_object(object), m_fault(fault)
    {
    }

    void text(std::string_view key, std::string &out) const
    {
        if (const json::value *value = m_object.if_contains(key)) {
            out = std::string_view(value->get_string());
        }
    }

    void seconds(std::string_view key, std::chrono::milliseconds &out) const
    {
        double n = std::chrono::duration<double>(out).count();
        number(key, n);
        out = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double>(n));
    }

    void number(std::string_view key, double &out) const
    {
        if (const json::value *value = m_object.if_contains(key)) {
            out = value->to_number<double>();
        }
    }

    std::optional<Endpoint> endpoint(std::string_view key) const
    {
        std::string name;
        text(key, name);
        return name.empty() ? std::nullopt : endpointOf(name, '/' + std::string(key));
    }

    std::vector<Endpoint> endpoints(std::string_view key) const
    {
        std::vector<Endpoint> list;
        if (const json::value *value = m_object.if_contains(key)) {
            for (const json::value &item : value->get_array()) {
                if (const auto endpoint
                    = endpointOf(std::string_view(item.get_string()), '/' + std::string(key))) {
                    list.push_back(*endpoint);
                }
            }
        }
        return list;
    }

    std::map<std::string, std::string, std::less<>> texts(std::string_view key) const
    {
        std::map<std::string, std::string, std::less<>> map;
        if (const json::value *value = m_object.if_contains(key)) {
            for (const auto &entry : value->get_object()) {
                map.emplace(std::string_view(entry.key()),
                            std::string_view(entry.value().get_string()));
            }
        }
        return map;
    }

    std::optional<SettingsReader> object(std::string_view key) const
    {
        const json::value *value = m_object.if_contains(key);
        return value ? std::optional(SettingsReader(value->get_object(), m_fault)) : std::nullopt;
    }

private:
    std::optional<Endpoint> endpointOf(std::string_view text, const std::string &path) const
    {
        const auto endpoint = endpointArgument(text);
        if (!endpoint && m_fault.rule.empty()) {
            m_fault = {path, std::string(text), std::string(EndpointRule)};
        }
        return endpoint;
    }

    const json::object &m_object;
    JsonFault &m_fault;
};

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
    const SettingsReader reader(document.get_object(), fault);
    reader.text("id", settings.id);
    reader.text("region", settings.region);
    reader.text("dataCentre", settings.dataCentre);
    settings.dataCentres = reader.texts("dataCentres");
    reader.text("interface", settings.interface);
    reader.text("service", settings.service);
    settings.listen = reader.endpoint("listen").value_or(Endpoint {});
    const auto nextPort = static_cast<std::uint16_t>(settings.listen.port + 1);
    settings.peers
        = reader.endpoint("peers").value_or(Endpoint {settings.listen.address, nextPort});
    settings.advertise = reader.endpoint("advertise").value_or(settings.peers);
    settings.ready = reader.endpoint("ready");
    settings.registration = reader.endpoint("registration");
    settings.admin = reader.endpoint("admin");
    settings.seeds = reader.endpoints("seeds");
    reader.text("configurationFile", settings.configurationFile);
    settings.store = reader.endpoint("store");
    reader.seconds("drainSeconds", settings.drain);
    reader.seconds("graceSeconds", settings.grace);
    if (const auto retries = reader.object("retries")) {
        retries->number("ratio", settings.retries.ratio);
        retries->number("slack", settings.retries.slack);
        retries->seconds("windowSeconds", settings.retries.window);
    }
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return settings;
}

} // namespace Coltsfootwell
