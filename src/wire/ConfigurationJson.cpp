#include "wire/ConfigurationJson.h"

#include "wire/WireError.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Reads members of one object and remembers the first violation.
class ObjectReader
{
public:
    ObjectReader(const json::object &object, std::string path, JsonFault &fault)
        : m_object(object), m_path(std::move(path)), m_fault(fault)
    {
    }

    template <typename Number>
    void number(std::string_view key, Number &out)
    {
        if (const json::value *value = m_object.if_contains(key)) {
            boost::system::error_code ec;
            const auto n = value->to_number<Number>(ec);
            ec ? fail(key, *value, "must be a number in range") : static_cast<void>(out = n);
        }
    }

    void milliseconds(std::string_view key, std::chrono::milliseconds &out)
    {
        std::int64_t n = out.count();
        number(key, n);
        out = std::chrono::milliseconds(n);
    }

    void boolean(std::string_view key, bool &out)
    {
        if (const json::value *value = m_object.if_contains(key)) {
            value->is_bool() ? static_cast<void>(out = value->get_bool())
                             : fail(key, *value, "must be true or false");
        }
    }

    void text(std::string_view key, std::string &out)
    {
        if (const json::value *value = m_object.if_contains(key)) {
            value->is_string() ? static_cast<void>(out = std::string_view(value->get_string()))
                               : fail(key, *value, "must be a string");
        }
    }

    template <typename Container>
    void texts(std::string_view key, Container &out)
    {
        const json::value *value = m_object.if_contains(key);
        if (!value) {
            return;
        }
        if (!value->is_array()) {
            fail(key, *value, "must be an array of strings");
            return;
        }
        for (const json::value &item : value->get_array()) {
            if (!item.is_string()) {
                fail(key, item, "must be a string");
                return;
            }
            out.insert(out.end(), std::string(std::string_view(item.get_string())));
        }
    }

    template <typename Visit>
    void object(std::string_view key, Visit visit)
    {
        if (const json::value *value = m_object.if_contains(key)) {
            if (!value->is_object()) {
                fail(key, *value, "must be an object");
                return;
            }
            visit(ObjectReader(value->get_object(), pathOf(key), m_fault));
        }
    }

    template <typename Visit>
    void objects(std::string_view key, Visit visit)
    {
        object(key, [&](ObjectReader reader) {
            for (const auto &entry : reader.m_object) {
                reader.object(entry.key(),
                              [&](ObjectReader inner) { visit(std::string(entry.key()), inner); });
            }
        });
    }

    template <typename Visit>
    void objectArray(std::string_view key, Visit visit)
    {
        const json::value *value = m_object.if_contains(key);
        if (!value) {
            return;
        }
        if (!value->is_array()) {
            fail(key, *value, "must be an array");
            return;
        }
        std::size_t index = 0;
        for (const json::value &item : value->get_array()) {
            const std::string path = pathOf(key) + '/' + std::to_string(index++);
            if (!item.is_object()) {
                m_fault = {path, json::serialize(item), "must be an object"};
                return;
            }
            visit(ObjectReader(item.get_object(), path, m_fault));
        }
    }

    std::vector<std::string> keys() const
    {
        std::vector<std::string> names;
        for (const auto &entry : m_object) {
            names.emplace_back(entry.key());
        }
        return names;
    }

    void fail(std::string_view key, const json::value &value, std::string rule)
    {
        if (m_fault.rule.empty()) {
            m_fault = {pathOf(key), json::serialize(value), std::move(rule)};
        }
    }

private:
    std::string pathOf(std::string_view key) const { return m_path + '/' + std::string(key); }

    const json::object &m_object;
    std::string m_path;
    JsonFault &m_fault;
};

void readService(ObjectReader reader, ServiceRules &rules)
{
    reader.number("slots", rules.slots);
    reader.milliseconds("defaultDeadlineMs", rules.defaultDeadline);
    reader.number("probesPerSecond", rules.probesPerSecond);
    reader.object("coldStart", [&](ObjectReader inner) {
        inner.number("initialSlots", rules.coldStart.initialSlots);
        inner.number("callsPerSecond", rules.coldStart.callsPerSecond);
        inner.milliseconds("lastsMs", rules.coldStart.lasts);
    });
    reader.text("healthPath", rules.healthPath);
}

