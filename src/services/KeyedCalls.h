// Calls with idempotency keys: finds the daemon that owns the key, and runs, replays or forwards.
// A part of the service "calls".
#pragma once

#include "decisions/KeyTable.h"
#include "decisions/Routing.h"
#include "kernel/Kernel.h"
#include "services/BodyCollector.h"
#include "services/CallsMessage.h"
#include "services/ClaimMessages.h"

#include <functional>
#include <span>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Puts keys around calls; the calls themselves are run by the function it is given.
class KeyedCalls
{
public:
    /// \param kernel gives the executor, randomness and the directory.
    /// \param place this daemon.
    /// \param guards rules in force; outlives the object.
    /// \param run carries out a call that this daemon may start; the number of the call is set
    /// here.
    KeyedCalls(Kernel &kernel, Place place, const Guards &guards,
               std::function<void(SubmitCall, CallFacts)> run);

    /// \brief Looks up the services it needs.
    /// \return an error of the directory, or cleared.
    std::error_code start();

    /// \brief Carries out a call that has a key.
    /// \param call its reply gets the answer.
    /// \param facts of the call.
    /// \param configuration in force.
    void submit(SubmitCall call, CallFacts facts, const Configuration &configuration);

    /// \return true when no call with the key can have run: only this process may start it, and it
    /// has not. False for calls that another daemon may have started.
    bool provesNotRun(const CallEnvelope &envelope) const;

    /// \brief Takes over a new list of daemons.
    void membersChanged(std::span<const Member> members);

    /// \brief Forgets what is out of date; called now and then.
    void expire();

    /// \return a new key that this daemon owns.
    std::string mint();

private:
    struct Waiter
    {
        Reply<CallResult> reply;
        TimerId timer = 0;
    };

    struct Pending
    {
        SubmitCall call;
        CallFacts facts;
        TimePoint expires;
        TimerId timer = 0;
    };

    void claim(SubmitCall call, CallFacts facts, TimePoint expires);
    void claimed(std::uint64_t number, const std::optional<KeyClaimed> &result);
    void toOwner(SubmitCall call, CallFacts facts, const DaemonId &owner, TimePoint expires);
    void runHere(SubmitCall call, CallFacts facts, TimePoint expires);
    void forward(SubmitCall call, const CallFacts &facts, const DaemonId &owner);
    void runFirst(const std::string &key, SubmitCall call, CallFacts facts);
    void wait(const std::string &key, const SubmitCall &call, const CallFacts &facts);
    void ended(const std::string &key, const Reply<CallResult> &first,
               std::optional<CallResult> result);
    void collected(const std::string &key, const Reply<CallResult> &first,
                   const CallAnswered &answered, CollectedBody body);
    void refuseAll(const std::string &key, const Reply<CallResult> &first,
                   const CallRefused &refused);
    std::vector<Waiter> takeWaiters(const std::string &key);
    CallAnswered answerOf(const StoredAnswer &stored);
    std::chrono::seconds runningTime() const;

    Kernel &m_kernel;
    Place m_place;
    std::function<void(SubmitCall, CallFacts)> m_run;
    TimePoint m_began;
    KeyTable m_table;
    std::unordered_map<std::string, std::vector<Waiter>> m_waiters;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::unordered_map<DaemonId, Target> m_daemons;
    std::uint64_t m_lastNumber = 0;
    Address<PeersMessage> m_peers;
    Address<ClaimKey> m_claims;
};

} // namespace Coltsfootwell
