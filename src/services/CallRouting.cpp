#include "services/CallRouting.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Objective of a route that has none, as a part of the deadline.
constexpr int ObjectiveShare = 2;

/// Regions in which all of route, customer and caller allow a call; an empty list allows all.
class HomeRegions
{
public:
    void restrictTo(const std::vector<std::string> &regions)
    {
        if (regions.empty()) {
            return;
        }
        if (m_regions.empty() && !m_impossible) {
            m_regions = regions;
            return;
        }
        std::erase_if(m_regions, [&regions](const std::string &region) {
            return std::ranges::find(regions, region) == regions.end();
        });
        m_impossible = m_impossible || m_regions.empty();
    }

    bool impossible() const { return m_impossible; }
    const std::vector<std::string> &list() const { return m_regions; }

private:
    std::vector<std::string> m_regions;
    bool m_impossible = false;
};

HomeRegions homeRegionsOf(const CallEnvelope &envelope, const Route &route,
                          const Configuration &configuration)
{
    HomeRegions homes;
    homes.restrictTo(route.homeRegions);
    if (const auto it = configuration.customerRegions.find(envelope.customer);
        it != configuration.customerRegions.end()) {
        homes.restrictTo(it->second);
    }
    homes.restrictTo(envelope.homeRegions);
    return homes;
}

/// \return the host without its port.
std::string_view hostOf(const CallHead &head)
{
    const std::string_view host = headerValue(head.headers, "Host").value_or("");
    return host.substr(0, host.rfind(':'));
}

bool isIdempotent(const Route &route, const std::string &method)
{
    return route.idempotent
        || std::ranges::find(route.idempotentMethods, method) != route.idempotentMethods.end();
}

} // namespace

std::variant<CallAttributes, CallRefused> routeCall(const SubmitCall &call,
                                                    const Configuration &configuration,
                                                    WeightedSplit &split)
{
    const CallEnvelope &envelope = call.call;
    if (envelope.depth >= MaxCallDepth) {
        return CallRefused {Outcome::NotRun, Reason::DepthExceeded, {}};
    }
    const Route *route = configuration.routeFor(hostOf(*call.head), call.head->target);
    if (!route) {
        return CallRefused {Outcome::NotRun, Reason::NoRoute, {}};
    }
    const HomeRegions homes = homeRegionsOf(envelope, *route, configuration);
    if (homes.impossible()) {
        return CallRefused {Outcome::NotRun, Reason::OutsideHomeRegions, {}};
    }
    CallAttributes facts;
    facts.service = split.next(*route);
    const auto rules = configuration.services.find(facts.service);
    if (rules == configuration.services.end()) {
        return CallRefused {Outcome::NotRun, Reason::NoRoute, {}};
    }
    facts.customer = envelope.customer;
    facts.idempotent = isIdempotent(*route, call.head->method);
    facts.homeRegions = homes.list();
    facts.depth = envelope.depth;
    facts.received = call.received;
    Duration patience = envelope.deadline.value_or(rules->second.defaultDeadline);
    if (route->timeout.count() > 0) {
        patience = std::min<Duration>(patience, route->timeout);
    }
    facts.deadline = call.received + patience;
    facts.objective = route->objective.count() > 0
        ? std::min<TimePoint>(call.received + route->objective, facts.deadline)
        : call.received + patience / ObjectiveShare;
    facts.maxAttempts = std::max(1U, route->maxAttempts);
    facts.priority = route->priority;
    facts.nested = envelope.depth > 0;
    facts.bodyBytes = call.body ? call.body->size() : 0;
    return facts;
}

} // namespace Coltsfootwell
