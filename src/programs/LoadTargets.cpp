#include "programs/LoadTargets.h"

#include "wire/EndpointText.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

/// Time after a failed connection during which a daemon is not called.
constexpr std::chrono::seconds UnreachableTime {1};

} // namespace

LoadTargets::LoadTargets(std::vector<Endpoint> configured) : m_configured(std::move(configured))
{
    setDiscovered({});
}

Endpoint LoadTargets::choose(Random &random, TimePoint now, const Endpoint *avoid) const
{
    std::vector<const Entry *> usable;
    for (const Entry &entry : m_entries) {
        if (entry.unreachableUntil <= now && !(avoid && entry.endpoint == *avoid)) {
            usable.push_back(&entry);
        }
    }
    return usable.empty() ? m_entries[random.below(m_entries.size())].endpoint
                          : usable[random.below(usable.size())]->endpoint;
}

void LoadTargets::markUnreachable(const Endpoint &target, TimePoint now)
{
    for (Entry &entry : m_entries) {
        if (entry.endpoint == target) {
            entry.unreachableUntil = now + UnreachableTime;
        }
    }
}

void LoadTargets::setDiscovered(std::span<const Endpoint> discovered)
{
    std::vector<Endpoint> endpoints = m_configured;
    endpoints.insert(endpoints.end(), discovered.begin(), discovered.end());
    std::erase_if(m_entries, [&](const Entry &entry) {
        return std::ranges::find(endpoints, entry.endpoint) == endpoints.end();
    });
    for (const Endpoint &endpoint : endpoints) {
        if (std::ranges::find(m_entries, endpoint, &Entry::endpoint) == m_entries.end()) {
            m_entries.push_back({endpoint, {}});
        }
    }
}

std::vector<Endpoint> decodeDaemonList(std::string_view text)
{
    std::vector<Endpoint> daemons;
    boost::system::error_code ec;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    const json::value *list
        = !ec && document.is_object() ? document.get_object().if_contains("daemons") : nullptr;
    if (!list || !list->is_array()) {
        return daemons;
    }
    for (const json::value &item : list->get_array()) {
        const json::value *address
            = item.is_object() ? item.get_object().if_contains("address") : nullptr;
        if (!address || !address->is_string()) {
            continue;
        }
        Endpoint endpoint
            = parseEndpoint(std::string_view(address->get_string())).value_or(Endpoint {});
        if (const json::value *port = item.get_object().if_contains("port")) {
            endpoint.address = std::string_view(address->get_string());
            endpoint.port = port->to_number<std::uint16_t>(ec);
        }
        if (!endpoint.address.empty() && endpoint.port != 0) {
            daemons.push_back(std::move(endpoint));
        }
    }
    return daemons;
}

} // namespace Coltsfootwell
