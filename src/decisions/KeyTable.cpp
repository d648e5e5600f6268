#include "decisions/KeyTable.h"

namespace Coltsfootwell {

namespace {

std::size_t sizeOf(const StoredAnswer &answer)
{
    std::size_t n = answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        n += name.size() + value.size();
    }
    return n;
}

KeyDecision refusal(Outcome outcome, Reason reason)
{
    return {KeyVerdict::Refuse, outcome, reason, nullptr};
}

} // namespace

KeyDecision KeyTable::begin(std::string_view key, const CallFingerprint &fingerprint,
                            TimePoint expires, TimePoint now)
{
    const auto it = m_entries.find(std::string(key));
    if (it != m_entries.end()) {
        return it->second.fingerprint == fingerprint ? repeat(it->second)
                                                     : refusal(Outcome::NotRun, Reason::BadKey);
    }
    if (now >= expires) {
        return refusal(Outcome::Unknown, Reason::KeyExpired);
    }
    if (m_entries.size() >= MaxKeys) {
        return refusal(Outcome::NotRun, Reason::Overloaded);
    }
    Entry entry;
    entry.fingerprint = fingerprint;
    entry.expires = expires;
    m_entries.emplace(key, std::move(entry));
    return {KeyVerdict::Start, Outcome::Run, Reason::AnswerLost, nullptr};
}

KeyDecision KeyTable::repeat(const Entry &entry) const
{
    if (entry.state == State::Running) {
        return {KeyVerdict::Wait, Outcome::Unknown, Reason::KeyInProgress, nullptr};
    }
    if (entry.state == State::Unknown) {
        return refusal(Outcome::Unknown, entry.reason);
    }
    if (entry.answer) {
        return {KeyVerdict::Replay, Outcome::Run, Reason::AnswerLost, &*entry.answer};
    }
    return refusal(Outcome::Run, Reason::AnswerNotHeld);
}

void KeyTable::ended(std::string_view key, Outcome outcome, Reason reason,
                     std::optional<StoredAnswer> answer, TimePoint now)
{
    const auto it = m_entries.find(std::string(key));
    if (it == m_entries.end() || it->second.state != State::Running) {
        return;
    }
    if (m_guards.freesKey(outcome)) {
        m_entries.erase(it);
        return;
    }
    it->second.state = outcome == Outcome::Run ? State::Answered : State::Unknown;
    it->second.reason = reason;
    if (answer && sizeOf(*answer) <= MaxAnswerBytes) {
        store(it->first, it->second, std::move(*answer), now);
    }
}

void KeyTable::store(const std::string &key, Entry &entry, StoredAnswer answer, TimePoint now)
{
    entry.bytes = sizeOf(answer);
    while (m_storedBytes + entry.bytes > MaxStoredBytes) {
        dropOldestAnswer();
    }
    m_storedBytes += entry.bytes;
    entry.answer = std::move(answer);
    m_stored.push_back({now + AnswerLifetime, key});
}

void KeyTable::dropOldestAnswer()
{
    if (const auto it = m_entries.find(m_stored.front().key); it != m_entries.end()) {
        m_storedBytes -= std::exchange(it->second.bytes, 0);
        it->second.answer.reset();
    }
    m_stored.pop_front();
}

void KeyTable::expire(TimePoint now)
{
    while (!m_stored.empty() && m_stored.front().until <= now) {
        dropOldestAnswer();
    }
    // A running call keeps its entry, and an answer that is still stored counts its bytes.
    std::erase_if(m_entries, [now](const auto &item) {
        const Entry &entry = item.second;
        return entry.expires <= now && entry.state != State::Running && !entry.answer;
    });
}

std::variant<TimePoint, Reason> callerKeyExpiry(std::chrono::seconds created,
                                                std::chrono::seconds wall, TimePoint now)
{
    const std::chrono::seconds age = wall - created;
    if (age < -ClaimRetentionMargin) {
        return Reason::BadKey;
    }
    const std::chrono::seconds left = ClaimRetention - ClaimRetentionMargin - age;
    if (left <= std::chrono::seconds(0)) {
        return Reason::KeyExpired;
    }
    return now + left;
}

} // namespace Coltsfootwell
