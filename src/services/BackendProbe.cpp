#include "services/BackendProbe.h"

#include "services/BackendLimits.h"
#include "wire/EndpointText.h"

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Time after which an unanswered probe has failed.
constexpr milliseconds ProbeTimeout {400};
/// Interval at which the probe schedule is checked while the server is busy, slow or down.
constexpr milliseconds ActiveCheckInterval {20};
/// Interval at which the probe schedule is checked otherwise.
constexpr milliseconds IdleCheckInterval {100};
/// Maximum length of the body of a health check's answer.
constexpr std::uint64_t MaxProbeAnswerBytes = 64 * 1024;
/// Lowest HTTP status of a health check that counts as a failure.
constexpr unsigned FirstRedirectStatus = 300;

} // namespace

void BackendProbe::instanceReplaced(std::shared_ptr<HttpPool> pool)
{
    m_pool = std::move(pool);
    m_forced = true;
}

bool BackendProbe::isSlow() const
{
    return m_dependencies.tracker.health.slowness(now()) > SlowThresholdPercent;
}

Duration BackendProbe::checkInterval(bool busy) const
{
    const BackendTracker &tracker = m_dependencies.tracker;
    const bool active = busy || m_forced || tracker.health.isDown() || isSlow()
        || tracker.registration.awaitsHealthCheck();
    return active ? ActiveCheckInterval : IdleCheckInterval;
}

void BackendProbe::sendIfDue(bool busy)
{
    const BackendTracker &tracker = m_dependencies.tracker;
    if (!m_pool) {
        return;
    }
    m_pool->closeExpired(now());
    if (m_inFlight || !tracker.configuration()) {
        return;
    }
    ProbeConditions conditions;
    conditions.down = tracker.health.isDown();
    conditions.unconfirmed = tracker.registration.awaitsHealthCheck();
    conditions.busy = busy;
    conditions.slow = isSlow();
    conditions.cold = tracker.coldRateLimiter.isCold(now());
    conditions.speedUpdatedAt = tracker.health.speedUpdatedAt();
    if (m_forced || now() >= m_schedule.nextProbe(conditions)) {
        send();
    }
}

void BackendProbe::send()
{
    m_forced = false;
    m_inFlight = true;
    m_schedule.probeSent(now());
    countResult("sent");
    if (!m_dependencies.tracker.registration.isConfirmed()) {
        // A late copy of an older answer must not return a server to service that has left since.
        m_pool = std::make_shared<HttpPool>(m_dependencies.context, m_pool->endpoint());
    }
    const ServiceRules *rules = m_dependencies.tracker.rules();
    ExchangeRequest request;
    request.method = "GET";
    request.target = rules ? rules->healthPath : ServiceRules().healthPath;
    request.headers.push_back({"Host", formatEndpoint(m_pool->endpoint())});
    request.maxIdleTime = IdempotentMaxIdleTime;
    request.deadline = now() + ProbeTimeout;
    request.maxAnswerBytes = MaxProbeAnswerBytes;
    std::make_shared<HttpExchange>(
        m_dependencies.context, m_dependencies.kernel.executor(), m_pool, m_dependencies.dialect,
        std::move(request), [] { return true; },
        [this, pool = m_pool, sentAt = now()](const ExchangeOutcome &outcome) {
            m_inFlight = false;
            if (pool == m_pool) {
                probeEnded(outcome, sentAt);
            }
        })
        ->start();
}

void BackendProbe::probeEnded(const ExchangeOutcome &outcome, TimePoint sentAt)
{
    BackendTracker &tracker = m_dependencies.tracker;
    const bool wasDown = tracker.health.isDown();
    if (outcome.kind == ExchangeOutcome::Kind::Answered) {
        const ProbeReport probe
            = m_dependencies.dialect.decodeProbe(outcome.status, outcome.headers, outcome.body);
        if (probe.healthy && tracker.registration.healthChecked(probe.instance, sentAt)) {
            m_dependencies.telemetry.send(
                LogEvent {"backend.confirmed", "", "instance=" + probe.instance + " by=health"});
        }
        if (probe.load) {
            tracker.health.slownessReported(probe.load->slownessPercent, now());
        }
        if (probe.coldRemaining) {
            tracker.coldRemainingReported(*probe.coldRemaining, now());
        } else if (probe.healthy) {
            tracker.coldRemainingReported(milliseconds(0), now());
        }
        // A health check can report a false failure while calls succeed. A failed one therefore
        // only adds to a count of failures that each successful call resets. An unconfirmed server
        // gets no calls, so that nothing would reset the count.
        if (probe.healthy || outcome.status < FirstRedirectStatus) {
            tracker.health.probeAnswered(now());
        } else if (tracker.registration.isConfirmed()) {
            tracker.health.probeFailed(false, now());
        }
        countResult(probe.healthy ? "healthy" : "unhealthy");
    } else if (outcome.lackedResources) {
        countResult("unsent");
    } else {
        const bool refused = outcome.kind == ExchangeOutcome::Kind::Unreachable;
        tracker.health.probeFailed(refused, now());
        countResult(refused ? "refused" : "lost");
    }
    if (wasDown != tracker.health.isDown()) {
        m_dependencies.telemetry.send(
            LogEvent {"backend.health", "",
                      "service=" + tracker.service() + (wasDown ? " down=no" : " down=yes")});
    }
    m_dependencies.onStateChanged();
}

void BackendProbe::countResult(std::string_view result) const
{
    m_dependencies.telemetry.send(IncrementCounter {"probes_total", std::string(result)});
}

} // namespace Coltsfootwell
