#include "services/BackendRun.h"

#include "wire/HeaderNames.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout {100};
/// Longest wait for the next byte.
constexpr std::chrono::seconds MaxProgressWait {30};
constexpr std::chrono::seconds MaxIdle {10};
constexpr std::chrono::seconds MaxIdleIdempotent {30};
constexpr unsigned FirstServerError = 500;
constexpr unsigned ServiceUnavailable = 503;

/// A backend server may pass on the headers of a nested call; they say nothing about this one.
constexpr std::array DaemonHeaders {Header::Outcome, Header::Reason, Header::ServedBy, Header::Load,
                                    Header::Attempt};

bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isDaemonHeader(const HeaderField &field)
{
    return std::ranges::any_of(
        DaemonHeaders, [&field](std::string_view name) { return sameName(field.name, name); });
}

bool mayServeIsolated(const Configuration &configuration, std::string_view service)
{
    const auto it = configuration.services.find(service);
    return it != configuration.services.end() && it->second.whenIsolated == IsolationPolicy::Serve;
}

RunEnd judgeUnanswered(const RunRecord &record, Duration average, TimePoint now)
{
    if (record.stopped) {
        return RunEnd::Unjudged;
    }
    if (!record.cancelled) {
        return record.sent ? RunEnd::Lost : RunEnd::Unreachable;
    }
    // The caller's patience ends at the deadline, so a silent server is seen only here.
    if (now >= record.deadline) {
        return RunEnd::Lost;
    }
    const bool slow = average > Duration() && now - record.began > average * Admission::SlowFactor;
    return slow ? RunEnd::Bad : RunEnd::Unjudged;
}

} // namespace

std::optional<Reason> refusalByRules(const RunAttempt &run, const Place &place,
                                     const Configuration *configuration, TimePoint freshUntil,
                                     TimePoint now)
{
    const AttemptEnvelope &attempt = *run.envelope.attempt;
    const auto &homes = run.envelope.homeRegions;
    if (!homes.empty() && std::ranges::find(homes, place.region) == homes.end()) {
        return Reason::OutsideHomeRegions;
    }
    if (!configuration || attempt.version > configuration->version
        || (now > freshUntil && !mayServeIsolated(*configuration, attempt.service))) {
        return Reason::StaleConfiguration;
    }
    if (!configuration->inService(place.dataCentre)) {
        return Reason::DataCentreOut;
    }
    if (configuration->drained.contains(place.self.name)) {
        return Reason::Draining;
    }
    return now >= run.deadline ? std::optional(Reason::Deadline) : std::nullopt;
}

bool isIdempotent(const CallHead &head, const Configuration &configuration)
{
    const Route *route = configuration.routeFor(head.target);
    return route
        && std::ranges::find(route->idempotentMethods, head.method)
        != route->idempotentMethods.end();
}

ExchangeRequest backendRequest(const RunAttempt &run, bool idempotent, TimePoint now)
{
    const Duration left = run.deadline - now;
    ExchangeRequest request;
    request.head = run.head;
    request.headers = run.head->headers;
    CallEnvelope envelope = run.envelope;
    envelope.attempt.reset();
    envelope.depth += 1;
    envelope.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    encodeEnvelope(envelope, request.headers);
    request.body = run.body;
    request.connectTimeout = std::min<Duration>(ConnectTimeout, left);
    request.progressTimeout = std::min<Duration>(MaxProgressWait, left);
    request.maxIdle = idempotent ? MaxIdleIdempotent : MaxIdle;
    return request;
}

bool takeShedMark(AnswerHead &head)
{
    const auto outcome = headerValue(head.headers, Header::Outcome);
    const bool shed = outcome && outcomeFromName(*outcome) == Outcome::NotRun
        && head.status == ServiceUnavailable;
    std::erase_if(head.headers, isDaemonHeader);
    return shed;
}

RunEnd judgeRun(const RunRecord &record, bool whole, Duration average, TimePoint now)
{
    if (!record.answered) {
        return judgeUnanswered(record, average, now);
    }
    if (record.shed) {
        return RunEnd::Shed;
    }
    if (record.status >= FirstServerError) {
        return RunEnd::Bad;
    }
    const BodyPipePtr body = record.body.lock();
    const bool callerLeft = record.cancelled || (body && body->wasAbandoned());
    return whole || callerLeft ? RunEnd::Good : RunEnd::Bad;
}

} // namespace Coltsfootwell
