#include "decisions/RoutingSubset.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

struct Ranked
{
    std::uint64_t weight;
    const Member *member;
};

/// Candidates by locality tier: local data centre, local region, other regions.
using Tiers = std::array<std::vector<Ranked>, 3>;

constexpr std::array<std::size_t, 3> TierSizes {SubsetInDataCentre, SubsetInRegion,
                                                SubsetInOtherRegions};

bool mayServe(const Member &member, std::string_view service,
              std::span<const std::string> homeRegions, const Configuration &configuration)
{
    const bool serves = member.service == service && member.state == MemberState::Alive
        && !member.leaving
        && (member.backend == BackendState::Cold || member.backend == BackendState::Warm);
    const bool inHomeRegion
        = homeRegions.empty() || std::ranges::find(homeRegions, member.region) != homeRegions.end();
    return serves && inHomeRegion && configuration.inService(member.dataCentre)
        && !configuration.drained.contains(member.id.name);
}

std::size_t tierOf(const Locality &locality, const Member &member)
{
    if (member.region != locality.region) {
        return 2;
    }
    return member.dataCentre == locality.dataCentre ? 0 : 1;
}

} // namespace

std::vector<const Member *> chooseSubset(const Locality &locality, std::string_view service,
                                         std::span<const std::string> homeRegions,
                                         std::span<const Member> members,
                                         const Configuration &configuration)
{
    Tiers tiers;
    for (const Member &member : members) {
        if (mayServe(member, service, homeRegions, configuration)) {
            tiers[tierOf(locality, member)].push_back(
                {rendezvousWeight(locality.self.name, member.id.name), &member});
        }
    }
    std::array<std::size_t, 3> taken {};
    std::size_t unfilled = 0;
    for (std::size_t i = 0; i < tiers.size(); ++i) {
        std::ranges::sort(tiers[i], std::greater(), &Ranked::weight);
        unfilled += TierSizes[i];
        taken[i] = std::min(unfilled, tiers[i].size());
        unfilled -= taken[i];
    }
    for (std::size_t i = 0; i < tiers.size(); ++i) {
        const std::size_t additional = std::min(unfilled, tiers[i].size() - taken[i]);
        taken[i] += additional;
        unfilled -= additional;
    }
    std::vector<const Member *> subset;
    for (std::size_t i = 0; i < tiers.size(); ++i) {
        for (std::size_t n = 0; n < taken[i]; ++n) {
            subset.push_back(tiers[i][n].member);
        }
    }
    return subset;
}

} // namespace Coltsfootwell
