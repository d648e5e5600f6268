// Part of the service "backend": health checks of the backend server.
#pragma once

#include "decisions/ProbeSchedule.h"
#include "kernel/Kernel.h"
#include "services/BackendTracker.h"
#include "services/HttpExchange.h"
#include "services/TelemetryMessages.h"

#include <memory>

namespace Coltsfootwell {

/// \brief What the probe works with; all of it outlives the probe.
struct BackendProbeDependencies
{
    Kernel &kernel;
    boost::asio::io_context &context;
    const HttpDialect &dialect;
    BackendTracker &state;
    const Address<TelemetryMessage> &telemetry;
    /// Called when an answer may have changed the state.
    Task changed;
};

/// \brief Sends health checks when they are due, one at a time, and learns from them.
class BackendProbe
{
public:
    explicit BackendProbe(BackendProbeDependencies parts) : m_parts(std::move(parts)) { }

    /// \brief Another process is to be probed, at once.
    void replaced(std::shared_ptr<HttpPool> pool);

    /// \brief The next check sends a probe, whatever is known.
    void soon() { m_soon = true; }

    /// \param perSecond most probes in one second.
    void limitChanged(double perSecond) { m_plan.limitChanged(perSecond); }

    /// \param busy true while calls run.
    /// \return time until the need for a probe is to be looked at again.
    Duration period(bool busy) const;

    /// \brief Sends a probe when one is due.
    /// \param busy true while calls run.
    void check(bool busy);

private:
    TimePoint now() const { return m_parts.kernel.executor().now(); }
    bool isSlow() const;
    void send();
    void ended(const ExchangeOutcome &outcome);
    void count(std::string_view result) const;

    BackendProbeDependencies m_parts;
    ProbeSchedule m_plan;
    std::shared_ptr<HttpPool> m_pool;
    bool m_underWay = false;
    bool m_soon = false;
};

} // namespace Coltsfootwell
