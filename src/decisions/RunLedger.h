// Keeps what one incarnation of a serving daemon has started or promised never to start.
//
// A run and the question whether it has started may arrive in any order and on different
// connections. Whichever is handled first wins: an attempt that is asked for before it arrives
// never starts, which makes the answer "not run" true.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Ids.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Answer to a run message.
enum class RunVerdict {
    Start,
    Revoked,
    AlreadyStarted,
};

/// \brief Answer to the question whether an attempt has started.
enum class RevokeVerdict {
    /// The attempt will never start in this incarnation.
    NeverStarts,
    Started,
    /// The attempt was sent to another process, or the table of tombstones is full, so that nothing
    /// can be promised.
    CannotRevoke,
};

/// \brief At most one start for each attempt in one incarnation.
class RunLedger
{
public:
    /// Entries are forgotten after this many ticks of one second. Ticks count running time: a
    /// daemon that was frozen handles what waits in its sockets before it forgets a tombstone.
    static constexpr unsigned RetentionTicks = 120;
    static constexpr std::size_t MaxTombstones = 100'000;

    /// \param self this process.
    /// \param guards rules in force; outlives the object.
    explicit RunLedger(Incarnation self, const Guards &guards = FullGuards);

    /// \brief Decides on a run message and records the start.
    RunVerdict tryStart(const AttemptId &attempt);

    /// \brief Tells whether an attempt has started; one that has not never will.
    /// \param sentTo process that the attempt was sent to; 0 when the sender does not know.
    RevokeVerdict revoke(const AttemptId &attempt, Incarnation sentTo);

    /// \brief Withdraws a start that was refused before a byte went to the backend server.
    /// \param attempt the attempt; it stays refused for good.
    void retractStart(const AttemptId &attempt);

    /// \brief Ages all entries; called once a second.
    void tick();

    /// \return number of attempts and tombstones held.
    std::size_t size() const { return m_entries.size(); }

private:
    enum class Entry {
        Started,
        NeverStarts,
    };

    struct Expiry
    {
        std::uint64_t tick;
        AttemptId attempt;
    };

    void remember(const AttemptId &attempt, Entry entry);

    Incarnation m_self;
    const Guards &m_guards;
    std::unordered_map<AttemptId, Entry> m_entries;
    std::deque<Expiry> m_expiries;
    std::size_t m_tombstones = 0;
    std::uint64_t m_tick = 0;
};

} // namespace Coltsfootwell
