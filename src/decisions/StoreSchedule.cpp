#include "decisions/StoreSchedule.h"

#include "decisions/Rendezvous.h"

#include <utility>

namespace Coltsfootwell {

StoreSchedule::StoreSchedule(std::string self, std::size_t unlimitedBytes)
    : m_self(std::move(self)), m_unlimitedBytes(unlimitedBytes)
{
}

void StoreSchedule::started(TimePoint now)
{
    m_started = now;
    m_lastPeerReport = now;
}

void StoreSchedule::membersChanged(std::span<const Member> members)
{
    const StoreRole role = storeRole(m_self, members);
    const bool becameReader = m_role && role.isReader && !m_role->isReader;
    const bool moreCandidatesLost
        = m_role && role.isReader && role.otherCandidatesLost > m_role->otherCandidatesLost;
    m_needsImmediateRead
        = role.isReader && (m_needsImmediateRead || becameReader || moreCandidatesLost);
    m_servedInRotation = m_servedInRotation && role.rotationSize > 0;
    m_role = role;
}

bool StoreSchedule::isOwnTurn(TimePoint now) const
{
    if (!m_role || m_role->rotationSize == 0) {
        return false;
    }
    const std::uint64_t ownTurn = rendezvousWeight("turn", m_self) % m_role->rotationSize;
    const auto currentTurn = static_cast<std::uint64_t>(now.time_since_epoch() / TurnDuration);
    return currentTurn % m_role->rotationSize == ownTurn;
}

bool StoreSchedule::readsStore(TimePoint now) const
{
    return !m_role || m_role->isReader || now - m_lastPeerReport > IsolationTimeout;
}

StoreCall StoreSchedule::nextCall(bool hasState, bool isFetchingFromPeer, TimePoint now) const
{
    if (!m_readNewestFirst) {
        if (readsStore(now)) {
            return ReadFromPosition {!m_needsImmediateRead};
        }
        return m_servedInRotation || isOwnTurn(now)
            ? StoreCall(ReadFromPosition {m_servedInRotation})
            : StoreCall(NoCall {});
    }
    const Duration uptime = now - m_started;
    const bool isSettledReader = uptime >= MembershipSettleTime && readsStore(now);
    const bool acceptAny
        = !hasState && !isFetchingFromPeer && (isSettledReader || uptime >= FallbackReadDelay);
    const std::size_t maxBytes
        = m_acceptLarge || acceptAny ? m_unlimitedBytes : MaxSmallAnswerBytes;
    if (!hasState && maxBytes <= m_newestLargerThan) {
        return NoCall {};
    }
    return ReadNewest {maxBytes};
}

void StoreSchedule::newestTooLarge(bool hasState, std::size_t maxBytes)
{
    // The records after a position are smaller than the newest records of all keys.
    m_readNewestFirst = !hasState;
    m_newestLargerThan = maxBytes;
}

void StoreSchedule::stateReceived()
{
    m_readNewestFirst = false;
    m_acceptLarge = false;
    m_newestLargerThan = 0;
}

void StoreSchedule::historyLost()
{
    m_readNewestFirst = true;
    m_acceptLarge = true;
}

void StoreSchedule::moreRecordsAvailable(std::size_t records, std::size_t bytes)
{
    if (records == 0 || bytes > MaxSmallAnswerBytes) {
        // Reading the newest records transfers less than reading all versions up to them.
        m_readNewestFirst = true;
        m_acceptLarge = true;
    }
}

void StoreSchedule::callAnswered()
{
    m_failures = 0;
    m_needsImmediateRead = false;
    m_servedInRotation = m_role && m_role->rotationSize > 0;
}

void StoreSchedule::callFailed(StoreCallFailure failure, bool hasState, TimePoint now)
{
    m_failures += failure == StoreCallFailure::TimedOut ? FailuresUntilLost : 1;
    m_needsImmediateRead = false;
    m_servedInRotation = false;
    m_readNewestFirst = m_readNewestFirst || !hasState || readsStore(now);
}

void StoreSchedule::callAbandoned()
{
    ++m_failures;
    m_readNewestFirst = true;
}

} // namespace Coltsfootwell
