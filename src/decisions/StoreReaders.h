// Selection of the store readers: the daemons that read the control state from the store. Other
// daemons fetch it from peers.
//
// Many daemons may share one link to the store, and each read transfers a copy over it. Therefore
// the number of readers is fixed for each data centre and does not grow with the number of daemons.
//
// The store may also reject some daemons and serve others. When it does not answer the readers, as
// many further candidates become readers in their place; their number doubles each time the store
// rejects all of them, up to a maximum. When all candidates are rejected, the other daemons of the
// data centre try in rotation.
#pragma once

#include "decisions/Member.h"

#include <span>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// Number of store readers in each data centre. More than one, because a reader may be disconnected
/// from the store without detecting it.
constexpr std::size_t ReadersPerDataCentre = 2;
/// Maximum number of reader candidates in each data centre, which limits the number of daemons that
/// call a store that does not answer.
constexpr std::size_t MaxReaderCandidatesPerDataCentre = 8;

/// \brief Role of a daemon in reading the store for its data centre.
struct StoreRole
{
    /// True if the daemon reads the store, or retries until the store answers.
    bool isReader = true;
    /// Number of other candidates of the data centre that the store does not answer.
    std::size_t otherCandidatesLost = 0;
    /// Number of daemons, including this one, that try to read in rotation because the store
    /// answers no candidate; 0 if this daemon does not take part.
    std::size_t rotationSize = 0;
};

/// \brief Selects the reader candidates of a data centre by rendezvous hashing.
/// \param members all members.
/// \return the candidates by descending priority; pointers into `members`.
std::vector<const Member *> storeReaderCandidates(std::string_view dataCentre,
                                                  std::span<const Member> members);

/// \param self name of a daemon.
/// \param members all members, including the daemon.
/// \return the role of the daemon; a daemon that is not a member reads the store.
StoreRole storeRole(std::string_view self, std::span<const Member> members);

/// \return true if a daemon is a store reader; see storeRole().
bool isStoreReader(std::string_view self, std::span<const Member> members);

} // namespace Coltsfootwell
