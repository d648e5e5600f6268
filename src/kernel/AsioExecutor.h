// Executor of the programs, backed by a single-threaded Asio io_context.
#pragma once

#include "kernel/Executor.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

namespace Internal {
struct AsioTimer;
}

/// \brief Executor that runs tasks and timers on an Asio io_context.
class AsioExecutor final : public Executor
{
public:
    /// \param context must outlive the executor unless that is closed; its run() must be called by
    /// one thread only.
    explicit AsioExecutor(boost::asio::io_context &context);
    ~AsioExecutor() override;

    void post(Task task) override;
    TimerId scheduleAfter(Duration delay, Task task) override;
    void cancel(TimerId timer) override;
    TimePoint now() const override;

    /// \brief Discards all tasks and timers, and accepts none from now on. Call it before the
    /// io_context is destroyed, whose handlers may hold objects that use the executor, and destroy
    /// the executor after it.
    void close();

    /// \return the io_context, for services that open sockets.
    boost::asio::io_context &context() { return m_context; }

private:
    void scheduleRun();
    void runReady();
    /// Runs a task, and reports an exception that leaves it.
    void runContained(const Task &task, std::string_view where) const;

    boost::asio::io_context &m_context;
    /// Tasks posted from the executor's own thread. They run in batches within one Asio handler,
    /// because Asio polls its sockets between any two handlers and a call takes a dozen tasks.
    std::deque<Task> m_ready;
    bool m_runScheduled = false;
    bool m_closed = false;
    std::unordered_map<TimerId, std::shared_ptr<Internal::AsioTimer>> m_timers;
    TimerId m_lastTimer = 0;
};

} // namespace Coltsfootwell
