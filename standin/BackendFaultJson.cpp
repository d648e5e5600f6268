#include "standin/BackendFaultJson.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Coltsfootwell::Standin {

namespace {

namespace json = boost::json;

template <typename Number>
bool readNumber(const json::value &value, Number &out)
{
    boost::system::error_code ec;
    const auto n = value.to_number<Number>(ec);
    if (!ec) {
        out = n;
    }
    return !ec;
}

bool readMilliseconds(const json::value &value, std::chrono::milliseconds &out)
{
    std::uint32_t n = 0;
    const bool valid = readNumber(value, n);
    if (valid) {
        out = std::chrono::milliseconds(n);
    }
    return valid;
}

bool readFlag(const json::value &value, bool &out)
{
    out = value.is_bool() && value.get_bool();
    return value.is_bool();
}

struct FaultRow
{
    std::string_view key;
    bool (*read)(const json::value &value, FaultCommand &command);
};

constexpr FaultRow FaultRows[] = {
    {"straggleMs",
     [](const json::value &v, FaultCommand &c) {
         return readMilliseconds(v, c.faults.addedServiceTime);
     }},
    {"failFastShare",
     [](const json::value &v, FaultCommand &c) { return readNumber(v, c.faults.failFastShare); }},
    {"loseAnswers",
     [](const json::value &v, FaultCommand &c) { return readNumber(v, c.faults.answersToDrop); }},
    {"cutAfterBytes",
     [](const json::value &v, FaultCommand &c) {
         return readNumber(v, c.faults.truncateAfterBytes);
     }},
    {"loadLagMs",
     [](const json::value &v, FaultCommand &c) {
         return readMilliseconds(v, c.faults.loadReportDelay);
     }},
    {"loadLie",
     [](const json::value &v, FaultCommand &c) { return readNumber(v, c.faults.claimedInUse); }},
    {"cold", [](const json::value &v, FaultCommand &c) { return readFlag(v, c.becomeCold); }},
    {"silence",
     [](const json::value &v, FaultCommand &c) { return readFlag(v, c.stopResponding); }},
};

} // namespace

FaultCommand decodeFaultCommand(std::string_view text, const BackendFaults &current,
                                JsonFault &violation)
{
    FaultCommand command;
    command.faults = current;
    violation = {};
    boost::system::error_code ec;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !document.is_object()) {
        violation = {"", "", ec ? ec.message() : "must be an object"};
        return command;
    }
    for (const auto &entry : document.get_object()) {
        const std::string_view key = entry.key();
        const auto *row = std::ranges::find(FaultRows, key, &FaultRow::key);
        if (row == std::end(FaultRows)) {
            violation
                = {'/' + std::string(key), json::serialize(entry.value()), "is no known fault"};
        } else if (!row->read(entry.value(), command)) {
            violation = {'/' + std::string(key), json::serialize(entry.value()),
                         "must be a number in range, or true or false for a flag"};
        }
    }
    return command;
}

} // namespace Coltsfootwell::Standin
