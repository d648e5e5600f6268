// Executor with a manually advanced clock, for tests and for front ends that provide their own
// clock.
#pragma once

#include "kernel/Executor.h"

#include <deque>
#include <map>
#include <utility>

namespace Coltsfootwell {

/// \brief Executor whose clock moves only when advance() is called.
class ManualExecutor final : public Executor
{
public:
    void post(Task task) override { m_ready.push_back(std::move(task)); }

    TimerId scheduleAfter(Duration delay, Task task) override
    {
        const TimerId id = ++m_lastTimer;
        m_timers.emplace(std::pair(m_now + delay, id), std::move(task));
        return id;
    }

    void cancel(TimerId timer) override
    {
        std::erase_if(m_timers, [timer](const auto &entry) { return entry.first.second == timer; });
    }

    TimePoint now() const override { return m_now; }

    /// \brief Runs all posted tasks, including tasks that are posted while it runs.
    void runReady()
    {
        while (!m_ready.empty()) {
            Task task = std::move(m_ready.front());
            m_ready.pop_front();
            task();
        }
    }

    /// \brief Advances the clock and runs the due tasks and timers in order.
    /// \param step duration by which the clock advances.
    void advance(Duration step)
    {
        const TimePoint end = m_now + step;
        runReady();
        while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
            auto node = m_timers.extract(m_timers.begin());
            m_now = std::max(m_now, node.key().first);
            node.mapped()();
            runReady();
        }
        m_now = end;
    }

private:
    std::deque<Task> m_ready;
    std::map<std::pair<TimePoint, TimerId>, Task> m_timers;
    TimePoint m_now {};
    TimerId m_lastTimer = 0;
};

} // namespace Coltsfootwell
