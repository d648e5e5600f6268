#include "programs/DaemonSettings.h"

#include "programs/EndpointArgument.h"
#include "wire/ConfigurationSchema.h"
#include "wire/JsonFields.h"
#include "wire/WireError.h"

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

std::optional<Endpoint> parseEndpointField(const JsonFields &fields, std::string_view key,
                                           std::string_view text)
{
    const auto endpoint = parseEndpointArgument(text);
    if (!endpoint) {
        fields.fail(key, std::string(EndpointRule), text);
    }
    return endpoint;
}

/// \return the endpoint; std::nullopt if the setting is missing.
std::optional<Endpoint> readEndpoint(const JsonFields &fields, std::string_view key)
{
    const std::string text = fields.text(key);
    return text.empty() ? std::nullopt : parseEndpointField(fields, key, text);
}

std::vector<Endpoint> readEndpoints(const JsonFields &fields, std::string_view key)
{
    std::vector<Endpoint> found;
    for (const std::string &text : fields.texts(key)) {
        if (const auto endpoint = parseEndpointField(fields, key, text)) {
            found.push_back(*endpoint);
        }
    }
    return found;
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
    const json::value document = parseObject(text, fault);
    const JsonFields fields(document.get_object(), "", fault);
    settings.id = fields.text("id");
    settings.region = fields.text("region");
    settings.dataCentre = fields.text("dataCentre");
    fields.object("dataCentres", [&settings](const JsonFields &inner) {
        for (const std::string &name : inner.names()) {
            settings.dataCentres.emplace(name, inner.text(name));
        }
    });
    settings.interface = fields.text("interface", settings.interface);
    settings.service = fields.text("service");
    settings.listen = readEndpoint(fields, "listen").value_or(Endpoint {});
    const auto nextPort = static_cast<std::uint16_t>(settings.listen.port + 1);
    settings.peers
        = readEndpoint(fields, "peers").value_or(Endpoint {settings.listen.address, nextPort});
    settings.advertise = readEndpoint(fields, "advertise").value_or(settings.peers);
    settings.ready = readEndpoint(fields, "ready");
    settings.registration = readEndpoint(fields, "registration");
    settings.admin = readEndpoint(fields, "admin");
    settings.seeds = readEndpoints(fields, "seeds");
    settings.configurationFile = fields.text("configurationFile");
    settings.store = readEndpoint(fields, "store");
    settings.maxStopDuration = fields.seconds("graceSeconds", settings.maxStopDuration);
    settings.memoryMegabytes = fields.number("memoryMegabytes", settings.memoryMegabytes);
    settings.coldSlack = fields.number("coldSlack", settings.coldSlack);
    fields.object("retries", [&retries = settings.retries](const JsonFields &inner) {
        retries.ratio = inner.number("ratio", retries.ratio);
        retries.slack = inner.number("slack", retries.slack);
        retries.window = inner.seconds("windowSeconds", retries.window);
    });
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return settings;
}

} // namespace Coltsfootwell
