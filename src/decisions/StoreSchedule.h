// Decides which calls a daemon makes to the store to read the control state.
//
// Many daemons may share the link to the store and start together, so a large state must not be
// read by all of them. Small answers are read by every daemon because they are cheap and immediate.
// Large answers are read only by the readers of each data centre, and by a daemon that does not get
// the state from a peer.
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

/// \brief Call that reads the newest record of each key.
struct ReadNewest
{
    /// Maximum size of the answer, in bytes.
    std::size_t maxBytes = 0;

    bool operator==(const ReadNewest &) const = default;
};

/// \brief Call that reads the records from the current position on.
struct ReadFromPosition
{
    /// True if the store holds the call until there is a record.
    bool longPoll = true;

    bool operator==(const ReadFromPosition &) const = default;
};

/// \brief No call is to be made now.
struct NoCall
{
    bool operator==(const NoCall &) const = default;
};

using StoreCall = std::variant<NoCall, ReadNewest, ReadFromPosition>;

/// \brief Kind of failure of a call to the store.
enum class StoreCallFailure {
    /// The store rejected the call, or the connection failed.
    Refused,
    /// The store did not answer in time.
    TimedOut,
};

/// \brief The store calls of one daemon.
class StoreSchedule
{
public:
    /// Maximum size of an answer that every daemon reads; larger ones are read by readers only.
    static constexpr std::size_t MaxSmallAnswerBytes = 64 * 1024;
    /// Time after the start until the member list is complete enough to determine the readers.
    static constexpr std::chrono::milliseconds MembershipSettleTime {1'000};
    /// Time after the start at which a daemon that has no control state yet reads one of any size.
    static constexpr std::chrono::milliseconds FallbackReadDelay {2'500};
    /// Time without a report from any peer after which a daemon reads the store itself.
    static constexpr std::chrono::milliseconds IsolationTimeout {1'000};
    /// Duration of a daemon's turn in the rotation that replaces the readers. Must not be shorter
    /// than the interval between two calls of nextCall().
    static constexpr std::chrono::milliseconds TurnDuration {400};
    /// Number of consecutive failures after which the store counts as lost. More than one, because
    /// each connection failure makes one call fail.
    static constexpr unsigned FailuresUntilLost = 2;

    /// \param self name of the daemon.
    /// \param unlimitedBytes value of ReadNewest::maxBytes for answers of any size.
    StoreSchedule(std::string self, std::size_t unlimitedBytes);

    /// \brief Records the start of the daemon.
    void started(TimePoint now);

    /// \brief Handles a change of the member list.
    void membersChanged(std::span<const Member> members);

    /// \return true if a pending long poll must be replaced by an immediate read: this daemon has
    /// become a reader, or the store has stopped answering another candidate and may not answer
    /// this one either.
    bool needsImmediateRead() const { return m_needsImmediateRead; }

    /// \brief Records that a peer has reported the position of its control state.
    void peerReported(TimePoint now) { m_lastPeerReport = now; }

    /// \return true if this daemon reads the store itself: as a reader, or because it is
    /// isolated.
    bool readsStore(TimePoint now) const;

    /// \return true if this daemon may long-poll the store: as a reader, or when the store has
    /// answered it in the rotation that replaces the readers.
    bool mayLongPoll(TimePoint now) const { return readsStore(now) || m_servedInRotation; }

    /// \brief Chooses the next call.
    /// \param hasState true if this daemon has a control state.
    /// \param isFetchingFromPeer true while a newer state is being fetched from a peer.
    /// \return the call to make when none is pending.
    StoreCall nextCall(bool hasState, bool isFetchingFromPeer, TimePoint now) const;

    /// \brief Handles an answer to ReadNewest that exceeded its limit.
    /// \param hasState true if this daemon has a control state.
    /// \param maxBytes the limit, in bytes.
    void newestTooLarge(bool hasState, std::size_t maxBytes);

    /// \brief Handles a control state received from the store or from a peer.
    void stateReceived();

    /// \brief Handles the loss of the records after the position in the store.
    void historyLost();

    /// \brief Handles an answer after which the store has further records.
    /// \param records number of records in the answer.
    /// \param bytes size of the answer.
    void moreRecordsAvailable(std::size_t records, std::size_t bytes);

    /// \brief Handles an answer to a call.
    void callAnswered();

    /// \brief Handles the failure of a call.
    void callFailed(StoreCallFailure failure, bool hasState, TimePoint now);

    /// \brief Handles a pending call that was abandoned because peers have reported a newer state.
    void callAbandoned();

    /// \return true while the store does not answer this daemon's calls.
    bool storeLost() const { return m_failures >= FailuresUntilLost; }

private:
    /// \return true if it is this daemon's turn in the rotation that replaces the readers.
    bool isOwnTurn(TimePoint now) const;

    std::string m_self;
    std::size_t m_unlimitedBytes;
    TimePoint m_started {};
    TimePoint m_lastPeerReport {};
    /// True if the next call is ReadNewest.
    bool m_readNewestFirst = true;
    /// True if ReadNewest is not limited to small answers.
    bool m_acceptLarge = false;
    /// Size that the newest records exceed, in bytes; 0 if unknown.
    std::size_t m_newestLargerThan = 0;
    /// Failures since the last answer; a timeout counts as FailuresUntilLost.
    unsigned m_failures = 0;
    /// Empty before the first member list.
    std::optional<StoreRole> m_role;
    bool m_needsImmediateRead = false;
    /// True if the store has answered this daemon in the rotation that replaces the readers.
    bool m_servedInRotation = false;
};

} // namespace Coltsfootwell
