// Which daemons read what operators publish from the store; the others learn it from them.
//
// Answers the load pattern of many daemons behind one link: each copy that is read from the store
// passes the link, so that their number must not grow with the number of daemons.
#pragma once

#include "decisions/Member.h"

#include <span>
#include <string_view>

namespace Coltsfootwell {

/// Daemons of each data centre that read the store. One of them may be cut off from it without
/// knowing.
constexpr std::size_t ReadersPerDataCentre = 2;

/// \param self name of a daemon.
/// \param members all daemons that it knows, itself among them.
/// \return true when it is one of the readers of its data centre.
bool isStoreReader(std::string_view self, std::span<const Member> members);

} // namespace Coltsfootwell
