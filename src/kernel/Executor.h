// Where tasks run: posted functions and timers on one thread. Asio drives it in the programs, a
// manual clock drives it in tests.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <functional>

namespace Coltsfootwell {

using Task = std::function<void()>;
using TimerId = std::uint64_t;

/// \brief Runs tasks one after another and keeps their timers.
class Executor
{
public:
    virtual ~Executor() = default;

    /// \brief Queues a task. May be called from any thread.
    /// \param task run later on the executor's thread.
    virtual void post(Task task) = 0;

    /// \brief Starts a timer. Only for the executor's own thread.
    /// \param delay time to wait; zero or less runs the task on the next turn.
    /// \param task run when the time is over.
    /// \return identifier for cancel().
    virtual TimerId scheduleAfter(Duration delay, Task task) = 0;

    /// \brief Stops a timer; without effect when it has fired.
    /// \param timer result of after().
    virtual void cancel(TimerId timer) = 0;

    /// \return the current time of the monotonic clock.
    virtual TimePoint now() const = 0;
};

} // namespace Coltsfootwell
