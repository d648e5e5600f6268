#include "wire/ConfigurationSchema.h"

#include "wire/WireError.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <string>

// With -O3, g++ 12 takes the replacement of a character in a JSON pointer for an overlapping copy.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wrestrict"
#endif
// The adapter uses Boost.JSON's types without including it.
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Maximum length of a value that a violation quotes; longer values are truncated.
constexpr std::size_t MaxValueBytes = 120;

constexpr std::string_view ConfigurationSchemaText = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "definitions": {
    "names": {"type": "array", "items": {"type": "string", "minLength": 1}}
  },
  "type": "object",
  "required": ["version", "dataCentres", "services", "routes"],
  "additionalProperties": false,
  "properties": {
    "version": {"type": "integer", "minimum": 0},
    "dataCentres": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "required": ["region"],
        "additionalProperties": false,
        "properties": {
          "region": {"type": "string", "minLength": 1},
          "inService": {"type": "boolean"}
        }
      }
    },
    "services": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
          "defaultDeadlineMs": {"type": "integer", "minimum": 1, "maximum": 600000},
          "probesPerSecond": {"type": "number", "minimum": 0, "maximum": 2},
          "coldStart": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "initialSlots": {"type": "integer", "minimum": 1, "maximum": 10000},
              "callsPerSecond": {"type": "number", "minimum": 0},
              "lastsMs": {"type": "integer", "minimum": 0, "maximum": 600000}
            }
          },
          "healthPath": {"type": "string", "minLength": 1}
        }
      }
    },
    "routes": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["prefix", "service"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string"},
          "host": {"type": "string"},
          "prefix": {"type": "string", "minLength": 1},
          "service": {"type": "string", "minLength": 1},
          "split": {
            "type": "array",
            "items": {
              "type": "object",
              "required": ["service", "weight"],
              "additionalProperties": false,
              "properties": {
                "service": {"type": "string", "minLength": 1},
                "weight": {"type": "number", "exclusiveMinimum": 0}
              }
            }
          },
          "idempotent": {"type": "boolean"},
          "timeoutMs": {"type": "integer", "minimum": 0, "maximum": 600000},
          "objectiveMs": {"type": "integer", "minimum": 0, "maximum": 600000},
          "maxAttempts": {"type": "integer", "minimum": 1, "maximum": 10},
          "priority": {"type": "integer", "minimum": 0, "maximum": 100},
          "idempotentMethods": {"$ref": "#/definitions/names"},
          "homeRegions": {"$ref": "#/definitions/names"}
        }
      }
    },
    "customers": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {"homeRegions": {"$ref": "#/definitions/names"}}
      }
    },
    "drained": {"$ref": "#/definitions/names"},
    "requests": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "headerBytes": {"type": "integer", "minimum": 1024, "maximum": 1048576},
        "bodyBytes": {"type": "integer", "minimum": 0, "maximum": 67108864},
        "headerTimeoutMs": {"type": "integer", "minimum": 1, "maximum": 600000},
        "idleTimeoutMs": {"type": "integer", "minimum": 1, "maximum": 3600000}
      }
    }
  }
})";

constexpr std::string_view DaemonSettingsSchemaText = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "definitions": {
    "endpoint": {"type": "string", "pattern": "^[0-9a-fA-F:.\\[\\]]+:[0-9]{1,5}$"}
  },
  "type": "object",
  "required": ["id", "region", "dataCentre", "listen"],
  "additionalProperties": false,
  "properties": {
    "id": {"type": "string", "minLength": 1},
    "region": {"type": "string", "minLength": 1},
    "dataCentre": {"type": "string", "minLength": 1},
    "dataCentres": {"type": "object", "additionalProperties": {"type": "string"}},
    "interface": {"type": "string", "enum": ["own", "platform"]},
    "service": {"type": "string"},
    "listen": {"$ref": "#/definitions/endpoint"},
    "peers": {"$ref": "#/definitions/endpoint"},
    "advertise": {"$ref": "#/definitions/endpoint"},
    "ready": {"$ref": "#/definitions/endpoint"},
    "registration": {"$ref": "#/definitions/endpoint"},
    "admin": {"$ref": "#/definitions/endpoint"},
    "seeds": {"type": "array", "items": {"$ref": "#/definitions/endpoint"}},
    "configurationFile": {"type": "string"},
    "store": {"$ref": "#/definitions/endpoint"},
    "drainSeconds": {"type": "number", "minimum": 0, "description": "accepted, without effect"},
    "graceSeconds": {"type": "number", "exclusiveMinimum": 0},
    "memoryMegabytes": {"type": "number", "exclusiveMinimum": 0, "maximum": 1048576},
    "coldSlack": {"type": "number", "minimum": 0},
    "retries": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "ratio": {"type": "number", "minimum": 0, "maximum": 1},
        "slack": {"type": "number", "minimum": 0},
        "windowSeconds": {"type": "number", "exclusiveMinimum": 0}
      }
    }
  }
})";

