#include "decisions/RunLedger.h"

namespace Coltsfootwell {

RunLedger::RunLedger(Incarnation self, const Guards &guards) : m_self(self), m_guards(guards)
{
}

RunVerdict RunLedger::tryStart(const AttemptId &attempt)
{
    if (const auto it = m_entries.find(attempt);
        it != m_entries.end() && (it->second == Entry::Started || m_guards.honoursTombstones())) {
        return it->second == Entry::Started ? RunVerdict::AlreadyStarted : RunVerdict::Revoked;
    }
    // The number of starts is unlimited: dropping one early could make a later revocation report
    // "never starts" for a started attempt.
    addEntry(attempt, Entry::Started);
    return RunVerdict::Start;
}

RevokeVerdict RunLedger::revoke(const AttemptId &attempt, Incarnation sentTo)
{
    if (!m_guards.isForThisProcess(sentTo, m_self)) {
        return RevokeVerdict::CannotRevoke;
    }
    if (const auto it = m_entries.find(attempt); it != m_entries.end()) {
        return it->second == Entry::Started ? RevokeVerdict::Started : RevokeVerdict::NeverStarts;
    }
    if (m_tombstones >= MaxTombstones) {
        return RevokeVerdict::CannotRevoke;
    }
    ++m_tombstones;
    addEntry(attempt, Entry::NeverStarts);
    return RevokeVerdict::NeverStarts;
}

void RunLedger::retractStart(const AttemptId &attempt)
{
    if (const auto it = m_entries.find(attempt);
        it != m_entries.end() && it->second == Entry::Started) {
        it->second = Entry::NeverStarts;
        ++m_tombstones;
    }
}

void RunLedger::tick()
{
    ++m_tick;
    while (!m_expiries.empty() && m_expiries.front().tick <= m_tick) {
        if (const auto it = m_entries.find(m_expiries.front().attempt); it != m_entries.end()) {
            m_tombstones -= it->second == Entry::NeverStarts ? 1 : 0;
            m_entries.erase(it);
        }
        m_expiries.pop_front();
    }
}

void RunLedger::addEntry(const AttemptId &attempt, Entry entry)
{
    m_entries.emplace(attempt, entry);
    m_expiries.push_back({m_tick + RetentionTicks, attempt});
}

} // namespace Coltsfootwell
