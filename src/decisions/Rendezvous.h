// Rendezvous hashing: all daemons rank the same candidates consistently without coordination.
#pragma once

#include <cstdint>
#include <string_view>

namespace Coltsfootwell {

/// \param key key to be placed, such as the name of the choosing daemon.
/// \param candidate name of a candidate.
/// \return weight of the candidate for the key; the candidate with the highest weight wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace Coltsfootwell