std::string_view schemaText(SchemaKind kind)
{
    return kind == SchemaKind::Configuration ? ConfigurationSchemaText : DaemonSettingsSchemaText;
}

json::value parseText(std::string_view text, boost::system::error_code &ec)
{
    return json::parse(json::string_view(text.data(), text.size()), ec);
}

/// Schemas are compiled once, at the first use, and never modified afterwards.
const valijson::Schema &compiledSchema(SchemaKind kind)
{
    static const std::array<std::unique_ptr<valijson::Schema>, 2> schemas = [] {
        std::array<std::unique_ptr<valijson::Schema>, 2> built;
        for (std::size_t i = 0; i < built.size(); ++i) {
            boost::system::error_code ec;
            const json::value document = parseText(schemaText(static_cast<SchemaKind>(i)), ec);
            built[i] = std::make_unique<valijson::Schema>();
            valijson::SchemaParser().populateSchema(valijson::adapters::BoostJsonAdapter(document),
                                                    *built[i]);
        }
        return built;
    }();
    return *schemas[static_cast<std::size_t>(kind)];
}

/// Converts valijson's context, such as "<root>[routes][0][service]", to a JSON pointer.
std::string toJsonPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &part : context) {
        if (part.size() > 2 && part.front() == '[' && part.back() == ']') {
            pointer += '/';
            for (const char c : std::string_view(part).substr(1, part.size() - 2)) {
                c == '~' ? pointer += "~0" : c == '/' ? pointer += "~1" : pointer += c;
            }
        }
    }
    return pointer;
}

const json::value *find(const json::value &document, std::string_view pointer)
{
    boost::system::error_code ec;
    const json::value *value
        = document.find_pointer(json::string_view(pointer.data(), pointer.size()), ec);
    return ec ? nullptr : value;
}

std::string quotedValue(const json::value *value)
{
    std::string text = value ? json::serialize(*value) : std::string();
    if (text.size() > MaxValueBytes) {
        text = text.substr(0, MaxValueBytes) + "...";
    }
    return text;
}

/// \return the subschema that applies to one member of an object or array, or null.
const json::value *memberSchema(const json::value &schema, const json::object &subschema,
                                std::string_view member)
{
    const json::value *found = nullptr;
    if (const json::value *properties = subschema.if_contains("properties")) {
        found = properties->get_object().if_contains(member);
    }
    for (const std::string_view wildcard : {"additionalProperties", "items"}) {
        found = found ? found : subschema.if_contains(wildcard);
    }
    if (!found || !found->is_object()) {
        return nullptr;
    }
    const json::value *reference = found->get_object().if_contains("$ref");
    return reference ? find(schema, std::string_view(reference->get_string()).substr(1)) : found;
}

/// \return the subschema that applies to the value at a JSON pointer, or null.
const json::object *subschemaAt(const json::value &schema, std::string_view pointer)
{
    const json::value *subschema = &schema;
    while (subschema && !pointer.empty()) {
        const std::size_t end = std::min(pointer.find('/', 1), pointer.size());
        subschema = memberSchema(schema, subschema->get_object(), pointer.substr(1, end - 1));
        pointer.remove_prefix(end);
    }
    return subschema ? &subschema->get_object() : nullptr;
}

std::string joinAlternatives(const json::array &values)
{
    std::string text;
    for (const json::value &value : values) {
        text += (text.empty() ? "" : " or ") + json::serialize(value);
    }
    return text;
}

