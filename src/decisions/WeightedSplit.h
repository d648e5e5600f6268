// Splits the calls of a route among several services by weight.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Random.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell {

/// \brief Smooth weighted round robin with a separate sequence for each route.
///
/// Keeps the shares of the services over a few hundred calls. Random choices would deviate from a
/// share of 0.1 by a third over that number, and a load-based choice would shift calls from a busy
/// service to another one. Each sequence starts at a random position, because daemons that get few
/// calls between two configuration changes would otherwise all choose the heaviest service.
class WeightedSplit
{
public:
    /// \param random must outlive the object.
    explicit WeightedSplit(Random &random) : m_random(random) { }

    /// \param route a route; without a split, its only service is returned.
    /// \return name of the service for the next call.
    const std::string &next(const Route &route);

    /// \brief Resets all sequences; called when the configuration changes.
    void clear() { m_credits.clear(); }

private:
    Random &m_random;
    /// Credits for each route, in the order of the services in its split.
    std::unordered_map<std::string, std::vector<double>> m_credits;
};

} // namespace Coltsfootwell
