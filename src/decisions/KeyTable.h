// Calls with idempotency keys on the one daemon incarnation that may start them: a key's call runs
// at most once, and repeats get its answer.
#pragma once

#include "decisions/Guards.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// Longest time between minting a key and its last use.
constexpr std::chrono::hours MintedKeyLifetime {24};
/// Shortest time for which the platform's log keeps a claim.
constexpr std::chrono::hours ClaimRetention {24};
/// Covers the difference between clocks and the time that a claim spends on the way.
constexpr std::chrono::minutes ClaimRetentionMargin {10};

/// \brief Hash of method, path and body; a repeat must have the same.
struct CallFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const CallFingerprint &) const = default;
};

/// \brief Whole answer that is kept for repeats.
struct StoredAnswer
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string servedBy;
};

/// \brief What a keyed call does.
enum class KeyVerdict {
    /// Run the call; KeyTable::ended() must follow.
    Start,
    /// The first call with the key is still running.
    Wait,
    Replay,
    /// Refuse with outcome and reason.
    Refuse,
};

struct KeyDecision
{
    KeyVerdict verdict = KeyVerdict::Refuse;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::AnswerLost;
    /// Set for Replay; valid until the next change of the table.
    const StoredAnswer *answer = nullptr;
};

/// \brief Keys that this incarnation owns.
class KeyTable
{
public:
    static constexpr std::size_t MaxKeys = 100'000;
    static constexpr std::size_t MaxAnswerBytes = 64 * 1024;
    static constexpr std::size_t MaxStoredBytes = 4'000'000;
    static constexpr std::chrono::hours AnswerLifetime {1};

    /// \param guards rules in force; outlives the object.
    explicit KeyTable(const Guards &guards = FullGuards) : m_guards(guards) { }

    /// \brief Decides on a call with a key that this incarnation owns.
    /// \param key any text.
    /// \param fingerprint of the call.
    /// \param expires no call with the key is accepted from then on, so that the entry may go.
    KeyDecision begin(std::string_view key, const CallFingerprint &fingerprint, TimePoint expires,
                      TimePoint now);

    /// \brief Records how the call that was started for a key has ended.
    /// \param answer the whole answer, when the outcome is run and it may be kept.
    void ended(std::string_view key, Outcome outcome, Reason reason,
               std::optional<StoredAnswer> answer, TimePoint now);

    /// \return true when a call with the key was started here and may have run.
    bool knows(std::string_view key) const { return m_entries.contains(std::string(key)); }

    /// \brief Forgets answers and keys whose time is over; called now and then.
    void expire(TimePoint now);

    std::size_t size() const { return m_entries.size(); }
    std::size_t storedBytes() const { return m_storedBytes; }

private:
    enum class State {
        Running,
        Answered,
        Unknown,
    };

    struct Entry
    {
        CallFingerprint fingerprint;
        TimePoint expires;
        State state = State::Running;
        Reason reason = Reason::AnswerLost;
        std::optional<StoredAnswer> answer;
        std::size_t bytes = 0;
    };

    struct Stored
    {
        TimePoint until;
        std::string key;
    };

    void store(const std::string &key, Entry &entry, StoredAnswer answer, TimePoint now);
    void dropOldestAnswer();
    KeyDecision repeat(const Entry &entry) const;

    const Guards &m_guards;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<Stored> m_stored;
    std::size_t m_storedBytes = 0;
};

/// \brief Decides how long a caller-minted key is accepted.
/// \param created time of creation by the caller's clock.
/// \param wall the present time by this host's clock.
/// \return the end of its time, or why the key is refused.
std::variant<TimePoint, Reason> callerKeyExpiry(std::chrono::seconds created,
                                                std::chrono::seconds wall, TimePoint now);

} // namespace Coltsfootwell
