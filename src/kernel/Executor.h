// Interface of the single-threaded executor that runs tasks and timers. The programs use an
// Asio-backed implementation, tests one with a manual clock.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <functional>

namespace Coltsfootwell {

using Task = std::function<void()>;
using TimerId = std::uint64_t;

/// \brief Runs tasks and timers sequentially on one thread.
class Executor
{
public:
    virtual ~Executor() = default;

    /// \brief Enqueues a task. May be called from any thread.
    /// \param task runs later on the executor's thread.
    virtual void post(Task task) = 0;

    /// \brief Starts a one-shot timer. Must be called on the executor's thread.
    /// \param delay time until the timer fires; zero or less fires on the next iteration.
    /// \param task runs when the timer fires.
    /// \return identifier for cancel().
    virtual TimerId scheduleAfter(Duration delay, Task task) = 0;

    /// \brief Cancels a timer, also one that is due but has not fired. Has no effect if it has
    /// fired.
    ///
    /// \param timer identifier returned by scheduleAfter().
    virtual void cancel(TimerId timer) = 0;

    /// \return the current time of the monotonic clock.
    virtual TimePoint now() const = 0;
};

} // namespace Coltsfootwell
