// Simulated callers, entry daemon, network and serving daemons under a manual clock. Messages are
// lost, delayed, reordered and duplicated; daemons freeze, thaw and restart.
#pragma once

#include "PlacementFixture.h"
#include "decisions/CallFlow.h"
#include "decisions/RetryBudget.h"
#include "decisions/RunLedger.h"
#include "kernel/ManualExecutor.h"

#include <deque>
#include <memory>
#include <string>

namespace Coltsfootwell::Testing {

/// \brief Probabilities of faults, each from 0 to 1.
struct Faults
{
    double loss = 0;
    double duplicate = 0;
    double refusal = 0;
    double freeze = 0;
    double restart = 0;
    std::chrono::milliseconds maxDelay {50};
    std::chrono::milliseconds maxFreeze {500};
    std::chrono::milliseconds maxWork {30};
};

/// \brief What one call came to.
struct CallRecord
{
    unsigned starts = 0;
    bool idempotent = false;
    unsigned attempts = 0;
    bool completed = false;
    std::optional<Outcome> outcome;
    Reason reason = Reason::Cancelled;
};

/// \brief Runs CallFlow against RunLedger, with connections that break and are made again.
class CallSimulation
{
public:
    CallSimulation(std::uint64_t seed, std::size_t daemons, Faults faults,
                   const Guards &guards = FullGuards)
        : m_random(seed), m_faults(faults), m_guards(guards), budget(m_random),
          m_placement(Locality {{"entry", 1}, "r", "dc"}, m_random)
    {
        budget.limitsChanged({0.2, 1000, std::chrono::milliseconds(10'000)});
        m_executor.advance(std::chrono::hours(1));
        Testing::addMembers(m_members, "r", "dc", "s", static_cast<unsigned>(daemons));
        m_placement.configurationChanged(Testing::configurationFor(m_members));
        m_placement.membersChanged(m_members);
        for (std::size_t i = 0; i < daemons; ++i) {
            m_daemons.emplace_back();
            restart(i);
        }
    }

    /// \brief Begins a call.
    /// \return its number.
    std::size_t call(bool idempotent, std::chrono::milliseconds deadline)
    {
        const std::size_t number = m_calls.size();
        m_calls.emplace_back();
        m_calls.back().record.idempotent = idempotent;
        CallAttributes attributes;
        attributes.service = "s";
        attributes.idempotent = idempotent;
        attributes.received = m_executor.now();
        attributes.objective = m_executor.now() + deadline / 2;
        attributes.deadline = m_executor.now() + deadline;
        m_calls.back().flow = std::make_unique<CallFlow>(
            attributes, CallFlowDependencies {m_placement, m_random, budget, m_guards});
        perform(number, m_calls.back().flow->start(m_executor.now()));
        return number;
    }

    void cancel(std::size_t number)
    {
        perform(number, m_calls[number].flow->callCancelled(m_executor.now()));
    }

    /// \brief Runs to the given time; ledgers tick each second.
    void run(Duration time)
    {
        for (const TimePoint end = m_executor.now() + time; m_executor.now() < end;) {
            m_executor.advance(std::chrono::seconds(1));
            for (Daemon &daemon : m_daemons) {
                if (!daemon.frozen) {
                    daemon.ledger->tick();
                }
            }
        }
    }

    void freeze(std::size_t index, Duration time)
    {
        m_daemons[index].frozen = true;
        m_executor.scheduleAfter(time, [this, index] { unfreeze(index); });
    }

    const CallRecord &record(std::size_t number) const { return m_calls[number].record; }
    std::size_t calls() const { return m_calls.size(); }

private:
    struct Daemon
    {
        Incarnation incarnation = 0;
        std::unique_ptr<RunLedger> ledger;
        bool frozen = false;
        std::vector<Task> waiting;
    };

    struct Call
    {
        std::unique_ptr<CallFlow> flow;
        CallRecord record;
        TimerId timer = 0;
    };

    Duration randomDuration(std::chrono::milliseconds max)
    {
        return std::chrono::microseconds(m_random.below(max.count() * 1000 + 1));
    }

    bool chance(double probability) { return m_random.uniform() < probability; }

    void deliver(Task task)
    {
        m_executor.scheduleAfter(randomDuration(m_faults.maxDelay), std::move(task));
    }

    /// A connection ends in one process, so what it carries never reaches a later one.
    void sendToDaemon(std::size_t index, Task task)
    {
        const Incarnation sentTo = m_daemons[index].incarnation;
        const Task deliverTask = [this, index, sentTo, task] {
            if (m_daemons[index].incarnation == sentTo) {
                task();
            }
        };
        deliver([this, index, deliverTask] {
            if (chance(m_faults.freeze) && !m_daemons[index].frozen) {
                freeze(index, randomDuration(m_faults.maxFreeze));
            }
            if (chance(m_faults.restart)) {
                restart(index);
            }
            m_daemons[index].frozen ? m_daemons[index].waiting.push_back(deliverTask)
                                    : deliverTask();
        });
    }

    void unfreeze(std::size_t index)
    {
        m_daemons[index].frozen = false;
        for (const Task &task : std::exchange(m_daemons[index].waiting, {})) {
            task();
        }
    }

    void restart(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        ++daemon.incarnation;
        daemon.ledger = std::make_unique<RunLedger>(daemon.incarnation, m_guards);
    }

    std::size_t indexOf(const DaemonId &id) const
    {
        return std::stoul(id.name.substr(id.name.rfind('-') + 1));
    }

    void perform(std::size_t number, std::span<const CallAction> actions)
    {
        for (const CallAction &action : std::vector(actions.begin(), actions.end())) {
            std::visit([&](const auto &body) { act(number, body); }, action);
        }
    }

    void act(std::size_t number, const SendAttempt &send)
    {
        m_calls[number].record.attempts += 1;
        const std::size_t index = indexOf(send.placed.target.daemon);
        const Incarnation sentTo = m_daemons[index].incarnation;
        const unsigned copies = chance(m_faults.loss) ? 0 : chance(m_faults.duplicate) ? 2 : 1;
        for (unsigned i = 0; i < copies; ++i) {
            sendToDaemon(index, [this, number, send, index] { runAttempt(number, send, index); });
        }
        if (copies != 1 || chance(m_faults.loss)) {
            // The connection breaks; the attempt is asked for over the next one.
            m_executor.scheduleAfter(randomDuration(m_faults.maxDelay),
                                     [this, number, send, index, sentTo] {
                                         resume(number, send.attempt, index, sentTo);
                                     });
        }
    }

    void runAttempt(std::size_t number, const SendAttempt &send, std::size_t index)
    {
        RunLedger &ledger = *m_daemons[index].ledger;
        const RunVerdict verdict = ledger.tryStart(send.attempt);
        if (verdict == RunVerdict::AlreadyStarted) {
            return;
        }
        if (verdict != RunVerdict::Start || chance(m_faults.refusal)) {
            ledger.retractStart(send.attempt);
            sendToCaller(number, [send](CallFlow &flow, TimePoint now) {
                return flow.attemptRefused(send.attempt, Reason::Overloaded, false, now);
            });
            return;
        }
        m_calls[number].record.starts += 1;
        m_executor.scheduleAfter(randomDuration(m_faults.maxWork), [this, number, send] {
            sendToCaller(number, [send](CallFlow &flow, TimePoint now) {
                return flow.attemptAnswered(send.attempt, true, now);
            });
        });
    }

    void resume(std::size_t number, const AttemptId &attempt, std::size_t index, Incarnation sentTo)
    {
        deliver([this, number, attempt, index, sentTo] {
            const RevokeVerdict verdict = m_daemons[index].ledger->revoke(attempt, sentTo);
            deliver([this, number, attempt, verdict] {
                CallFlow &flow = *m_calls[number].flow;
                const TimePoint now = m_executor.now();
                perform(number,
                        verdict == RevokeVerdict::NeverStarts
                            ? flow.attemptRefused(attempt, Reason::Unreachable, false, now)
                            : flow.attemptLost(attempt, now));
            });
        });
    }

    template <typename Input>
    void sendToCaller(std::size_t number, Input input)
    {
        if (!chance(m_faults.loss)) {
            deliver([this, number, input] {
                perform(number, input(*m_calls[number].flow, m_executor.now()));
            });
        }
    }

    void act(std::size_t, const StopAttempt &) { }

    void act(std::size_t number, const DeliverAnswer &) { recordOutcome(number, Outcome::Run); }

    void act(std::size_t number, const RefuseCall &refuse)
    {
        recordOutcome(number, refuse.outcome);
        m_calls[number].record.reason = refuse.reason;
    }

    void act(std::size_t number, const SetTimer &timer)
    {
        m_executor.cancel(m_calls[number].timer);
        m_calls[number].timer
            = m_executor.scheduleAfter(timer.at - m_executor.now(), [this, number] {
                  perform(number, m_calls[number].flow->timerExpired(m_executor.now()));
              });
    }

    void recordOutcome(std::size_t number, Outcome outcome)
    {
        m_calls[number].record.completed = true;
        m_calls[number].record.outcome = outcome;
    }

    SeededRandom m_random;
    Faults m_faults;
    const Guards &m_guards;

public:
    RetryBudget budget;

private:
    ManualExecutor m_executor;
    std::vector<Member> m_members;
    Placement m_placement;
    std::deque<Daemon> m_daemons;
    std::deque<Call> m_calls;
};

} // namespace Coltsfootwell::Testing
