// The executor of the programs: one Asio io_context that one thread runs.
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

/// \brief Executor on top of an Asio io_context.
class AsioExecutor final : public Executor
{
public:
    /// \param context outlives the executor; its run() is called by one thread only.
    explicit AsioExecutor(boost::asio::io_context &context);
    ~AsioExecutor() override;

    void post(Task task) override;
    TimerId scheduleAfter(Duration delay, Task task) override;
    void cancel(TimerId timer) override;
    TimePoint now() const override;

    /// \return the context, for services that open sockets.
    boost::asio::io_context &context() { return m_context; }

private:
    void runReady();

    boost::asio::io_context &m_context;
    /// Tasks posted on the executor's own thread. Asio polls its sockets between any two handlers,
    /// and a call passes through a dozen tasks, so these run in batches within one handler.
    std::deque<Task> m_ready;
    bool m_scheduled = false;
    std::unordered_map<TimerId, std::shared_ptr<Internal::AsioTimer>> m_timers;
    TimerId m_lastTimer = 0;
};

} // namespace Coltsfootwell
