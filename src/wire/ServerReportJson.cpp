#include "wire/ServerReportJson.h"

#include "wire/WireError.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

struct StateRow
{
    std::string_view name;
    BackendState state;
};

constexpr std::array States {
    StateRow {"ready", BackendState::Warm},
    StateRow {"cold", BackendState::Cold},
    StateRow {"draining", BackendState::Draining},
};

} // namespace

ServerReport decodeServerReport(std::string_view text, std::error_code &ec)
{
    ServerReport report;
    ec.clear();
    boost::system::error_code parseError;
    const json::value document
        = json::parse(json::string_view(text.data(), text.size()), parseError);
    if (parseError || !document.is_object()) {
        ec = WireError::BadJson;
        return report;
    }
    const json::object &object = document.get_object();
    const json::value *state = object.if_contains("state");
    const auto *row = std::ranges::find_if(States, [state](const StateRow &candidate) {
        return state && state->is_string()
            && std::string_view(state->get_string()) == candidate.name;
    });
    if (row == States.end()) {
        ec = WireError::BadField;
        return report;
    }
    report.state = row->state;
    if (const json::value *inUse = object.if_contains("inUse")) {
        boost::system::error_code numberError;
        const auto n = inUse->to_number<std::uint32_t>(numberError);
        if (numberError) {
            ec = WireError::BadField;
        } else {
            report.inUse = n;
        }
    }
    return report;
}

} // namespace Coltsfootwell
