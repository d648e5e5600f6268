#include "decisions/StoreSchedule.h"

#include "decisions/Rendezvous.h"

#include <utility>

namespace Coltsfootwell {

StoreSchedule::StoreSchedule(std::string self, std::size_t anyLength)
    : m_self(std::move(self)), m_anyLength(anyLength)
{
}

void StoreSchedule::started(TimePoint now)
{
    m_started = now;
    m_lastHeard = now;
}

void StoreSchedule::membersChanged(std::span<const Member> members)
{
    const StoreRole role = storeRole(m_self, members);
    const bool begins = m_role && role.reads && !m_role->reads;
    const bool moreLost = m_role && role.reads && role.othersLost > m_role->othersLost;
    m_asksAtOnce = role.reads && (m_asksAtOnce || begins || moreLost);
    m_servedInTurn = m_servedInTurn && role.takeTurns > 0;
    m_role = role;
}

bool StoreSchedule::isOwnTurn(TimePoint now) const
{
    if (!m_role || m_role->takeTurns == 0) {
        return false;
    }
    const std::uint64_t turn = rendezvousWeight("turn", m_self) % m_role->takeTurns;
    const auto present = static_cast<std::uint64_t>(now.time_since_epoch() / TurnTime);
    return present % m_role->takeTurns == turn;
}

bool StoreSchedule::readsStore(TimePoint now) const
{
    return !m_role || m_role->reads || now - m_lastHeard > IsolationTime;
}

StoreCall StoreSchedule::nextCall(std::uint64_t position, bool asksOthers, TimePoint now) const
{
    if (!m_wantsNewest) {
        if (readsStore(now)) {
            return ReadFromPosition {!m_asksAtOnce};
        }
        return m_servedInTurn || isOwnTurn(now) ? StoreCall(ReadFromPosition {m_servedInTurn})
                                                : StoreCall(NoCall {});
    }
    const Duration up = now - m_started;
    const bool chosen = up >= SettleTime && readsStore(now);
    const bool needed = position == 0 && !asksOthers && (chosen || up >= Patience);
    const std::size_t maxBytes = m_wantsLong || needed ? m_anyLength : ShortAnswerBytes;
    if (position == 0 && maxBytes <= m_tooLongFor) {
        return NoCall {};
    }
    return ReadNewest {maxBytes};
}

void StoreSchedule::newestTooLarge(std::uint64_t position, std::size_t maxBytes)
{
    // With a position, what has come since is shorter than everything.
    m_wantsNewest = position == 0;
    m_tooLongFor = maxBytes;
}

void StoreSchedule::stateReceived()
{
    m_wantsNewest = false;
    m_wantsLong = false;
    m_tooLongFor = 0;
}

void StoreSchedule::historyLost()
{
    m_wantsNewest = true;
    m_wantsLong = true;
}

void StoreSchedule::moreRecordsAvailable(std::size_t records, std::size_t bytes)
{
    if (records == 0 || bytes > ShortAnswerBytes) {
        // The newest records are shorter than all versions up to them.
        m_wantsNewest = true;
        m_wantsLong = true;
    }
}

void StoreSchedule::callAnswered()
{
    m_refusals = 0;
    m_asksAtOnce = false;
    m_servedInTurn = m_role && m_role->takeTurns > 0;
}

void StoreSchedule::callFailed(StoreCallFailure failure, std::uint64_t position, TimePoint now)
{
    m_refusals += failure == StoreCallFailure::TimedOut ? RefusalsUntilLost : 1;
    m_asksAtOnce = false;
    m_servedInTurn = false;
    m_wantsNewest = m_wantsNewest || position == 0 || readsStore(now);
}

void StoreSchedule::callAbandoned()
{
    ++m_refusals;
    m_wantsNewest = true;
}

} // namespace Coltsfootwell
