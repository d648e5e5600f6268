#include "decisions/Outcome.h"

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

struct OutcomeRow
{
    Outcome outcome;
    std::string_view name;
};

struct ReasonRow
{
    Reason reason;
    std::string_view name;
    unsigned status;
};

constexpr std::array OutcomeRows {
    OutcomeRow {Outcome::Run, "run"},
    OutcomeRow {Outcome::NotRun, "not-run"},
    OutcomeRow {Outcome::Unknown, "unknown"},
};

constexpr std::array ReasonRows {
    ReasonRow {Reason::BadHeader, "bad-header", 400},
    ReasonRow {Reason::BadDeadline, "bad-deadline", 400},
    ReasonRow {Reason::DepthExceeded, "depth-exceeded", 400},
    ReasonRow {Reason::NoRoute, "no-route", 404},
    ReasonRow {Reason::BodyTooLarge, "body-too-large", 413},
    ReasonRow {Reason::OutsideHomeRegions, "outside-home-regions", 421},
    ReasonRow {Reason::Overloaded, "overloaded", 503},
    ReasonRow {Reason::NoBackendServer, "no-backend-server", 503},
    ReasonRow {Reason::DataCentreOut, "data-centre-out", 503},
    ReasonRow {Reason::Draining, "draining", 503},
    ReasonRow {Reason::Stopping, "stopping", 503},
    ReasonRow {Reason::StaleConfiguration, "stale-configuration", 503},
    ReasonRow {Reason::Cold, "cold", 503},
    ReasonRow {Reason::RetryBudget, "retry-budget", 503},
    ReasonRow {Reason::RegionBudget, "region-budget", 503},
    ReasonRow {Reason::WrongInstance, "wrong-instance", 503},
    ReasonRow {Reason::Unreachable, "unreachable", 503},
    ReasonRow {Reason::HeaderTooLarge, "header-too-large", 431},
    ReasonRow {Reason::RequestTimeout, "request-timeout", 408},
    ReasonRow {Reason::Deadline, "deadline", 504},
    ReasonRow {Reason::AnswerLost, "answer-lost", 502},
    ReasonRow {Reason::Cancelled, "cancelled", 499},
};

const ReasonRow &rowOf(Reason reason)
{
    return *std::ranges::find(ReasonRows, reason, &ReasonRow::reason);
}

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return std::ranges::find(OutcomeRows, outcome, &OutcomeRow::outcome)->name;
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    const auto *it = std::ranges::find(OutcomeRows, name, &OutcomeRow::name);
    return it == OutcomeRows.end() ? std::nullopt : std::optional(it->outcome);
}

std::string_view reasonName(Reason reason)
{
    return rowOf(reason).name;
}

unsigned reasonStatus(Reason reason)
{
    return rowOf(reason).status;
}

} // namespace Coltsfootwell
