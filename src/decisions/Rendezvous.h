// Rendezvous hashing: every daemon ranks the same names in the same order without talking to
// others.
#pragma once

#include "decisions/Member.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// Members of a data centre that share one log reader.
constexpr std::size_t MembersPerReader = 14;
constexpr std::size_t MinReaders = 2;

/// \param key what is being placed, such as the name of the daemon that chooses.
/// \param candidate name of a candidate.
/// \return the weight of the candidate for the key; the highest wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// \brief Chooses the daemons of a data centre that poll the log for the others.
/// \param members all known daemons.
/// \param dataCentre name of a data centre.
/// \return live members, max(MinReaders, ceil(live members / MembersPerReader)) of them, best
/// first.
std::vector<const Member *> logReaders(std::span<const Member> members,
                                       std::string_view dataCentre);

} // namespace Coltsfootwell
