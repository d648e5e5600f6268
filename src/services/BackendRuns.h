// Part of the service "backend": the calls that wait for the backend server or run on it.
#pragma once

#include "decisions/SlotQueue.h"
#include "kernel/Kernel.h"
#include "services/Backend.h"
#include "services/BackendTracker.h"
#include "services/HttpExchange.h"
#include "services/TelemetryMessages.h"

#include <functional>
#include <memory>

namespace Coltsfootwell {

/// \brief What the runs work with; all of it outlives them.
struct BackendRunsDependencies
{
    Kernel &kernel;
    boost::asio::io_context &context;
    const BackendSettings &settings;
    BackendTracker &state;
    const Address<TelemetryMessage> &telemetry;
    const Address<CallsMessage> &calls;
    /// Load to report with answers and refusals.
    std::function<LoadReport()> load;
    /// Called when the load may have changed.
    Task changed;
};

/// \brief Admits, starts, ends and revokes runs.
class BackendRuns
{
public:
    virtual ~BackendRuns() = default;

    /// \brief Runs an attempt, lets it wait or refuses it.
    virtual void handle(RunAttempt run) = 0;
    /// \brief Starts a run that has waited for its body.
    virtual void handle(BodyArrived message) = 0;
    virtual void handle(CancelAttempt cancel) = 0;
    virtual void handle(RevokeAttempt revoke) = 0;
    virtual void handle(const NestedCallMade &made) = 0;

    /// \brief Starts and refuses what waits.
    virtual void decide() = 0;

    /// \param pool connections to the present process of the backend server.
    virtual void replaced(std::shared_ptr<HttpPool> pool) = 0;

    /// \param slots calls that may run at once.
    virtual void slotsChanged(std::uint32_t slots) = 0;

    /// \brief Only calls of runs that work already are taken from now on.
    virtual void finish() = 0;

    /// \brief Forgets old attempts and closes old connections; to be called each LedgerTick.
    virtual void tick() = 0;

    /// \brief Starts nothing more.
    virtual void stop() = 0;

    /// \return true when no run waits or works.
    virtual bool empty() const = 0;

    /// \return what runs, waits and may run.
    virtual const SlotQueue &slots() const = 0;

    static constexpr std::chrono::seconds LedgerTick {1};
};

/// \param parts see BackendRunsDependencies.
/// \return the runs; none at first.
std::unique_ptr<BackendRuns> makeBackendRuns(BackendRunsDependencies parts);

} // namespace Coltsfootwell
