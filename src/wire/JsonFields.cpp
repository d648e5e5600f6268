#include "wire/JsonFields.h"

#include <cmath>

namespace Coltsfootwell {

namespace json = boost::json;

boost::json::value parseObject(std::string_view text, JsonFault &fault)
{
    boost::system::error_code ec;
    json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !document.is_object()) {
        fault = {"", "", ec ? ec.message() : "must be a JSON object"};
        return json::object();
    }
    return document;
}

JsonFields::JsonFields(const json::object &object, std::string path, JsonFault &fault)
    : m_object(object), m_path(std::move(path)), m_fault(fault)
{
}

void JsonFields::require(std::string_view key) const
{
    if (!find(key)) {
        fail(key, "must be present");
    }
}

std::string JsonFields::text(std::string_view key, std::string fallback) const
{
    const json::value *value = find(key);
    if (!value) {
        return fallback;
    }
    if (!value->is_string()) {
        fail(key, "must be a string");
        return fallback;
    }
    return std::string(std::string_view(value->get_string()));
}

std::string JsonFields::requiredText(std::string_view key) const
{
    std::string found = text(key);
    if (found.empty()) {
        fail(key, "must be a non-empty string");
    }
    return found;
}

bool JsonFields::boolean(std::string_view key, bool fallback) const
{
    const json::value *value = find(key);
    if (!value) {
        return fallback;
    }
    if (!value->is_bool()) {
        fail(key, "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

double JsonFields::number(std::string_view key, double fallback) const
{
    const json::value *value = find(key);
    if (!value) {
        return fallback;
    }
    boost::system::error_code ec;
    const double n = value->is_number() ? value->to_number<double>(ec) : -1;
    if (ec || !std::isfinite(n) || n < 0) {
        fail(key, "must be a non-negative number");
        return fallback;
    }
    return n;
}

std::chrono::milliseconds JsonFields::milliseconds(std::string_view key,
                                                   std::chrono::milliseconds fallback) const
{
    const std::chrono::milliseconds n(integer(key, fallback.count()));
    if (n < std::chrono::milliseconds(0) || n > MaxDuration) {
        fail(key, "must be from 0 to 1000000000000 milliseconds");
        return fallback;
    }
    return n;
}

std::chrono::milliseconds JsonFields::seconds(std::string_view key,
                                              std::chrono::milliseconds fallback) const
{
    const double n = number(key, std::chrono::duration<double>(fallback).count());
    if (n > static_cast<double>(MaxDuration.count())) {
        fail(key, "must be at most 1000000000 seconds");
        return fallback;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(n));
}

std::vector<std::string> JsonFields::texts(std::string_view key) const
{
    std::vector<std::string> found;
    const json::value *value = find(key);
    if (!value) {
        return found;
    }
    if (!value->is_array()) {
        fail(key, "must be an array of strings");
        return found;
    }
    for (const json::value &item : value->get_array()) {
        if (!item.is_string()) {
            fail(key, "must be an array of strings");
            return {};
        }
        found.emplace_back(std::string_view(item.get_string()));
    }
    return found;
}

void JsonFields::object(std::string_view key,
                        const std::function<void(const JsonFields &)> &visit) const
{
    const json::value *value = find(key);
    if (!value) {
        return;
    }
    if (!value->is_object()) {
        fail(key, "must be an object");
        return;
    }
    visit(JsonFields(value->get_object(), pathOf(key), m_fault));
}

void JsonFields::objects(std::string_view key,
                         const std::function<void(const JsonFields &)> &visit) const
{
    const json::value *value = find(key);
    if (!value) {
        return;
    }
    if (!value->is_array()) {
        fail(key, "must be an array of objects");
        return;
    }
    std::size_t index = 0;
    for (const json::value &item : value->get_array()) {
        if (!item.is_object()) {
            fail(key, "must be an array of objects");
            return;
        }
        visit(JsonFields(item.get_object(), pathOf(key) + '/' + std::to_string(index++), m_fault));
    }
}

void JsonFields::members(std::string_view key,
                         const std::function<void(std::string, const JsonFields &)> &visit) const
{
    object(key, [&visit](const JsonFields &fields) {
        for (std::string &name : fields.names()) {
            fields.object(name, [&](const JsonFields &inner) { visit(std::move(name), inner); });
        }
    });
}

std::vector<std::string> JsonFields::names() const
{
    std::vector<std::string> found;
    for (const auto &entry : m_object) {
        found.emplace_back(std::string_view(entry.key()));
    }
    return found;
}

void JsonFields::fail(std::string_view key, std::string rule,
                      std::optional<std::string_view> value) const
{
    if (!m_fault.rule.empty()) {
        return;
    }
    m_fault = {pathOf(key), std::string(value.value_or("")), std::move(rule)};
    if (const json::value *field = find(key); field && !value) {
        m_fault.value = json::serialize(*field);
    }
}

const json::value *JsonFields::find(std::string_view key) const
{
    const json::value *value = m_object.if_contains(json::string_view(key.data(), key.size()));
    return value && !value->is_null() ? value : nullptr;
}

} // namespace Coltsfootwell
