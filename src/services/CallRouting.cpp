#include "services/CallRouting.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// The objective of a route without one is the deadline divided by this number.
constexpr int DefaultObjectiveDivisor = 2;

/// Intersection of the regions that route, customer and caller allow; an empty list allows all
/// regions.
class HomeRegions
{
public:
    void restrictTo(const std::vector<std::string> &regions)
    {
        if (regions.empty()) {
            return;
        }
        if (m_regions.empty() && !m_unsatisfiable) {
            m_regions = regions;
            return;
        }
        std::erase_if(m_regions, [&regions](const std::string &region) {
            return std::ranges::find(regions, region) == regions.end();
        });
        m_unsatisfiable = m_unsatisfiable || m_regions.empty();
    }

    /// \return true if the intersection is empty: no region may serve the call.
    bool isUnsatisfiable() const { return m_unsatisfiable; }
    const std::vector<std::string> &regions() const { return m_regions; }

private:
    std::vector<std::string> m_regions;
    bool m_unsatisfiable = false;
};

HomeRegions effectiveHomeRegions(const CallEnvelope &envelope, const Route &route,
                                 const Configuration &configuration)
{
    HomeRegions homeRegions;
    homeRegions.restrictTo(route.homeRegions);
    if (const auto it = configuration.customerRegions.find(envelope.customer);
        it != configuration.customerRegions.end()) {
        homeRegions.restrictTo(it->second);
    }
    homeRegions.restrictTo(envelope.homeRegions);
    return homeRegions;
}

/// \return the header "Host" without its port; empty if it is missing.
std::string_view hostWithoutPort(const CallHead &head)
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
    const Route *route = configuration.routeFor(hostWithoutPort(*call.head), call.head->target);
    if (!route) {
        return CallRefused {Outcome::NotRun, Reason::NoRoute, {}};
    }
    const HomeRegions homeRegions = effectiveHomeRegions(envelope, *route, configuration);
    if (homeRegions.isUnsatisfiable()) {
        return CallRefused {Outcome::NotRun, Reason::OutsideHomeRegions, {}};
    }
    CallAttributes attributes;
    attributes.service = split.next(*route);
    const auto rules = configuration.services.find(attributes.service);
    if (rules == configuration.services.end()) {
        return CallRefused {Outcome::NotRun, Reason::NoRoute, {}};
    }
    attributes.customer = envelope.customer;
    attributes.idempotent = isIdempotent(*route, call.head->method);
    attributes.homeRegions = homeRegions.regions();
    attributes.depth = envelope.depth;
    attributes.received = call.received;
    Duration timeout = envelope.deadline.value_or(rules->second.defaultDeadline);
    if (route->timeout.count() > 0) {
        timeout = std::min<Duration>(timeout, route->timeout);
    }
    attributes.deadline = call.received + timeout;
    attributes.objective = route->objective.count() > 0
        ? std::min<TimePoint>(call.received + route->objective, attributes.deadline)
        : call.received + timeout / DefaultObjectiveDivisor;
    attributes.maxAttempts = std::max(1U, route->maxAttempts);
    attributes.priority = route->priority;
    attributes.nested = envelope.depth > 0;
    attributes.bodyBytes = call.body ? call.body->size() : 0;
    return attributes;
}

} // namespace Coltsfootwell
