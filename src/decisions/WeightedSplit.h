// Divides the calls of a route among several services by weight.
#pragma once

#include "decisions/Configuration.h"
#include "kernel/Random.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell {

/// \brief Smooth weighted round robin, one sequence for each route.
///
/// Load pattern: a route whose parts must keep their shares over a few hundred calls. Random
/// choices would miss a share of 0.1 by a third at that number, and any choice by load would move
/// calls that do not fit one part to another. Each sequence begins at a random place, since many
/// daemons that get few calls between two changes would all send these to the heaviest part.
class WeightedSplit
{
public:
    /// \param random outlives this object.
    explicit WeightedSplit(Random &random) : m_random(random) { }

    /// \param route with at least one service in its split, or none.
    /// \return name of the service that gets the next call.
    const std::string &next(const Route &route);

    /// \brief Forgets the sequences of routes that a new configuration may have changed.
    void clear() { m_credits.clear(); }

private:
    Random &m_random;
    /// Credits by name of the route, in the order of its split.
    std::unordered_map<std::string, std::vector<double>> m_credits;
};

} // namespace Coltsfootwell
