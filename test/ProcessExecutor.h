// Simulates the scheduling of one process on a shared manual clock, so that a process can be frozen
// or killed.
#pragma once

#include "kernel/ManualExecutor.h"

#include <memory>
#include <utility>
#include <vector>

namespace Coltsfootwell::Testing {

/// \brief Executor of one process. Tasks and timers that are due while the process is frozen run
/// when it is resumed; those of a killed process never run.
class ProcessExecutor final : public Executor
{
public:
    /// \param shared executor of all processes; must outlive this object's processes.
    explicit ProcessExecutor(ManualExecutor &shared) : m_shared(shared) { }

    void post(Task task) override
    {
        if (!m_killed) {
            m_shared.post([this, task = std::move(task)] { run(0, task); });
        }
    }

    TimerId scheduleAfter(Duration delay, Task task) override
    {
        if (m_killed) {
            return 0;
        }
        const auto id = std::make_shared<TimerId>(0);
        *id = m_shared.scheduleAfter(delay, [this, id, task = std::move(task)] { run(*id, task); });
        return *id;
    }

    void cancel(TimerId timer) override
    {
        m_shared.cancel(timer);
        std::erase_if(m_due,
                      [timer](const auto &entry) { return timer != 0 && entry.first == timer; });
    }

    TimePoint now() const override { return m_shared.now(); }

    /// \brief Suspends the process, as SIGSTOP does.
    void freeze() { m_frozen = true; }

    /// \brief Resumes the process.
    void resume()
    {
        m_frozen = false;
        for (auto &[id, task] : std::exchange(m_due, {})) {
            m_shared.post([this, task = std::move(task)] { run(0, task); });
        }
    }

    /// \brief Ends the process, as SIGKILL does.
    void kill()
    {
        m_killed = true;
        m_due.clear();
    }

    bool isFrozen() const { return m_frozen; }
    bool isKilled() const { return m_killed; }

private:
    void run(TimerId id, const Task &task)
    {
        if (m_killed) {
            return;
        }
        if (m_frozen) {
            m_due.emplace_back(id, task);
            return;
        }
        task();
    }

    ManualExecutor &m_shared;
    bool m_frozen = false;
    bool m_killed = false;
    /// Tasks that became due while the process was frozen; id 0 for those that are not timers.
    std::vector<std::pair<TimerId, Task>> m_due;
};

} // namespace Coltsfootwell::Testing
