#include "decisions/StoreReaders.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell {

namespace {

bool isAvailable(const Member &member, std::string_view dataCentre)
{
    return member.state == MemberState::Alive && !member.leaving && member.dataCentre == dataCentre;
}

} // namespace

std::vector<const Member *> storeReaderCandidates(std::string_view dataCentre,
                                                  std::span<const Member> members)
{
    constexpr std::string_view Key = "store-readers";
    std::vector<std::pair<std::uint64_t, const Member *>> weighted;
    for (const Member &member : members) {
        if (isAvailable(member, dataCentre)) {
            weighted.emplace_back(rendezvousWeight(Key, member.id.name), &member);
        }
    }
    const std::size_t n = std::min(weighted.size(), MaxReaderCandidatesPerDataCentre);
    std::ranges::partial_sort(weighted, weighted.begin() + static_cast<std::ptrdiff_t>(n),
                              std::greater(), [](const auto &entry) { return entry.first; });
    std::vector<const Member *> candidates;
    for (std::size_t i = 0; i < n; ++i) {
        candidates.push_back(weighted[i].second);
    }
    return candidates;
}

StoreRole storeRole(std::string_view self, std::span<const Member> members)
{
    const auto own = std::ranges::find_if(
        members, [self](const Member &member) { return member.id.name == self; });
    if (own == members.end()) {
        return {};
    }
    StoreRole role {false, 0, 0};
    std::size_t lostBeforeSelf = 0;
    std::size_t servedBeforeSelf = 0;
    bool isPastSelf = false;
    const auto candidates = storeReaderCandidates(own->dataCentre, members);
    for (const Member *candidate : candidates) {
        if (candidate->id.name == self) {
            isPastSelf = true;
            role.isReader = candidate->storeLost
                || servedBeforeSelf < std::max(ReadersPerDataCentre, lostBeforeSelf);
            continue;
        }
        role.otherCandidatesLost += candidate->storeLost ? 1 : 0;
        if (!isPastSelf) {
            ++(candidate->storeLost ? lostBeforeSelf : servedBeforeSelf);
        }
    }
    if (!isPastSelf && role.otherCandidatesLost == candidates.size()) {
        const auto available = std::ranges::count_if(
            members, [own](const Member &member) { return isAvailable(member, own->dataCentre); });
        role.rotationSize = static_cast<std::size_t>(available) - candidates.size();
    }
    return role;
}

bool isStoreReader(std::string_view self, std::span<const Member> members)
{
    return storeRole(self, members).isReader;
}

} // namespace Coltsfootwell
