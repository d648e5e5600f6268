// Daemons that the load tool calls: lost ones are left out for a while and replaced by others that
// the daemons name.
#pragma once

#include "decisions/Member.h"
#include "kernel/Random.h"
#include "kernel/Time.h"

#include <span>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief Chooses a daemon for each call.
class LoadTargets
{
public:
    /// \param given daemons of the command line, not empty; never forgotten.
    explicit LoadTargets(std::vector<Endpoint> given);

    /// \param avoid daemon that a repeat does not use when there is another; may be null.
    /// \return a daemon that is not known to be lost, or any when all are.
    Endpoint choose(Random &random, TimePoint now, const Endpoint *avoid = nullptr) const;

    /// \brief A connection to a daemon failed.
    void lost(const Endpoint &target, TimePoint now);

    /// \brief A daemon gave its list of daemons.
    /// \param listed daemons of the answer; added to the given ones.
    void learned(std::span<const Endpoint> listed);

private:
    struct Entry
    {
        Endpoint endpoint;
        TimePoint lostUntil {};
    };
    std::vector<Endpoint> m_given;
    std::vector<Entry> m_entries;
};

/// \brief Decodes an answer to GET /coltsfootwell/daemons: an object whose member "daemons" is an
/// array of objects with "address" and "port", or with "address" as "IP number:port".
/// \param text JSON text.
/// \return the daemons; empty for anything else.
std::vector<Endpoint> decodeDaemonList(std::string_view text);

} // namespace Coltsfootwell
