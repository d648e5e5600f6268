// Rendezvous hashing: every daemon ranks the same names in the same order without talking to
// others.
#pragma once

#include <cstdint>
#include <string_view>

namespace Coltsfootwell {

/// \param key what is being placed, such as the name of the daemon that chooses.
/// \param candidate name of a candidate.
/// \return the weight of the candidate for the key; the highest wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace Coltsfootwell
