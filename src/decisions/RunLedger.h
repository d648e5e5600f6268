// Records which attempts one incarnation of a serving daemon has started or revoked.
//
// An attempt and its revocation may arrive in any order and on different connections. The first one
// to be handled wins: an attempt that is revoked before it arrives never starts, which makes the
// outcome "not run" correct.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Ids.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace Coltsfootwell {

/// \brief Result of tryStart().
enum class RunVerdict {
    Start,
    Revoked,
    AlreadyStarted,
};

/// \brief Result of revoke().
enum class RevokeVerdict {
    /// The attempt will never start in this incarnation.
    NeverStarts,
    Started,
    /// Nothing is guaranteed: the attempt was sent to another process, or the number of tombstones
    /// has reached its limit.
    CannotRevoke,
};

/// \brief Ensures that each attempt starts at most once in one incarnation.
class RunLedger
{
public:
    /// Number of one-second ticks after which an entry expires. Ticks count the running time of the
    /// process, so a daemon that was frozen reads its pending socket data before a tombstone
    /// expires.
    static constexpr unsigned RetentionTicks = 120;
    /// Number of tombstones, including those of retracted starts, at which revoke() returns
    /// CannotRevoke for further attempts.
    static constexpr std::size_t MaxTombstones = 100'000;

    /// \param self this process.
    /// \param guards safety rules; must outlive the object.
    explicit RunLedger(Incarnation self, const Guards &guards = FullGuards);

    /// \brief Decides whether an attempt may start, and records the start.
    RunVerdict tryStart(const AttemptId &attempt);

    /// \brief Revokes an attempt unless it has started.
    /// \param sentTo process to which the attempt was sent; 0 if unknown to the sender.
    RevokeVerdict revoke(const AttemptId &attempt, Incarnation sentTo);

    /// \brief Retracts a start that was refused before any byte was sent to the backend server.
    /// \param attempt the attempt, which is treated as revoked from now on.
    void retractStart(const AttemptId &attempt);

    /// \brief Expires old entries; must be called once per second.
    void tick();

    /// \return number of started and revoked attempts.
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

    void addEntry(const AttemptId &attempt, Entry entry);

    Incarnation m_self;
    const Guards &m_guards;
    std::unordered_map<AttemptId, Entry> m_entries;
    std::deque<Expiry> m_expiries;
    std::size_t m_tombstones = 0;
    std::uint64_t m_tick = 0;
};

} // namespace Coltsfootwell
