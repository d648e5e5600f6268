// The few daemons that one daemon sends the calls of a service to.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Locality.h"
#include "decisions/Member.h"

#include <span>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// Daemons of the chooser's own data centre in a subset.
constexpr std::size_t SubsetInDataCentre = 4;
/// Further daemons of its region.
constexpr std::size_t SubsetInRegion = 2;
/// Further daemons elsewhere.
constexpr std::size_t SubsetElsewhere = 2;
constexpr std::size_t SubsetSize = SubsetInDataCentre + SubsetInRegion + SubsetElsewhere;

/// \brief Chooses a subset by rendezvous rank. Gaps are filled from the next wider circle, and from
/// the nearer ones when there is no wider one left.
/// \param place the daemon that chooses.
/// \param service name of the service.
/// \param homeRegions regions that may serve; empty when all may.
/// \param members all known daemons.
/// \param configuration version in force.
/// \return members that may serve, nearest circle first.
std::vector<const Member *> chooseSubset(const Locality &place, std::string_view service,
                                         std::span<const std::string> homeRegions,
                                         std::span<const Member> members,
                                         const Configuration &configuration);

} // namespace Coltsfootwell
