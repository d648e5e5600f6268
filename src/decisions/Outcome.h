// What a caller is told about its call: whether it ran, and why it was refused.
#pragma once

#include <optional>
#include <string_view>

namespace Coltsfootwell {

/// \brief Whether the call reached a backend server.
enum class Outcome {
    Run,
    NotRun,
    Unknown,
};

/// \brief Why the system answered instead of a backend server.
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

/// The reason with the highest number.
constexpr Reason LastReason = Reason::Cancelled;

/// \param outcome any value.
/// \return its name in headers and metrics, such as "not-run".
std::string_view outcomeName(Outcome outcome);

/// \param name a name from outcomeName().
/// \return the value, or nothing for an unknown name.
std::optional<Outcome> outcomeFromName(std::string_view name);

/// \param reason any value.
/// \return its name in headers and metrics, such as "data-centre-out".
std::string_view reasonName(Reason reason);

/// \param name a name from reasonName().
/// \return the value, or nothing for an unknown name.
std::optional<Reason> reasonFromName(std::string_view name);

/// \param reason any value.
/// \return the HTTP status of a refusal for this reason.
unsigned reasonStatus(Reason reason);

} // namespace Coltsfootwell
