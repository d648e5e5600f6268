#include "services/BackendMonitor.h"

#include "services/ServiceNames.h"

#include <array>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ProbeCheck {500};

/// Names by BackendState.
constexpr std::array<std::string_view, 5> StateNames {"absent", "cold", "warm", "draining", "gone"};

std::string stateName(BackendState state)
{
    return std::string(StateNames[static_cast<std::size_t>(state)]);
}

} // namespace

BackendMonitor::BackendMonitor(Kernel &kernel, boost::asio::io_context &context,
                               std::function<void(const ProbeResult &)> probed)
    : m_kernel(kernel), m_context(context), m_probed(std::move(probed))
{
}

void BackendMonitor::start(Address<MembershipMessage> membership,
                           Address<TelemetryMessage> telemetry)
{
    m_membership = std::move(membership);
    m_telemetry = std::move(telemetry);
    probeIfWanted();
}

void BackendMonitor::stop()
{
    m_kernel.executor().cancel(m_timer);
}

void BackendMonitor::watch(std::string service, std::shared_ptr<HttpPool> pool)
{
    m_service = std::move(service);
    m_pool = std::move(pool);
}

void BackendMonitor::limitsChanged(double probesPerSecond, unsigned slots)
{
    m_probes.limitsChanged(probesPerSecond, slots);
}

void BackendMonitor::answered()
{
    // Answers do not tell whether a cold server bears more, so only warm ones replace probes.
    if (std::get<BackendState>(m_reported) != BackendState::Cold) {
        m_probes.answered(m_kernel.executor().now());
    }
}

void BackendMonitor::report(const LoadReport &load, unsigned slots)
{
    const auto state = std::tuple(m_service, load.state, slots);
    if (state == m_reported) {
        return;
    }
    m_reported = state;
    m_membership.send(BackendChanged {m_service, load.state, slots});
    m_telemetry.send(CountEvent {"backend_states_total", stateName(load.state)});
    m_telemetry.send(StateChanged {ServiceName::Backend,
                                   "backend server of " + m_service + " is " + stateName(load.state)
                                       + ", limit " + std::to_string(load.limit)});
}

void BackendMonitor::measure(const LoadReport &load)
{
    if (m_service.empty()) {
        return;
    }
    setGauge("backend_slots_in_use", load.inUse);
    setGauge("backend_calls_waiting", load.waiting);
    setGauge("backend_limit", load.limit);
    setGauge("backend_probe_seconds",
             std::chrono::duration<double>(m_probes.counts().slotTime).count());
}

void BackendMonitor::probeIfWanted()
{
    m_timer = m_kernel.executor().after(ProbeCheck, [this] { probeIfWanted(); });
    if (!m_pool) {
        return;
    }
    const bool wanted = m_probes.wanted(m_kernel.executor().now());
    m_telemetry.send(CountEvent {"probes_total", wanted ? "sent" : "skipped"});
    if (!wanted) {
        return;
    }
    probeBackend(m_context, m_kernel.executor(), m_pool, [this, pool = m_pool](ProbeResult result) {
        m_probes.probeEnded(m_kernel.executor().now());
        m_telemetry.send(CountEvent {"probes_total", result.alive ? "answered" : "lost"});
        // A server that was replaced meanwhile is not judged by the probe of its predecessor.
        if (pool == m_pool) {
            m_probed(result);
        }
    });
}

void BackendMonitor::setGauge(std::string_view metric, double value)
{
    m_telemetry.send(SetGauge {metric, m_service, value});
}

} // namespace Coltsfootwell
