#include "kernel/AsioExecutor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Coltsfootwell {

namespace {

/// Maximum number of tasks run in one Asio handler. Limits how long tasks that post further tasks
/// can delay socket and timer events.
constexpr std::size_t MaxTasksPerBatch = 128;

} // namespace

namespace Internal {

struct AsioTimer
{
    explicit AsioTimer(boost::asio::io_context &context) : timer(context) { }

    boost::asio::steady_timer timer;
};

} // namespace Internal

AsioExecutor::AsioExecutor(boost::asio::io_context &context) : m_context(context)
{
}

AsioExecutor::~AsioExecutor() = default;

void AsioExecutor::close()
{
    m_closed = true;
    // Tasks may hold objects whose destructors call the executor.
    const auto tasks = std::exchange(m_ready, {});
    const auto timers = std::exchange(m_timers, {});
}

void AsioExecutor::post(Task task)
{
    if (m_closed) {
        return;
    }
    if (!m_context.get_executor().running_in_this_thread()) {
        boost::asio::post(m_context,
                          [this, task = std::move(task)]() mutable { post(std::move(task)); });
        return;
    }
    m_ready.push_back(std::move(task));
    scheduleRun();
}

void AsioExecutor::scheduleRun()
{
    if (!m_runScheduled) {
        boost::asio::post(m_context, [this] { runReady(); });
        // Set last, because nothing would run any more if it were set and post() had thrown.
        m_runScheduled = true;
    }
}

void AsioExecutor::runContained(const Task &task, std::string_view where) const
{
    try {
        task();
    } catch (...) {
        reportFailure(where, std::current_exception());
    }
}

void AsioExecutor::runReady()
{
    const auto endBatch = [this] {
        m_runScheduled = false;
        if (!m_ready.empty()) {
            scheduleRun();
        }
    };
    try {
        for (std::size_t n = 0; n < MaxTasksPerBatch && !m_ready.empty(); ++n) {
            const Task task = std::move(m_ready.front());
            m_ready.pop_front();
            runContained(task, "executor");
        }
    } catch (...) {
        // There is no failure sink. The tasks behind this one run all the same.
        endBatch();
        throw;
    }
    endBatch();
}

TimerId AsioExecutor::scheduleAfter(Duration delay, Task task)
{
    const TimerId id = ++m_lastTimer;
    if (m_closed) {
        return id;
    }
    auto timer = std::make_shared<Internal::AsioTimer>(m_context);
    timer->timer.expires_after(delay);
    timer->timer.async_wait([this, id, task = std::move(task)](boost::system::error_code ec) {
        // The handler of a cancelled timer may run while the executor is being destroyed, so it
        // must not access members.
        if (ec) {
            return;
        }
        // Asio does not cancel a wait whose timer has expired and whose handler is queued.
        if (m_timers.erase(id) == 0) {
            return;
        }
        runContained(task, "timer");
    });
    m_timers.emplace(id, std::move(timer));
    return id;
}

void AsioExecutor::cancel(TimerId timer)
{
    if (auto it = m_timers.find(timer); it != m_timers.end()) {
        it->second->timer.cancel();
        m_timers.erase(it);
    }
}

TimePoint AsioExecutor::now() const
{
    return std::chrono::steady_clock::now();
}

} // namespace Coltsfootwell
