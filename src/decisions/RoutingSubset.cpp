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

/// Candidates by distance: own data centre, own region, elsewhere.
using Circles = std::array<std::vector<Ranked>, 3>;

constexpr std::array<std::size_t, 3> CircleShares {SubsetInDataCentre, SubsetInRegion,
                                                   SubsetElsewhere};

bool mayServe(const Member &member, std::string_view service,
              std::span<const std::string> homeRegions, const Configuration &configuration)
{
    const bool serves = member.service == service && member.state == MemberState::Alive
        && !member.leaving
        && (member.backend == BackendState::Cold || member.backend == BackendState::Warm);
    const bool atHome
        = homeRegions.empty() || std::ranges::find(homeRegions, member.region) != homeRegions.end();
    return serves && atHome && configuration.inService(member.dataCentre)
        && !configuration.drained.contains(member.id.name);
}

std::size_t circleOf(const Locality &place, const Member &member)
{
    if (member.region != place.region) {
        return 2;
    }
    return member.dataCentre == place.dataCentre ? 0 : 1;
}

} // namespace

std::vector<const Member *> chooseSubset(const Locality &place, std::string_view service,
                                         std::span<const std::string> homeRegions,
                                         std::span<const Member> members,
                                         const Configuration &configuration)
{
    Circles circles;
    for (const Member &member : members) {
        if (mayServe(member, service, homeRegions, configuration)) {
            circles[circleOf(place, member)].push_back(
                {rendezvousWeight(place.self.name, member.id.name), &member});
        }
    }
    std::array<std::size_t, 3> taken {};
    std::size_t open = 0;
    for (std::size_t i = 0; i < circles.size(); ++i) {
        std::ranges::sort(circles[i], std::greater(), &Ranked::weight);
        open += CircleShares[i];
        taken[i] = std::min(open, circles[i].size());
        open -= taken[i];
    }
    for (std::size_t i = 0; i < circles.size(); ++i) {
        const std::size_t more = std::min(open, circles[i].size() - taken[i]);
        taken[i] += more;
        open -= more;
    }
    std::vector<const Member *> subset;
    for (std::size_t i = 0; i < circles.size(); ++i) {
        for (std::size_t n = 0; n < taken[i]; ++n) {
            subset.push_back(circles[i][n].member);
        }
    }
    return subset;
}

} // namespace Coltsfootwell
