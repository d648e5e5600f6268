#include "programs/LoadMix.h"

#include "wire/WireError.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

constexpr std::uint64_t MaxBodyBytes = 64ULL << 20;

struct FieldRow
{
    std::string_view key;
    /// Reads the value of the member; returns the rule that it violates, or an empty text.
    std::string_view (*read)(const json::value &value, LoadCallKind &kind);
};

template <auto Member>
std::string_view readText(const json::value &value, LoadCallKind &kind)
{
    if (!value.is_string()) {
        return "must be a string";
    }
    kind.*Member = std::string_view(value.get_string());
    return {};
}

std::string_view readWeight(const json::value &value, LoadCallKind &kind)
{
    boost::system::error_code ec;
    kind.weight = value.to_number<double>(ec);
    return ec || !(kind.weight > 0) ? "must be a number greater than 0" : "";
}

std::string_view readPath(const json::value &value, LoadCallKind &kind)
{
    const std::string_view rule = readText<&LoadCallKind::path>(value, kind);
    return rule.empty() && !kind.path.starts_with('/') ? "must start with \"/\"" : rule;
}

std::string_view readBody(const json::value &value, LoadCallKind &kind)
{
    boost::system::error_code ec;
    kind.bodyBytes = value.to_number<std::uint64_t>(ec);
    return ec || kind.bodyBytes > MaxBodyBytes ? "must be a number from 0 to 67108864" : "";
}

std::string_view readDeadline(const json::value &value, LoadCallKind &kind)
{
    boost::system::error_code ec;
    const auto n = value.to_number<std::uint32_t>(ec);
    kind.deadline = std::chrono::milliseconds(n);
    return ec || n == 0 ? "must be a number of milliseconds greater than 0" : "";
}

std::string_view readMaxRetries(const json::value &value, LoadCallKind &kind)
{
    boost::system::error_code ec;
    kind.maxRetries = value.to_number<std::uint32_t>(ec);
    return ec || kind.maxRetries > 10 ? "must be a number from 0 to 10" : "";
}

constexpr std::array FieldRows {
    FieldRow {"name", readText<&LoadCallKind::name>},
    FieldRow {"share", readWeight},
    FieldRow {"method", readText<&LoadCallKind::method>},
    FieldRow {"path", readPath},
    FieldRow {"bodyBytes", readBody},
    FieldRow {"deadlineMs", readDeadline},
    FieldRow {"repeats", readMaxRetries},
    FieldRow {"homeRegions", readText<&LoadCallKind::homeRegions>},
    FieldRow {"customer", readText<&LoadCallKind::customer>},
};

LoadCallKind decodeCallKind(const json::object &object, const std::string &path, JsonFault &fault)
{
    LoadCallKind kind;
    for (const auto &entry : object) {
        const std::string_view key = entry.key();
        const auto *row = std::ranges::find(FieldRows, key, &FieldRow::key);
        const std::string_view rule
            = row == FieldRows.end() ? "is not a known member" : row->read(entry.value(), kind);
        if (!rule.empty() && fault.rule.empty()) {
            fault = {path + '/' + std::string(key), json::serialize(entry.value()),
                     std::string(rule)};
        }
    }
    if (kind.path.empty() && fault.rule.empty()) {
        fault = {path + "/path", "", "is required"};
    }
    if (kind.name.empty()) {
        kind.name = kind.method + ' ' + kind.path;
    }
    return kind;
}

} // namespace

std::vector<LoadCallKind> decodeLoadMix(std::string_view text, JsonFault &fault,
                                        std::error_code &ec)
{
    std::vector<LoadCallKind> mix;
    fault = {};
    ec.clear();
    boost::system::error_code parseError;
    const json::value document
        = json::parse(json::string_view(text.data(), text.size()), parseError);
    if (parseError || !document.is_array() || document.get_array().empty()) {
        fault = {"", "",
                 parseError ? "must be JSON: " + parseError.message()
                            : "must be an array of at least one call"};
        ec = WireError::BadJson;
        return mix;
    }
    for (const json::value &item : document.get_array()) {
        const std::string path = '/' + std::to_string(mix.size());
        if (!item.is_object() && fault.rule.empty()) {
            fault = {path, json::serialize(item), "must be an object"};
        }
        mix.push_back(item.is_object() ? decodeCallKind(item.get_object(), path, fault)
                                       : LoadCallKind());
    }
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return mix;
}

const LoadCallKind &chooseCallKind(const std::vector<LoadCallKind> &mix, double uniform)
{
    double totalWeight = 0;
    for (const LoadCallKind &kind : mix) {
        totalWeight += kind.weight;
    }
    double remaining = uniform * totalWeight;
    for (const LoadCallKind &kind : mix) {
        remaining -= kind.weight;
        if (remaining < 0) {
            return kind;
        }
    }
    return mix.back();
}

} // namespace Coltsfootwell
