#include "wire/ConfigurationRecordJson.h"

#include "wire/ConfigurationJson.h"
#include "wire/ConfigurationSchema.h"
#include "wire/EndpointText.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

json::value bodyOf(const ConfigurationPtr &configuration)
{
    return configuration ? json::parse(encodeConfiguration(*configuration)) : json::value();
}

/// Old records must stay readable, so bodies in records are checked by the schema only for the
/// fields that are known; a body with a fault is malformed for every fold alike.
ConfigurationPtr configurationOf(const json::value &body, std::string &fault)
{
    const std::string text = json::serialize(body);
    std::error_code ec;
    if (const auto faults = checkSchema(SchemaKind::Configuration, text, ec); ec) {
        fault = faultLine(faults.front());
        return nullptr;
    }
    JsonFault jsonFault;
    auto configuration = std::make_shared<Configuration>(decodeConfiguration(text, jsonFault, ec));
    if (ec) {
        fault = faultLine(jsonFault);
        return nullptr;
    }
    return configuration;
}

std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value ? json::value_to<std::string>(*value) : std::string();
}

ConfigurationRecord publishOf(const json::object &object)
{
    PublishRecord publish;
    publish.id = textAt(object, "id");
    publish.base = object.at("base").to_number<ConfigurationVersion>();
    publish.version = object.at("version").to_number<ConfigurationVersion>();
    publish.author = textAt(object, "author");
    std::string fault;
    publish.configuration = configurationOf(object.at("body"), fault);
    if (!publish.configuration) {
        return MalformedRecord {"publish " + publish.id + ": " + fault};
    }
    return publish;
}

ConfigurationRecord checkpointOf(const json::object &object)
{
    CheckpointRecord checkpoint;
    checkpoint.id = textAt(object, "id");
    checkpoint.author = textAt(object, "author");
    checkpoint.snapshot.version = object.at("version").to_number<ConfigurationVersion>();
    checkpoint.snapshot.through = object.at("through").to_number<LogOffset>();
    const json::value *reset = object.if_contains("reset");
    checkpoint.reset = reset && reset->as_bool();
    std::string fault;
    checkpoint.snapshot.configuration = configurationOf(object.at("body"), fault);
    if (!checkpoint.snapshot.configuration) {
        return MalformedRecord {"checkpoint: " + fault};
    }
    return checkpoint;
}

json::object objectOf(const ConfigurationSnapshot &snapshot)
{
    return {{"version", snapshot.version},
            {"through", snapshot.through},
            {"body", bodyOf(snapshot.configuration)}};
}

json::value parseText(std::string_view text)
{
    return json::parse(json::string_view(text.data(), text.size()));
}

} // namespace

std::string encodeRecord(const PublishRecord &publish)
{
    return json::serialize(json::object {{"type", "publish"},
                                         {"id", publish.id},
                                         {"base", publish.base},
                                         {"version", publish.version},
                                         {"author", publish.author},
                                         {"body", bodyOf(publish.configuration)}});
}

std::string encodeRecord(const CheckpointRecord &checkpoint)
{
    json::object object = objectOf(checkpoint.snapshot);
    object["type"] = "checkpoint";
    if (checkpoint.reset) {
        object["reset"] = true;
        object["author"] = checkpoint.author;
        object["id"] = checkpoint.id;
    }
    return json::serialize(object);
}

ConfigurationRecord decodeRecord(std::string_view bytes)
{
    try {
        const json::value value = parseText(bytes);
        const json::object &object = value.as_object();
        const std::string type = textAt(object, "type");
        if (type == "publish") {
            return publishOf(object);
        }
        if (type == "checkpoint") {
            return checkpointOf(object);
        }
        return MalformedRecord {"unknown record type \"" + type + '"'};
    } catch (const std::exception &error) {
        return MalformedRecord {error.what()};
    }
}

std::string encodeSnapshot(const ConfigurationSnapshot &snapshot)
{
    return json::serialize(objectOf(snapshot));
}

std::optional<ConfigurationSnapshot> decodeSnapshot(std::string_view text)
{
    const ConfigurationRecord record = [&]() -> ConfigurationRecord {
        try {
            const json::value value = parseText(text);
            return checkpointOf(value.as_object());
        } catch (const std::exception &error) {
            return MalformedRecord {error.what()};
        }
    }();
    const auto *checkpoint = std::get_if<CheckpointRecord>(&record);
    return checkpoint ? std::optional(checkpoint->snapshot) : std::nullopt;
}

std::string encodeMember(const MemberRecord &member)
{
    return json::serialize(json::object {{"type", "member"},
                                         {"id", member.id.name},
                                         {"incarnation", member.id.incarnation},
                                         {"address", endpointText(member.endpoint)}});
}

std::optional<MemberRecord> decodeMember(std::string_view bytes)
{
    try {
        const json::value value = parseText(bytes);
        const json::object &object = value.as_object();
        MemberRecord member;
        member.id = {textAt(object, "id"), object.at("incarnation").to_number<Incarnation>()};
        const auto endpoint = endpointFromText(textAt(object, "address"));
        if (member.id.name.empty() || !endpoint) {
            return std::nullopt;
        }
        member.endpoint = *endpoint;
        return member;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Coltsfootwell
