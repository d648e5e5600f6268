// Daemons that the load tool calls: unreachable ones are skipped for a while, and further ones are
// discovered from the daemons' lists.
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
    /// \param configured daemons from the command line, not empty; never removed.
    explicit LoadTargets(std::vector<Endpoint> configured);

    /// \param random source of random numbers.
    /// \param now current time.
    /// \param avoid daemon that a retry uses only if there is no other; null for none.
    /// \return a random reachable daemon, or any daemon if none is reachable.
    Endpoint choose(Random &random, TimePoint now, const Endpoint *avoid = nullptr) const;

    /// \brief Excludes a daemon for a while after a failed connection.
    void markUnreachable(const Endpoint &target, TimePoint now);

    /// \brief Replaces the discovered daemons.
    /// \param discovered daemons from a daemon's list, called in addition to the configured ones.
    void setDiscovered(std::span<const Endpoint> discovered);

private:
    struct Entry
    {
        Endpoint endpoint;
        TimePoint unreachableUntil {};
    };
    std::vector<Endpoint> m_configured;
    std::vector<Entry> m_entries;
};

/// \brief Decodes an answer to GET /coltsfootwell/daemons: an object whose member "daemons" is an
/// array of objects with "address" and "port", or with "address" as "IP address:port".
/// \param text JSON text.
/// \return the daemons; empty if the text has another form.
std::vector<Endpoint> decodeDaemonList(std::string_view text);

} // namespace Coltsfootwell
