// Which call a daemon makes to the store to learn the operators' state.
//
// Answers the load pattern of a long state behind a link that many daemons share, most of all when
// they start together: short answers are read by everyone, since they cost little and come at once;
// long ones only by the readers of each data centre, and by a daemon that nobody else tells.
#pragma once

#include "decisions/StoreReaders.h"
#include "kernel/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

namespace Coltsfootwell {

/// \brief Read the newest record of each key.
struct ReadNewest
{
    /// Longest answer that is wanted.
    std::size_t maxBytes = 0;

    bool operator==(const ReadNewest &) const = default;
};

/// \brief Read what follows the known position.
struct ReadFromPosition
{
    /// Wait for records while there are none.
    bool longPoll = true;

    bool operator==(const ReadFromPosition &) const = default;
};

/// \brief Make no call now.
struct NoCall
{
    bool operator==(const NoCall &) const = default;
};

using StoreCall = std::variant<NoCall, ReadNewest, ReadFromPosition>;

/// \brief How a call to the store has failed.
enum class StoreCallFailure {
    /// The store has refused it, or the connection broke.
    Refused,
    /// No answer has come in time.
    TimedOut,
};

/// \brief Schedule of one daemon.
class StoreSchedule
{
public:
    /// A longer answer is left to the readers.
    static constexpr std::size_t MaxSmallAnswerBytes = 64 * 1024;
    /// Daemons that have started know each other after this time, and with that who the readers
    /// are.
    static constexpr std::chrono::milliseconds MembershipSettleTime {1'000};
    /// A daemon that knows no configuration reads one of any length after this time.
    static constexpr std::chrono::milliseconds FallbackReadDelay {2'500};
    /// A daemon that hears nothing of others for this time reads the store itself.
    static constexpr std::chrono::milliseconds IsolationTimeout {1'000};
    /// Length of the turn of each daemon that tries to read in place of readers. At least the time
    /// between two calls of next().
    static constexpr std::chrono::milliseconds TurnDuration {400};
    /// One call is refused whenever a connection breaks.
    static constexpr unsigned FailuresUntilLost = 2;

    /// \param self name of the daemon.
    /// \param unlimitedBytes size that stands for answers of any length.
    StoreSchedule(std::string self, std::size_t unlimitedBytes);

    /// \brief The daemon begins.
    void started(TimePoint now);

    /// \brief Other daemons came, went or changed.
    void membersChanged(std::span<const Member> members);

    /// \return true when a read that waits for records is to be replaced by one that does not: this
    /// daemon has become a reader, or the store no longer answers another one and may not answer
    /// this one either.
    bool needsImmediateRead() const { return m_needsImmediateRead; }

    /// \brief Another daemon has told how much it knows.
    void peerReported(TimePoint now) { m_lastPeerReport = now; }

    /// \return true when this daemon follows the store, and not only other daemons.
    bool readsStore(TimePoint now) const;

    /// \return true when a read may wait at the store for records: for a reader, and for a daemon
    /// that the store answers in its place.
    bool mayLongPoll(TimePoint now) const { return readsStore(now) || m_servedInRotation; }

    /// \param position what is known.
    /// \param isFetchingFromPeer true while another daemon is asked for something newer.
    /// \return the call to make when none is in progress.
    StoreCall nextCall(std::uint64_t position, bool isFetchingFromPeer, TimePoint now) const;

    /// \brief The newest records are longer than wanted.
    /// \param maxBytes what was wanted.
    void newestTooLarge(std::uint64_t position, std::size_t maxBytes);

    /// \brief The state is known up to a position, from the store or from another daemon.
    void stateReceived();

    /// \brief The store no longer holds what follows the position.
    void historyLost();

    /// \brief Records were read, and there are more behind them.
    /// \param records number of records in the answer.
    /// \param bytes length of the answer.
    void moreRecordsAvailable(std::size_t records, std::size_t bytes);

    /// \brief The store has answered a call.
    void callAnswered();

    /// \brief A call has failed.
    void callFailed(StoreCallFailure failure, std::uint64_t position, TimePoint now);

    /// \brief A call in progress was given up, since others know more.
    void callAbandoned();

    /// \return true while the store does not answer this daemon.
    bool storeLost() const { return m_failures >= FailuresUntilLost; }

private:
    /// The turn of this daemon to try to read in place of the readers of its data centre.
    bool isOwnTurn(TimePoint now) const;

    std::string m_self;
    std::size_t m_unlimitedBytes;
    TimePoint m_started {};
    TimePoint m_lastPeerReport {};
    /// The newest records are to be read before what follows them.
    bool m_readNewestFirst = true;
    /// They are wanted whatever their length.
    bool m_acceptLarge = false;
    /// The first newest records are longer than this; 0 when that is not known.
    std::size_t m_newestLargerThan = 0;
    /// Calls that were refused since the last answer.
    unsigned m_failures = 0;
    /// Nothing while no other daemon is known.
    std::optional<StoreRole> m_role;
    bool m_needsImmediateRead = false;
    /// The store has answered this daemon when it took its turn.
    bool m_servedInRotation = false;
};

} // namespace Coltsfootwell