Route readRoute(ObjectReader reader)
{
    Route route;
    reader.text("name", route.name);
    reader.text("host", route.host);
    reader.text("prefix", route.prefix);
    reader.text("service", route.service);
    reader.objectArray("split", [&](ObjectReader inner) {
        WeightedService part;
        inner.text("service", part.service);
        inner.number("weight", part.weight);
        route.split.push_back(std::move(part));
    });
    reader.texts("idempotentMethods", route.idempotentMethods);
    reader.boolean("idempotent", route.idempotent);
    reader.texts("homeRegions", route.homeRegions);
    reader.milliseconds("timeoutMs", route.timeout);
    reader.milliseconds("objectiveMs", route.objective);
    reader.number("maxAttempts", route.maxAttempts);
    reader.number("priority", route.priority);
    return route;
}

template <typename Strings>
json::array arrayOf(const Strings &strings)
{
    json::array items;
    for (const std::string &item : strings) {
        items.emplace_back(item);
    }
    return items;
}

json::object objectOf(const ServiceRules &rules)
{
    return {{"slots", rules.slots},
            {"defaultDeadlineMs", rules.defaultDeadline.count()},
            {"probesPerSecond", rules.probesPerSecond},
            {"coldStart",
             json::object {{"initialSlots", rules.coldStart.initialSlots},
                           {"callsPerSecond", rules.coldStart.callsPerSecond},
                           {"lastsMs", rules.coldStart.lasts.count()}}},
            {"healthPath", rules.healthPath}};
}

json::object objectOf(const Route &route)
{
    json::object object {{"prefix", route.prefix},
                         {"service", route.service},
                         {"idempotentMethods", arrayOf(route.idempotentMethods)},
                         {"homeRegions", arrayOf(route.homeRegions)}};
    const Route usual;
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
    if (route.timeout != usual.timeout) {
        object["timeoutMs"] = route.timeout.count();
    }
    if (route.objective != usual.objective) {
        object["objectiveMs"] = route.objective.count();
    }
    if (route.maxAttempts != usual.maxAttempts) {
        object["maxAttempts"] = route.maxAttempts;
    }
    if (route.priority != usual.priority) {
        object["priority"] = route.priority;
    }
    return object;
}

json::object objectOf(const RequestLimits &limits)
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
    boost::system::error_code parseError;
    const json::value document
        = json::parse(json::string_view(text.data(), text.size()), parseError);
    if (parseError || !document.is_object()) {
        fault = {"", "", parseError ? parseError.message() : "must be an object"};
        ec = WireError::BadJson;
        return configuration;
    }
    ObjectReader reader(document.get_object(), "", fault);
    reader.number("version", configuration.version);
    reader.objects("dataCentres", [&](const std::string &name, ObjectReader inner) {
        DataCentreRules &rules = configuration.dataCentres[name];
        inner.text("region", rules.region);
        inner.boolean("inService", rules.inService);
    });
    reader.objects("services", [&](const std::string &name, ObjectReader inner) {
        readService(inner, configuration.services[name]);
    });
    reader.objectArray(
        "routes", [&](ObjectReader inner) { configuration.routes.push_back(readRoute(inner)); });
    reader.objects("customers", [&](const std::string &name, ObjectReader inner) {
        inner.texts("homeRegions", configuration.customerRegions[name]);
    });
    reader.texts("drained", configuration.drained);
    reader.object("requests", [&](ObjectReader inner) {
        inner.number("headerBytes", configuration.requests.headerBytes);
        inner.number("bodyBytes", configuration.requests.bodyBytes);
        inner.milliseconds("headerTimeoutMs", configuration.requests.headerTimeout);
        inner.milliseconds("idleTimeoutMs", configuration.requests.idleTimeout);
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
        services[name] = objectOf(rules);
    }
    json::array &routes = document["routes"].emplace_array();
    for (const Route &route : configuration.routes) {
        routes.emplace_back(objectOf(route));
    }
    json::object &customers = document["customers"].emplace_object();
    for (const auto &[name, regions] : configuration.customerRegions) {
        customers[name] = json::object {{"homeRegions", arrayOf(regions)}};
    }
    document["drained"] = arrayOf(configuration.drained);
    document["requests"] = objectOf(configuration.requests);
    return json::serialize(document);
}

} // namespace Coltsfootwell
