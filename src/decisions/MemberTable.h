// The member list of one daemon, with its digest and the queue of records to gossip.
#pragma once

#include "decisions/MemberRecord.h"
#include "kernel/Random.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief The member list; the daemon itself is always the first member.
class MemberTable
{
public:
    /// Time after which members that are unreachable or have left are removed.
    static constexpr std::chrono::minutes DownRetention {10};

    /// \param self the daemon's own record.
    explicit MemberTable(Member self);

    /// \return all members; valid until the next change of the list.
    std::span<const Member> members() const { return m_members; }
    const Member &self() const { return m_members.front(); }

    /// \brief Replaces the daemon's own record and enqueues it for gossip.
    /// \param self record with the same name and a higher incarnation or sequence.
    /// \param stateSince time at which the daemon left; not used for other states.
    void replaceSelf(Member self, TimePoint stateSince = {});

    /// \brief Merges a record of another member into the list.
    /// \param record a normalized record.
    /// \param propagate true to enqueue the record for gossip when it changes the list.
    /// \return true if the list has changed.
    bool merge(const MemberRecord &record, TimePoint now, bool propagate = true);

    /// \return index of a member in members(); empty if it is not in the list.
    std::optional<std::size_t> find(std::string_view name) const;

    /// \return the full record of a member.
    MemberRecord record(std::size_t index, TimePoint now) const;

    /// \return the record of a member for gossip: brief for members that are suspect or
    /// unreachable.
    MemberRecord gossipRecord(std::size_t index, TimePoint now) const;

    /// \brief Completes a brief record with the fields from the list.
    /// \return the full record; empty if the list has another incarnation or sequence of the
    /// member.
    std::optional<MemberRecord> expandBrief(const MemberRecord &record) const;

    /// \return names of the daemons that suspect a member.
    const std::vector<std::string> &observers(std::size_t index) const;

    /// \return time at which the member became suspect or unreachable or left.
    TimePoint stateSince(std::size_t index) const { return m_entries[index].stateSince; }

    /// \brief Restarts the timeout of every suspicion.
    void restartSuspicions(TimePoint now);

    /// \brief Removes members that have been down for DownRetention.
    void evictExpired(TimePoint now);

    /// \brief Chooses a member at random.
    /// \param accepts predicate on the index of a member.
    /// \return index of an accepted member; empty if none is accepted.
    std::optional<std::size_t> pickRandom(Random &random,
                                          const std::function<bool(std::size_t)> &accepts) const;

    /// \brief Takes the records with the fewest transmissions from the gossip queue.
    /// \param bytes maximum encoded size of the records.
    /// \param records the records are appended to it, up to Datagram::MaxRecords in total.
    /// \return upper bound of the encoded size of the appended records, in bytes.
    std::size_t takeGossip(std::size_t bytes, std::vector<MemberRecord> &records, TimePoint now);

    /// \return number of records in the gossip queue.
    std::size_t pendingGossipCount() const { return m_gossipQueue.size(); }

    /// \return hash of the names, incarnations and sequences of all members that are not down.
    ///
    /// Members that are down are excluded because daemons remove them at different times.
    std::uint64_t digest() const { return m_digest; }

    /// \return a counter that is incremented on each change of the list other than of a sequence.
    std::uint64_t revision() const { return m_revision; }

    /// \return number of members in the state Alive, this daemon included.
    std::size_t aliveCount() const { return m_aliveCount; }

private:
    /// Number of transmissions of a record, and a serial number.
    using GossipKey = std::pair<unsigned, std::uint64_t>;

    struct Entry
    {
        std::vector<std::string> observers;
        TimePoint stateSince {};
        std::optional<GossipKey> queueKey;
    };

    void addMember(const MemberRecord &record, TimePoint now, bool propagate);
    void replaceMember(std::size_t index, const Member &member);
    void enqueue(std::size_t index, unsigned transmissions);
    void dequeue(std::size_t index);
    void removeMember(std::size_t index);
    void addToTotals(const Member &member);
    void removeFromTotals(const Member &member);
    unsigned maxTransmissions() const;

    std::vector<Member> m_members;
    std::vector<Entry> m_entries;
    std::map<std::string, std::size_t, std::less<>> m_index;
    std::map<GossipKey, std::size_t> m_gossipQueue;
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_digest = 0;
    std::uint64_t m_revision = 0;
    std::size_t m_aliveCount = 0;
};

/// \return upper bound of the encoded size of a record, in bytes.
std::size_t maxEncodedBytes(const MemberRecord &record);

} // namespace Coltsfootwell
