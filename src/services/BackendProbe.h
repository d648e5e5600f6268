// Part of the service "backend": health checks of the backend server.
#pragma once

#include "decisions/ProbeSchedule.h"
#include "kernel/Kernel.h"
#include "services/BackendTracker.h"
#include "services/HttpExchange.h"
#include "services/TelemetryMessages.h"

#include <memory>

namespace Coltsfootwell {

/// \brief Dependencies of BackendProbe; all references must outlive the probe.
struct BackendProbeDependencies
{
    Kernel &kernel;
    boost::asio::io_context &context;
    const HttpDialect &dialect;
    BackendTracker &tracker;
    const Address<TelemetryMessage> &telemetry;
    /// Called when the result of a probe may have changed the state of the server.
    Task onStateChanged;
};

/// \brief Sends health checks when they are due, at most one at a time, and applies their results.
class BackendProbe
{
public:
    explicit BackendProbe(BackendProbeDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    /// \brief Switches to another process of the backend server and probes it at the next check.
    /// \param pool connections to the new process that only health checks use, since the answers to
    /// health checks name no request.
    void instanceReplaced(std::shared_ptr<HttpPool> pool);

    /// \brief Makes the next sendIfDue() send a probe regardless of the schedule.
    void forceNextProbe() { m_forced = true; }

    /// \param perSecond maximum number of probes per second.
    void rateLimitChanged(double perSecond) { m_schedule.limitChanged(perSecond); }

    /// \param busy true while calls run on the server.
    /// \return time until the next call of sendIfDue().
    Duration checkInterval(bool busy) const;

    /// \brief Sends a probe if one is due and none is in flight.
    /// \param busy true while calls run on the server.
    void sendIfDue(bool busy);

private:
    TimePoint now() const { return m_dependencies.kernel.executor().now(); }
    bool isSlow() const;
    void send();
    /// \param sentAt time at which the probe was sent.
    void probeEnded(const ExchangeOutcome &outcome, TimePoint sentAt);
    void countResult(std::string_view result) const;

    BackendProbeDependencies m_dependencies;
    ProbeSchedule m_schedule;
    std::shared_ptr<HttpPool> m_pool;
    bool m_inFlight = false;
    bool m_forced = false;
};

} // namespace Coltsfootwell
