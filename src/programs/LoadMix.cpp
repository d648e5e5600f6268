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
    /// Reads the value; returns the rule that it breaks, or nothing.
    std::string_view (*read)(const json::value &value, LoadCallKind &call);
};

template <auto Member>
std::string_view readText(const json::value &value, LoadCallKind &call)
{
    if (!value.is_string()) {
        return "must be a string";
    }
    call.*Member = std::string_view(value.get_string());
    return {};
}

std::string_view readShare(const json::value &value, LoadCallKind &call)
{
    boost::system::error_code ec;
    call.share = value.to_number<double>(ec);
    return ec || !(call.share > 0) ? "must be a number greater than 0" : "";
}

std::string_view readPath(const json::value &value, LoadCallKind &call)
{
    const std::string_view rule = readText<&LoadCallKind::path>(value, call);
    return rule.empty() && !call.path.starts_with('/') ? "must start with \"/\"" : rule;
}

std::string_view readBody(const json::value &value, LoadCallKind &call)
{
    boost::system::error_code ec;
    call.bodyBytes = value.to_number<std::uint64_t>(ec);
    return ec || call.bodyBytes > MaxBodyBytes ? "must be a number from 0 to 67108864" : "";
}

std::string_view readDeadline(const json::value &value, LoadCallKind &call)
{
    boost::system::error_code ec;
    const auto n = value.to_number<std::uint32_t>(ec);
    call.deadline = std::chrono::milliseconds(n);
    return ec || n == 0 ? "must be a number of ms from 1" : "";
}

std::string_view readRepeats(const json::value &value, LoadCallKind &call)
{
    boost::system::error_code ec;
    call.repeats = value.to_number<std::uint32_t>(ec);
    return ec || call.repeats > 10 ? "must be a number from 0 to 10" : "";
}

constexpr std::array FieldRows {
    FieldRow {"name", readText<&LoadCallKind::name>},
    FieldRow {"share", readShare},
    FieldRow {"method", readText<&LoadCallKind::method>},
    FieldRow {"path", readPath},
    FieldRow {"bodyBytes", readBody},
    FieldRow {"deadlineMs", readDeadline},
    FieldRow {"repeats", readRepeats},
    FieldRow {"homeRegions", readText<&LoadCallKind::homeRegions>},
    FieldRow {"customer", readText<&LoadCallKind::customer>},
};

LoadCallKind decodeCall(const json::object &object, const std::string &path, JsonFault &fault)
{
    LoadCallKind call;
    for (const auto &entry : object) {
        const std::string_view key = entry.key();
        const auto *row = std::ranges::find(FieldRows, key, &FieldRow::key);
        const std::string_view rule
            = row == FieldRows.end() ? "is no known member" : row->read(entry.value(), call);
        if (!rule.empty() && fault.rule.empty()) {
            fault = {path + '/' + std::string(key), json::serialize(entry.value()),
                     std::string(rule)};
        }
    }
    if (call.path.empty() && fault.rule.empty()) {
        fault = {path + "/path", "", "must be given"};
    }
    if (call.name.empty()) {
        call.name = call.method + ' ' + call.path;
    }
    return call;
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
        mix.push_back(item.is_object() ? decodeCall(item.get_object(), path, fault)
                                       : LoadCallKind());
    }
    if (!fault.rule.empty()) {
        ec = WireError::BadField;
    }
    return mix;
}

const LoadCallKind &chooseCallKind(const std::vector<LoadCallKind> &mix, double unit)
{
    double total = 0;
    for (const LoadCallKind &call : mix) {
        total += call.share;
    }
    double rest = unit * total;
    for (const LoadCallKind &call : mix) {
        rest -= call.share;
        if (rest < 0) {
            return call;
        }
    }
    return mix.back();
}

} // namespace Coltsfootwell
