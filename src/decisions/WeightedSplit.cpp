#include "decisions/WeightedSplit.h"

namespace Coltsfootwell {

namespace {

/// Number of calls after which the sequence of weights given in percent repeats.
constexpr std::uint64_t SequenceLength = 100;

/// \brief Advances the sequence by one call.
/// \return index of the service for that call.
std::size_t advance(std::vector<double> &credits, const Route &route)
{
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < route.split.size(); ++i) {
        credits[i] += route.split[i].weight;
        total += route.split[i].weight;
        if (credits[i] > credits[best]) {
            best = i;
        }
    }
    credits[best] -= total;
    return best;
}

} // namespace

const std::string &WeightedSplit::next(const Route &route)
{
    if (route.split.empty()) {
        return route.service;
    }
    const auto [it, added] = m_credits.try_emplace(route.host + route.prefix);
    std::vector<double> &credits = it->second;
    if (added) {
        credits.resize(route.split.size(), 0);
        for (std::uint64_t n = m_random.below(SequenceLength); n > 0; --n) {
            advance(credits, route);
        }
    }
    return route.split[advance(credits, route)].service;
}

} // namespace Coltsfootwell
