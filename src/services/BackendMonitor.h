// Part of the service "backend": probes the server within the budget and tells other services of
// its state.
#pragma once

#include "decisions/ProbeBudget.h"
#include "kernel/Kernel.h"
#include "services/BackendProbe.h"
#include "services/MembershipMessages.h"
#include "services/TelemetryMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <tuple>

namespace Coltsfootwell {

/// \brief Watches one backend server.
class BackendMonitor
{
public:
    /// \param probed called with the result of each probe of the present server.
    BackendMonitor(Kernel &kernel, boost::asio::io_context &context,
                   std::function<void(const ProbeResult &)> probed);

    void start(Address<MembershipMessage> membership, Address<TelemetryMessage> telemetry);
    void stop();

    /// \brief Begins to watch a server in place of an earlier one.
    /// \param service name of its service.
    /// \param pool connections to it.
    void watch(std::string service, std::shared_ptr<HttpPool> pool);

    void limitsChanged(double probesPerSecond, unsigned slots);

    /// \brief A real answer has arrived.
    void answered();

    /// \brief Tells other services when the state or the slots have changed.
    void report(const LoadReport &load, unsigned slots);

    /// \brief Sets the gauges; called once a second.
    void measure(const LoadReport &load);

private:
    void probeIfWanted();
    void setGauge(std::string_view metric, double value);

    Kernel &m_kernel;
    boost::asio::io_context &m_context;
    std::function<void(const ProbeResult &)> m_probed;
    Address<MembershipMessage> m_membership;
    Address<TelemetryMessage> m_telemetry;
    ProbeBudget m_probes;
    std::string m_service;
    std::shared_ptr<HttpPool> m_pool;
    /// Service, state and slots as told last.
    std::tuple<std::string, BackendState, unsigned> m_reported {};
    TimerId m_timer = 0;
};

} // namespace Coltsfootwell
