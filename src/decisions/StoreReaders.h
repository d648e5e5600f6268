// Which daemons read what operators publish from the store; the others learn it from them.
//
// Answers the load pattern of many daemons behind one link: each copy that is read from the store
// passes the link, so that their number must not grow with the number of daemons. Answers also a
// store that turns some daemons away and serves the others: in the place of each reader that it
// does not answer others try, twice as many each time, up to a fixed number; when that many are
// turned away, all others of the data centre try by turns.
#pragma once

#include "decisions/Member.h"

#include <span>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// Daemons of each data centre that read the store. One of them may be cut off from it without
/// knowing.
constexpr std::size_t ReadersPerDataCentre = 2;
/// Daemons of each data centre that may be readers, which bounds how many try to reach a store that
/// answers nobody.
constexpr std::size_t MaxReaderCandidatesPerDataCentre = 8;

/// \brief What a daemon does for its data centre.
struct StoreRole
{
    /// It reads the store, or tries to.
    bool isReader = true;
    /// Other candidates of its data centre that the store does not answer.
    std::size_t otherCandidatesLost = 0;
    /// Daemons that try by turns, this one among them, since the store answers no candidate; 0 when
    /// it need not.
    std::size_t rotationSize = 0;
};

/// \param members all daemons that are known.
/// \return those of a data centre that may be readers, the first ones first; valid as long as
/// `members` is.
std::vector<const Member *> storeReaderCandidates(std::string_view dataCentre,
                                                  std::span<const Member> members);

/// \param self name of a daemon.
/// \param members all daemons that it knows, itself among them.
/// \return what it does; a daemon that is not among them reads.
StoreRole storeRole(std::string_view self, std::span<const Member> members);

/// \return true when a daemon reads the store, or tries to; see storeRole().
bool isStoreReader(std::string_view self, std::span<const Member> members);

} // namespace Coltsfootwell
