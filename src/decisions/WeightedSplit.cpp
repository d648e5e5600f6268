#include "decisions/WeightedSplit.h"

namespace Coltsfootwell {

const std::string &WeightedSplit::next(const Route &route)
{
    if (route.split.empty()) {
        return route.service;
    }
    std::vector<double> &credits = m_credits[route.host + route.prefix];
    credits.resize(route.split.size(), 0);
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
    return route.split[best].service;
}

} // namespace Coltsfootwell
