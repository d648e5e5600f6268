// The member list of one daemon: merges records, keeps the digest of the list and the records that
// are still to be passed on.
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

/// \brief All known members; the daemon itself is always the first.
class MemberTable
{
public:
    /// Members that are unreachable or have left are forgotten after this time.
    static constexpr std::chrono::minutes DownRetention {10};

    /// \param self the daemon's own record.
    explicit MemberTable(Member self);

    std::span<const Member> members() const { return m_members; }
    const Member &self() const { return m_members.front(); }

    /// \brief Replaces the daemon's own record and queues it for the others.
    /// \param self has the same name and a higher incarnation or sequence.
    void replaceSelf(Member self);

    /// \brief Takes over a record of another daemon when it is newer.
    /// \param record normalised.
    /// \param propagate true to queue it for others.
    /// \return true when the table has changed.
    bool merge(const MemberRecord &record, TimePoint now, bool propagate = true);

    /// \return index of a member in members(), or nothing.
    std::optional<std::size_t> find(std::string_view name) const;

    /// \return the whole record.
    MemberRecord record(std::size_t index, TimePoint now) const;

    /// \return the record as datagrams carry it: brief for members that are in doubt.
    MemberRecord gossipRecord(std::size_t index, TimePoint now) const;

    /// \brief Adds to a brief record what this daemon knows of the member.
    /// \return nothing when it knows another incarnation or sequence.
    std::optional<MemberRecord> expandBrief(const MemberRecord &record) const;

    const std::vector<std::string> &observers(std::size_t index) const;

    /// \return time at which the member became suspect, unreachable or left.
    TimePoint stateSince(std::size_t index) const { return m_entries[index].stateSince; }

    /// \brief Lets every suspicion begin now.
    void restartSuspicions(TimePoint now);

    /// \brief Forgets members that have been down for too long.
    void evictExpired(TimePoint now);

    /// \brief Chooses a member at random.
    /// \param wanted called with indices.
    /// \return nothing when no member is wanted.
    std::optional<std::size_t> pickRandom(Random &random,
                                          const std::function<bool(std::size_t)> &accepts) const;

    /// \brief Takes the records that were passed on least often.
    /// \param bytes room in the datagram, in bytes.
    /// \param records appended to, up to Datagram::MaxRecords.
    /// \return bytes that the records take at most.
    std::size_t takeGossip(std::size_t bytes, std::vector<MemberRecord> &records, TimePoint now);

    /// \return number of records that wait to be passed on.
    std::size_t pendingGossipCount() const { return m_gossipQueue.size(); }

    /// \return hash of the names, incarnations and sequences of all members that are not down.
    ///
    /// Members that are down are left out since each daemon forgets them at its own time.
    std::uint64_t digest() const { return m_digest; }

    /// \return raised whenever something other than a sequence has changed.
    std::uint64_t revision() const { return m_revision; }

    /// \return number of members in the state Alive, this daemon included.
    std::size_t aliveCount() const { return m_aliveCount; }

private:
    /// Number of times that a record was passed on, and a serial number.
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

/// \return upper bound of the encoded size, in bytes.
std::size_t maxEncodedBytes(const MemberRecord &record);

} // namespace Coltsfootwell
