#include "services/DaemonRecordExpiry.h"

#include "decisions/MemberRecord.h"

#include <set>
#include <string_view>
#include <utility>

namespace Coltsfootwell {

std::vector<std::string> DaemonRecordExpiry::recordsRead(std::span<const StoreRecord> records,
                                                         StoreEpoch epoch,
                                                         std::span<const Member> members,
                                                         TimePoint now)
{
    std::set<std::string_view> live;
    for (const Member &member : members) {
        if (!isDown(member)) {
            live.insert(member.id.name);
        }
    }
    auto earlier = std::exchange(m_observations, {});
    const bool isOtherEpoch = std::exchange(m_lastEpoch, epoch) != epoch;
    if (now - std::exchange(m_lastReadAt, now) > MaxReadGap || isOtherEpoch) {
        earlier.clear();
    }
    std::vector<std::string> expired;
    for (const StoreRecord &record : records) {
        const auto it = earlier.find(record.key);
        const bool isUnchanged = it != earlier.end() && it->second.offset == record.offset;
        const TimePoint since = isUnchanged ? it->second.since : now;
        m_observations[record.key] = {record.offset, since};
        if (!live.contains(record.key) && now - since > Lifetime && expired.size() < MaxExpired) {
            expired.push_back(record.key);
        }
    }
    return expired;
}

} // namespace Coltsfootwell
