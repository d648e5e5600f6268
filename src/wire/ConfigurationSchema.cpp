#include "wire/ConfigurationSchema.h"

#include "wire/WireError.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <string>

// The adapter uses Boost.JSON's types without including it.
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Longest value that a message repeats.
constexpr std::size_t MaxValueBytes = 120;

constexpr std::string_view ConfigurationSchemaText = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "definitions": {
    "names": {"type": "array", "items": {"type": "string", "minLength": 1}}
  },
  "type": "object",
  "required": ["version", "logRegion", "dataCentres", "services", "routes"],
  "additionalProperties": false,
  "properties": {
    "version": {"type": "integer", "minimum": 0},
    "logRegion": {"type": "string", "minLength": 1},
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
          "connections": {"type": "integer", "minimum": 1, "maximum": 1000000},
          "defaultDeadlineMs": {"type": "integer", "minimum": 1, "maximum": 600000},
          "maxBodyBytes": {"type": "integer", "minimum": 0, "maximum": 1073741824},
          "probesPerSecond": {"type": "number", "minimum": 0, "maximum": 2},
          "coldStart": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
              "initialSlots": {"type": "integer", "minimum": 1, "maximum": 10000},
              "growAfterAnswers": {"type": "integer", "minimum": 1, "maximum": 10000}
            }
          },
          "whenIsolated": {"enum": ["refuse", "serve"]}
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
          "prefix": {"type": "string", "minLength": 1},
          "service": {"type": "string", "minLength": 1},
          "idempotentMethods": {"$ref": "#/definitions/names"},
          "homeRegions": {"$ref": "#/definitions/names"}
        }
      }
    },
    "tenants": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {"homeRegions": {"$ref": "#/definitions/names"}}
      }
    },
    "drained": {"$ref": "#/definitions/names"},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "retryShare": {"type": "number", "minimum": 0, "maximum": 0.5},
        "regionLinkBytesPerSecond": {"type": "integer", "minimum": 1},
        "freshnessMs": {"type": "integer", "minimum": 1000, "maximum": 3000}
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
    "listen": {"$ref": "#/definitions/endpoint"},
    "seeds": {"type": "array", "items": {"$ref": "#/definitions/endpoint"}},
    "configurationFile": {"type": "string"},
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "address": {"$ref": "#/definitions/endpoint"},
        "embedded": {"type": "boolean"},
        "listen": {"$ref": "#/definitions/endpoint"},
        "retentionSeconds": {"type": "integer", "minimum": 1},
        "retentionRecords": {"type": "integer", "minimum": 0}
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

/// Built once for each kind; the parsed form is only read afterwards.
const valijson::Schema &schemaOf(SchemaKind kind)
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

/// Turns valijson's context, such as "<root>[routes][0][service]", into a JSON pointer.
std::string pointerOf(const std::vector<std::string> &context)
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

std::string valueAt(const json::value &document, std::string_view pointer)
{
    boost::system::error_code ec;
    const json::value *value
        = document.find_pointer(json::string_view(pointer.data(), pointer.size()), ec);
    std::string text = ec || !value ? std::string() : json::serialize(*value);
    if (text.size() > MaxValueBytes) {
        text = text.substr(0, MaxValueBytes) + "...";
    }
    return text;
}

} // namespace

std::vector<JsonFault> checkSchema(SchemaKind kind, std::string_view text, std::error_code &ec)
{
    ec.clear();
    boost::system::error_code parseError;
    const json::value document = parseText(text, parseError);
    if (parseError) {
        ec = WireError::BadJson;
        return {{"", "", parseError.message()}};
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::BoostJsonAdapter target(document);
    std::vector<JsonFault> faults;
    if (validator.validate(schemaOf(kind), target, &results)) {
        return faults;
    }
    ec = WireError::BadField;
    // The innermost violation comes first and names the value; the outer ones only follow from it.
    std::vector<std::string> reported;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        const std::string pointer = pointerOf(error.context);
        const bool outer = std::ranges::any_of(
            reported, [&](const std::string &inner) { return inner.starts_with(pointer + '/'); });
        if (!outer) {
            reported.push_back(pointer);
            faults.push_back({pointer, valueAt(document, pointer), error.description});
        }
    }
    return faults;
}

} // namespace Coltsfootwell
