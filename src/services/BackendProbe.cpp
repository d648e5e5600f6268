#include "services/BackendProbe.h"

#include "services/BackendLimits.h"
#include "wire/EndpointText.h"

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ProbeTimeout {400};
/// How often the need for a probe is looked at.
constexpr milliseconds ProbeCheck {20};
constexpr milliseconds IdleProbeCheck {100};
constexpr unsigned FirstFailure = 300;

} // namespace

void BackendProbe::replaced(std::shared_ptr<HttpPool> pool)
{
    m_pool = std::move(pool);
    m_soon = true;
}

bool BackendProbe::isSlow() const
{
    return m_parts.state.health.slowness(now()) > SlowThresholdPercent;
}

Duration BackendProbe::period(bool busy) const
{
    const bool active = busy || m_soon || m_parts.state.health.isDown() || isSlow();
    return active ? ProbeCheck : IdleProbeCheck;
}

void BackendProbe::check(bool busy)
{
    const BackendTracker &state = m_parts.state;
    if (!m_pool || m_underWay || !state.configuration()) {
        return;
    }
    ProbeConditions need;
    need.down = state.health.isDown();
    need.busy = busy;
    need.slow = isSlow();
    need.cold = state.pacer.isCold(now());
    need.speedUpdatedAt = state.health.speedUpdatedAt();
    if (m_soon || now() >= m_plan.nextProbe(need)) {
        send();
    }
}

void BackendProbe::send()
{
    m_soon = false;
    m_underWay = true;
    m_plan.probeSent(now());
    count("sent");
    const ServiceRules *rules = m_parts.state.rules();
    ExchangeRequest request;
    request.method = "GET";
    request.target = rules ? rules->healthPath : ServiceRules().healthPath;
    request.headers.push_back({"Host", formatEndpoint(m_pool->endpoint())});
    request.maxIdleTime = MaxIdleIdempotent;
    request.deadline = now() + ProbeTimeout;
    std::make_shared<HttpExchange>(
        m_parts.context, m_parts.kernel.executor(), m_pool, m_parts.dialect, std::move(request),
        [] { return true; },
        [this, pool = m_pool](const ExchangeOutcome &outcome) {
            m_underWay = false;
            if (pool == m_pool) {
                ended(outcome);
            }
        })
        ->start();
}

void BackendProbe::ended(const ExchangeOutcome &outcome)
{
    BackendTracker &state = m_parts.state;
    const bool wasDown = state.health.isDown();
    if (outcome.kind == ExchangeOutcome::Kind::Answered) {
        const ProbeReport probe
            = m_parts.dialect.decodeProbe(outcome.status, outcome.headers, outcome.body);
        if (probe.load) {
            state.health.slownessReported(probe.load->slowness, now());
        }
        if (probe.coldRemaining) {
            state.reportedCold(*probe.coldRemaining, now());
        } else if (probe.healthy) {
            state.reportedCold(milliseconds(0), now());
        }
        // A health check may fail falsely while calls are answered, so it only counts when
        // nothing is known of calls.
        probe.healthy || outcome.status < FirstFailure ? state.health.probeAnswered(now())
                                                       : state.health.probeFailed(false, now());
        count(probe.healthy ? "healthy" : "unhealthy");
    } else {
        const bool refused = outcome.kind == ExchangeOutcome::Kind::Unreachable;
        state.health.probeFailed(refused, now());
        count(refused ? "refused" : "lost");
    }
    if (wasDown != state.health.isDown()) {
        m_parts.telemetry.send(
            LogEvent {"backend.health", "",
                      "service=" + state.service() + (wasDown ? " down=no" : " down=yes")});
    }
    m_parts.changed();
}

void BackendProbe::count(std::string_view result) const
{
    m_parts.telemetry.send(IncrementCounter {"probes_total", std::string(result)});
}

} // namespace Coltsfootwell
