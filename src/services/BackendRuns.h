// Part of the service "backend": the runs that are queued for the backend server or in progress.
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

/// \brief Dependencies of BackendRuns; all references must outlive it.
struct BackendRunsDependencies
{
    Kernel &kernel;
    boost::asio::io_context &context;
    const BackendSettings &settings;
    BackendTracker &tracker;
    const Address<TelemetryMessage> &telemetry;
    const Address<CallsMessage> &calls;
    /// Returns the load to report with answers and refusals.
    std::function<LoadReport()> currentLoad;
    /// Called when the load may have changed.
    Task onLoadChanged;
};

/// \brief Admits, starts, cancels and revokes runs on the backend server.
class BackendRuns
{
public:
    virtual ~BackendRuns() = default;

    /// \brief Starts, enqueues or refuses an attempt.
    virtual void handle(RunAttempt run) = 0;
    /// \brief Stores the body of a queued run and dispatches the queue.
    virtual void handle(BodyArrived message) = 0;
    /// \brief Cancels a run that is queued or in progress.
    virtual void handle(CancelAttempt cancel) = 0;
    /// \brief Prevents an attempt from starting unless it has already started.
    virtual void handle(RevokeAttempt revoke) = 0;
    /// \brief Excludes a run from the concurrency estimate because it has made a nested call.
    virtual void handle(const NestedCallMade &made) = 0;
    /// \brief Records that a nested call of a run was refused, which may explain its failure.
    virtual void handle(const NestedCallRefused &refused) = 0;

    /// \brief Starts queued runs as slots allow and refuses those that cannot start in time.
    virtual void dispatchQueue() = 0;

    /// \brief Switches to another process of the backend server.
    /// \param pool connections to the new process.
    virtual void instanceReplaced(std::shared_ptr<HttpPool> pool) = 0;

    /// \param slots maximum number of concurrent runs.
    virtual void slotsChanged(std::uint32_t slots) = 0;

    /// \brief Refuses all new calls from now on except those made by runs in progress.
    virtual void acceptOnlyNestedCalls() = 0;

    /// \brief Expires ledger entries and idle connections; call once per TickInterval.
    virtual void tick() = 0;

    /// \brief Stops the dispatch of queued runs.
    virtual void stop() = 0;

    /// \return true if no run is queued or in progress.
    virtual bool empty() const = 0;

    /// \return number of bytes that answers of the backend server's present process hold.
    virtual std::size_t heldAnswerBytes() const = 0;

    /// \return the slots in use and the queue for them.
    virtual const SlotQueue &slots() const = 0;

    /// Interval between calls of tick().
    static constexpr std::chrono::seconds TickInterval {1};
};

std::unique_ptr<BackendRuns> makeBackendRuns(BackendRunsDependencies dependencies);

} // namespace Coltsfootwell
