#include "wire/ConfigurationJson.h"

#include "wire/JsonFields.h"
#include "wire/WireError.h"

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

ServiceRules readService(const JsonFields &fields)
{
    ServiceRules rules;
    rules.slots = fields.integer("slots", rules.slots);
    rules.defaultDeadline = fields.milliseconds("defaultDeadlineMs", rules.defaultDeadline);
    rules.probesPerSecond = fields.number("probesPerSecond", rules.probesPerSecond);
    fields.object("coldStart", [&cold = rules.coldStart](const JsonFields &inner) {
        cold.initialSlots = inner.integer("initialSlots", cold.initialSlots);
        cold.callsPerSecond = inner.number("callsPerSecond", cold.callsPerSecond);
        cold.duration = inner.milliseconds("lastsMs", cold.duration);
    });
    rules.healthPath = fields.text("healthPath", rules.healthPath);
    return rules;
}

Route readRoute(const JsonFields &fields)
{
    Route route;
    route.name = fields.text("name");
    route.host = fields.text("host");
    route.prefix = fields.text("prefix");
    route.service = fields.text("service");
    fields.objects("split", [&route](const JsonFields &part) {
        route.split.push_back({part.text("service"), part.number("weight", 1)});
    });
    route.idempotentMethods = fields.texts("idempotentMethods");
    route.idempotent = fields.boolean("idempotent", route.idempotent);
    route.homeRegions = fields.texts("homeRegions");
    route.timeout = fields.milliseconds("timeoutMs", route.timeout);
    route.objective = fields.milliseconds("objectiveMs", route.objective);
    route.maxAttempts = fields.integer("maxAttempts", route.maxAttempts);
    route.priority = fields.integer("priority", route.priority);
    return route;
}

template <typename Strings>
json::array toJsonArray(const Strings &strings)
{
    json::array items;
    for (const std::string &item : strings) {
        items.emplace_back(item);
    }
    return items;
}

json::object toJson(const ServiceRules &rules)
{
    return {{"slots", rules.slots},
            {"defaultDeadlineMs", rules.defaultDeadline.count()},
            {"probesPerSecond", rules.probesPerSecond},
            {"coldStart",
             json::object {{"initialSlots", rules.coldStart.initialSlots},
                           {"callsPerSecond", rules.coldStart.callsPerSecond},
                           {"lastsMs", rules.coldStart.duration.count()}}},
            {"healthPath", rules.healthPath}};
}

json::object toJson(const Route &route)
{
    json::object object {{"prefix", route.prefix},
                         {"service", route.service},
                         {"idempotentMethods", toJsonArray(route.idempotentMethods)},
                         {"homeRegions", toJsonArray(route.homeRegions)}};
    const Route defaults;
    if (!route.name.empty()) {
        object["name"] = route.name;
    }
    if (!route.host.empty()) {
        object["host"] = route.host;
    }
    if (!route.split.empty()) {
        json::array &split = object["split"].emplace_array();
        for (const WeightedService &part : route.split) {
            split.emplace_back(json::object {{"service", part.service}, {"weight", part.weight}});
        }
    }
    if (route.idempotent) {
        object["idempotent"] = true;
    }
    if (route.timeout != defaults.timeout) {
        object["timeoutMs"] = route.timeout.count();
    }
    if (route.objective != defaults.objective) {
        object["objectiveMs"] = route.objective.count();
    }
    if (route.maxAttempts != defaults.maxAttempts) {
        object["maxAttempts"] = route.maxAttempts;
    }
    if (route.priority != defaults.priority) {
        object["priority"] = route.priority;
    }
    return object;
}

json::object toJson(const RequestLimits &limits)
{
    return {{"headerBytes", limits.headerBytes},
            {"bodyBytes", limits.bodyBytes},
            {"headerTimeoutMs", limits.headerTimeout.count()},
            {"idleTimeoutMs", limits.idleTimeout.count()}};
}

} // namespace

Configuration decodeConfiguration(std::string_view text, JsonFault &fault, std::error_code &ec)
{
    Configuration configuration;
    fault = {};
    ec.clear();
    const json::value document = parseObject(text, fault);
    if (!fault.rule.empty()) {
        ec = WireError::BadJson;
        return configuration;
    }
    const JsonFields fields(document.get_object(), "", fault);
    configuration.version = fields.integer("version", configuration.version);
    fields.members("dataCentres", [&](std::string name, const JsonFields &inner) {
        configuration.dataCentres[std::move(name)]
            = {inner.text("region"), inner.boolean("inService", true)};
    });
    fields.members("services", [&](std::string name, const JsonFields &inner) {
        configuration.services[std::move(name)] = readService(inner);
    });
    fields.objects("routes", [&](const JsonFields &inner) {
        configuration.routes.push_back(readRoute(inner));
    });
    fields.members("customers", [&](std::string name, const JsonFields &inner) {
        configuration.customerRegions[std::move(name)] = inner.texts("homeRegions");
    });
    for (std::string &name : fields.texts("drained")) {
        configuration.drained.insert(std::move(name));
    }
    fields.object("requests", [&limits = configuration.requestLimits](const JsonFields &inner) {
        limits.headerBytes = inner.integer("headerBytes", limits.headerBytes);
        limits.bodyBytes = inner.integer("bodyBytes", limits.bodyBytes);
        limits.headerTimeout = inner.milliseconds("headerTimeoutMs", limits.headerTimeout);
        limits.idleTimeout = inner.milliseconds("idleTimeoutMs", limits.idleTimeout);
    });
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return configuration;
}

std::string encodeConfiguration(const Configuration &configuration)
{
    json::object document;
    document["version"] = configuration.version;
    json::object &dataCentres = document["dataCentres"].emplace_object();
    for (const auto &[name, rules] : configuration.dataCentres) {
        dataCentres[name] = json::object {{"region", rules.region}, {"inService", rules.inService}};
    }
    json::object &services = document["services"].emplace_object();
    for (const auto &[name, rules] : configuration.services) {
        services[name] = toJson(rules);
    }
    json::array &routes = document["routes"].emplace_array();
    for (const Route &route : configuration.routes) {
        routes.emplace_back(toJson(route));
    }
    json::object &customers = document["customers"].emplace_object();
    for (const auto &[name, regions] : configuration.customerRegions) {
        customers[name] = json::object {{"homeRegions", toJsonArray(regions)}};
    }
    document["drained"] = toJsonArray(configuration.drained);
    document["requests"] = toJson(configuration.requestLimits);
    return json::serialize(document);
}

} // namespace Coltsfootwell
