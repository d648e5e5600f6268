// Outcomes of a call and reasons for refusals, with their external names.
#pragma once

#include <optional>
#include <string_view>

namespace Coltsfootwell {

/// \brief Whether the call was run by a backend server.
enum class Outcome {
    Run,
    NotRun,
    Unknown,
};

/// \brief Reason for which the system refuses a call.
enum class Reason {
    BadHeader,
    BadDeadline,
    DepthExceeded,
    NoRoute,
    BodyTooLarge,
    OutsideHomeRegions,
    Overloaded,
    NoBackendServer,
    DataCentreOut,
    Draining,
    Stopping,
    StaleConfiguration,
    Cold,
    RetryBudget,
    RegionBudget,
    WrongInstance,
    Unreachable,
    HeaderTooLarge,
    RequestTimeout,
    Deadline,
    AnswerLost,
    Cancelled,
};

/// Last enumerator of Reason.
constexpr Reason LastReason = Reason::Cancelled;

/// \param outcome an outcome.
/// \return its name in headers and metrics, such as "not-run".
std::string_view outcomeName(Outcome outcome);

/// \param name a name returned by outcomeName().
/// \return the outcome, or empty if the name is unknown.
std::optional<Outcome> outcomeFromName(std::string_view name);

/// \param reason a reason.
/// \return its name in headers and metrics, such as "data-centre-out".
std::string_view reasonName(Reason reason);

/// \param reason a reason.
/// \return the HTTP status of a refusal for this reason.
unsigned reasonStatus(Reason reason);

} // namespace Coltsfootwell