/// \return the subschema's rule for a single value as an English phrase; empty if it has none.
std::string describeRule(const json::object &subschema)
{
    if (const json::value *values = subschema.if_contains("enum")) {
        return "must be " + joinAlternatives(values->get_array());
    }
    if (subschema.contains("pattern")) {
        return "must have the form \"IP address:port\"";
    }
    const json::value *type = subschema.if_contains("type");
    if (!type) {
        return {};
    }
    const std::string_view name = type->get_string();
    std::string text
        = (name.starts_with('i') || name.starts_with('o') || name.starts_with('a') ? "must be an "
                                                                                   : "must be a ")
        + std::string(name);
    const json::value *minimum = subschema.if_contains("minimum");
    const json::value *maximum = subschema.if_contains("maximum");
    text += minimum ? " from " + json::serialize(*minimum) : "";
    text += maximum ? " to " + json::serialize(*maximum) : "";
    return text + (subschema.contains("minLength") ? " that is not empty" : "");
}

/// \return the missing and unknown members of an object as an English phrase.
std::string describeMemberFaults(const json::object &subschema, const json::object &object)
{
    std::string text;
    const auto add = [&text](std::string_view words, std::string_view member) {
        text += (text.empty() ? "" : ", ") + std::string(words) + " \"" + std::string(member) + '"';
    };
    if (const json::value *required = subschema.if_contains("required")) {
        for (const json::value &member : required->get_array()) {
            if (!object.contains(member.get_string())) {
                add("must have a member", std::string_view(member.get_string()));
            }
        }
    }
    const json::value *properties = subschema.if_contains("properties");
    for (const auto &entry : object) {
        if (properties && !properties->get_object().contains(entry.key())) {
            add("must not have a member", std::string_view(entry.key()));
        }
    }
    return text;
}

/// Collects violations in the order in which the validator reports them, innermost values first.
class FaultList
{
public:
    FaultList(const json::value &schema, const json::value &document)
        : m_schema(schema), m_document(document)
    {
    }

    void add(const std::string &pointer, const std::string &description)
    {
        const json::object *subschema = subschemaAt(m_schema, pointer);
        const json::value *value = find(m_document, pointer);
        const bool object
            = subschema && value && value->is_object() && subschema->contains("properties");
        const bool container = value && (value->is_object() || value->is_array());
        std::string text;
        if (object) {
            text = describeMemberFaults(*subschema, value->get_object());
        } else if (subschema && !(container && hasNestedFault(pointer))) {
            text = describeRule(*subschema);
        }
        // A violation of a container without a fault of its own is only a consequence of the
        // violation of a nested value.
        if (text.empty() && !hasNestedFault(pointer)) {
            text = description;
        }
        // The validator reports each missing or unknown member of an object separately.
        const bool duplicate = std::ranges::any_of(m_faults, [&](const JsonFault &other) {
            return other.path == pointer && other.rule == text;
        });
        if (!text.empty() && !duplicate) {
            m_faults.push_back(
                {pointer, object ? std::string() : quotedValue(value), std::move(text)});
        }
    }

    std::vector<JsonFault> take() { return std::move(m_faults); }

private:
    bool hasNestedFault(const std::string &pointer) const
    {
        return std::ranges::any_of(m_faults, [&](const JsonFault &inner) {
            return inner.path.starts_with(pointer + '/');
        });
    }

    const json::value &m_schema;
    const json::value &m_document;
    std::vector<JsonFault> m_faults;
};

} // namespace

std::vector<JsonFault> checkSchema(SchemaKind kind, std::string_view text, std::error_code &ec)
{
    ec.clear();
    boost::system::error_code parseError;
    const json::value document = parseText(text, parseError);
    if (parseError) {
        ec = WireError::BadJson;
        return {{"", "", "must be JSON: " + parseError.message()}};
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::BoostJsonAdapter target(document);
    if (validator.validate(compiledSchema(kind), target, &results)) {
        return {};
    }
    ec = WireError::BadField;
    const json::value schema = parseText(schemaText(kind), parseError);
    FaultList faults(schema, document);
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        faults.add(toJsonPointer(error.context), error.description);
    }
    return faults.take();
}

} // namespace Coltsfootwell
