// Simulated callers, entry daemon, network and serving daemons under a manual clock. Messages are
// lost, delayed, reordered and duplicated; daemons freeze, thaw and restart.
#pragma once

#include "decisions/CallFlow.h"
#include "decisions/RetryBudget.h"
#include "kernel/ManualExecutor.h"

#include <deque>
#include <memory>
#include <string>

namespace Coltsfootwell::Test {

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
    bool told = false;
    std::optional<Outcome> outcome;
    Reason reason = Reason::Cancelled;
};

/// \brief Runs CallFlow against RunLedger.
class CallWorld
{
public:
    CallWorld(std::uint64_t seed, std::size_t daemons, Faults faults,
              const Guards &guards = FullGuards)
        : m_random(seed), m_faults(faults), m_guards(guards),
          m_routing(Place {{"entry", 1}, "r", "dc"}, m_random)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        configuration->dataCentres["dc"] = {"r", true};
        configuration->services["s"] = {};
        m_routing.configurationChanged(configuration);
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
        CallFacts facts;
        facts.service = "s";
        facts.idempotent = idempotent;
        facts.deadline = m_executor.now() + deadline;
        m_calls.back().flow = std::make_unique<CallFlow>(
            facts,
            CallFlowParts {m_routing, m_random, budget, std::chrono::milliseconds(20), m_guards});
        perform(number, m_calls.back().flow->begin(m_executor.now()));
        return number;
    }

    void cancel(std::size_t number)
    {
        perform(number, m_calls[number].flow->cancelled(m_executor.now()));
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
        m_executor.after(time, [this, index] { thaw(index); });
    }

    const CallRecord &record(std::size_t number) const { return m_calls[number].record; }
    std::size_t calls() const { return m_calls.size(); }

    RetryBudget budget;

private:
    struct Daemon
    {
        DaemonId id;
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

    Duration randomTime(std::chrono::milliseconds max)
    {
        return std::chrono::microseconds(m_random.below(max.count() * 1000 + 1));
    }

    bool happens(double probability) { return m_random.unit() < probability; }

    void deliver(Task task)
    {
        const unsigned copies = happens(m_faults.loss) ? 0 : happens(m_faults.duplicate) ? 2 : 1;
        for (unsigned i = 0; i < copies; ++i) {
            m_executor.after(randomTime(m_faults.maxDelay), task);
        }
    }

    /// A connection ends in one process, so a duplicate never reaches a later incarnation than the
    /// first copy did.
    void toDaemon(std::size_t index, Task body)
    {
        auto reached = std::make_shared<Incarnation>(0);
        const Task task = [this, index, body, reached] {
            const Incarnation current = m_daemons[index].id.incarnation;
            if (*reached == 0 || *reached == current) {
                *reached = current;
                body();
            }
        };
        deliver([this, index, task] {
            if (happens(m_faults.freeze) && !m_daemons[index].frozen) {
                freeze(index, randomTime(m_faults.maxFreeze));
            }
            if (happens(m_faults.restart)) {
                restart(index);
            }
            m_daemons[index].frozen ? m_daemons[index].waiting.push_back(task) : task();
        });
    }

    void thaw(std::size_t index)
    {
        m_daemons[index].frozen = false;
        for (const Task &task : std::exchange(m_daemons[index].waiting, {})) {
            task();
        }
    }

    void restart(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        daemon.id = {"d" + std::to_string(index), daemon.id.incarnation + 1};
        daemon.ledger = std::make_unique<RunLedger>(daemon.id, m_guards);
        std::vector<Member> members;
        for (const Daemon &it : m_daemons) {
            Member member;
            member.id = it.id;
            member.region = "r";
            member.dataCentre = "dc";
            member.service = "s";
            member.backend = BackendState::Warm;
            member.slots = 8;
            members.push_back(member);
        }
        m_routing.membersChanged(members);
    }

    std::size_t indexOf(const DaemonId &id) const { return std::stoul(id.name.substr(1)); }

    void perform(std::size_t number, std::span<const CallAction> actions)
    {
        for (const CallAction &action : std::vector(actions.begin(), actions.end())) {
            std::visit([&](const auto &body) { act(number, body); }, action);
        }
    }

    void act(std::size_t number, const SendAttempt &send)
    {
        CallRecord &record = m_calls[number].record;
        record.attempts += 1;
        toDaemon(indexOf(send.target.daemon), [this, number, send] { runAttempt(number, send); });
    }

    void runAttempt(std::size_t number, const SendAttempt &send)
    {
        Daemon &daemon = m_daemons[indexOf(send.target.daemon)];
        const RunVerdict verdict = daemon.ledger->run(send.attempt, send.target.daemon);
        if (verdict == RunVerdict::AlreadyStarted) {
            return;
        }
        if (verdict != RunVerdict::Start || happens(m_faults.refusal)) {
            if (verdict == RunVerdict::Start) {
                daemon.ledger->refused(send.attempt);
            }
            const Reason reason
                = verdict == RunVerdict::Start ? Reason::Overloaded : Reason::Revoked;
            deliver([this, number, send, reason] {
                perform(number,
                        m_calls[number].flow->refused(send.attempt, reason, m_executor.now()));
            });
            return;
        }
        m_calls[number].record.starts += 1;
        m_executor.after(randomTime(m_faults.maxWork), [this, number, send] {
            deliver([this, number, send] {
                perform(number, m_calls[number].flow->answered(send.attempt, m_executor.now()));
            });
        });
        if (happens(m_faults.loss)) {
            deliver([this, number, send] {
                perform(number,
                        m_calls[number].flow->lost(send.attempt, AttemptLoss::Sent, false,
                                                   m_executor.now()));
            });
        }
    }

    void act(std::size_t number, const SendRevocation &send)
    {
        toDaemon(indexOf(send.target.daemon), [this, number, send] {
            Daemon &daemon = m_daemons[indexOf(send.target.daemon)];
            const RevokeVerdict verdict = daemon.ledger->revoke(send.attempt, send.target.daemon);
            deliver([this, number, send, verdict] {
                perform(
                    number,
                    m_calls[number].flow->revocationEnded(send.attempt, verdict, m_executor.now()));
            });
        });
        m_executor.after(std::chrono::milliseconds(500), [this, number, send] {
            perform(number,
                    m_calls[number].flow->revocationEnded(send.attempt, std::nullopt,
                                                          m_executor.now()));
        });
    }

    void act(std::size_t, const StopAttempt &) { }

    void act(std::size_t number, const DeliverAnswer &) { tell(number, Outcome::Run); }

    void act(std::size_t number, const RefuseCall &refuse)
    {
        tell(number, refuse.outcome);
        m_calls[number].record.reason = refuse.reason;
    }

    void act(std::size_t number, const SetTimer &timer)
    {
        m_executor.cancel(m_calls[number].timer);
        m_calls[number].timer = m_executor.after(timer.at - m_executor.now(), [this, number] {
            perform(number, m_calls[number].flow->timeout(m_executor.now()));
        });
    }

    void tell(std::size_t number, Outcome outcome)
    {
        m_calls[number].record.told = true;
        m_calls[number].record.outcome = outcome;
    }

    ManualExecutor m_executor;
    SeededRandom m_random;
    Faults m_faults;
    const Guards &m_guards;
    Routing m_routing;
    std::deque<Daemon> m_daemons;
    std::deque<Call> m_calls;
};

} // namespace Coltsfootwell::Test
