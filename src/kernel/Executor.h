// Interface of the single-threaded executor that runs tasks and timers. The programs use an
// Asio-backed implementation, tests one with a manual clock.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace Coltsfootwell {

using Task = std::function<void()>;
using TimerId = std::uint64_t;
/// Receives an exception that has left a handler, and the kind of that handler.
using FailureSink = std::function<void(std::string_view where, const std::exception_ptr &error)>;

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

    /// \brief Sets what receives the exceptions that leave tasks and timers. It must not throw.
    ///
    /// Each of them ends the one task only. Without a sink they leave the loop that runs the
    /// executor, so that a test fails by them.
    void setFailureSink(FailureSink sink) { m_failureSink = std::move(sink); }

    /// \brief Passes an exception to the sink, or throws it again if there is none.
    /// \param where kind of the handler that it has left; a string literal.
    void reportFailure(std::string_view where, const std::exception_ptr &error) const
    {
        if (!m_failureSink) {
            std::rethrow_exception(error);
        }
        m_failureSink(where, error);
    }

private:
    FailureSink m_failureSink;
};

} // namespace Coltsfootwell
