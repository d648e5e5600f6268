#include "services/CallRules.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Regions in which all of route, tenant and caller allow a call; an empty list allows all.
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

    bool allows(const std::string &region) const
    {
        return !m_impossible
            && (m_regions.empty() || std::ranges::find(m_regions, region) != m_regions.end());
    }

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
    if (const auto it = configuration.tenantRegions.find(envelope.tenant);
        it != configuration.tenantRegions.end()) {
        homes.restrictTo(it->second);
    }
    homes.restrictTo(envelope.homeRegions);
    return homes;
}

std::uint64_t bodyLength(const CallBody &body)
{
    return body.bytes ? body.bytes->size() : body.streamLength.value_or(0);
}

} // namespace

std::variant<CallFacts, CallRefused> factsOf(const SubmitCall &call,
                                             const Configuration &configuration,
                                             TimePoint freshUntil, const Place &place,
                                             TimePoint now)
{
    const CallEnvelope &envelope = call.envelope;
    if (envelope.depth >= MaxCallDepth) {
        return CallRefused {Outcome::NotRun, Reason::DepthExceeded};
    }
    const Route *route = configuration.routeFor(call.head->target);
    const auto rules
        = route ? configuration.services.find(route->service) : configuration.services.end();
    if (rules == configuration.services.end()) {
        return CallRefused {Outcome::NotRun, Reason::NoRoute};
    }
    const HomeRegions homes = homeRegionsOf(envelope, *route, configuration);
    if (!homes.allows(place.region)) {
        return CallRefused {Outcome::NotRun, Reason::OutsideHomeRegions};
    }
    if (now > freshUntil && rules->second.whenIsolated != IsolationPolicy::Serve) {
        return CallRefused {Outcome::NotRun, Reason::StaleConfiguration};
    }
    if (bodyLength(call.body) > rules->second.maxBodyBytes) {
        return CallRefused {Outcome::NotRun, Reason::BodyTooLarge};
    }
    CallFacts facts;
    facts.service = route->service;
    facts.tenant = envelope.tenant;
    facts.idempotent = std::ranges::find(route->idempotentMethods, call.head->method)
        != route->idempotentMethods.end();
    facts.depth = envelope.depth;
    facts.deadline = call.received + envelope.deadline.value_or(rules->second.defaultDeadline);
    facts.bodyReplayable = !call.body.stream;
    facts.homeRegions = homes.list();
    return facts;
}

} // namespace Coltsfootwell
