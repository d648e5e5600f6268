#include "decisions/StoreReaders.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace Coltsfootwell {

bool isStoreReader(std::string_view self, std::span<const Member> members)
{
    constexpr std::string_view Key = "store-readers";
    const auto own = std::ranges::find_if(
        members, [self](const Member &member) { return member.id.name == self; });
    if (own == members.end()) {
        return true;
    }
    const std::uint64_t weight = rendezvousWeight(Key, self);
    const auto before = std::ranges::count_if(members, [&](const Member &member) {
        return member.state == MemberState::Alive && !member.leaving
            && member.dataCentre == own->dataCentre && member.id.name != self
            && rendezvousWeight(Key, member.id.name) > weight;
    });
    return static_cast<std::size_t>(before) < ReadersPerDataCentre;
}

} // namespace Coltsfootwell
