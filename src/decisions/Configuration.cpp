#include "decisions/Configuration.h"

namespace Coltsfootwell {

const Route *Configuration::routeFor(std::string_view path) const
{
    return routeFor({}, path);
}

const Route *Configuration::routeFor(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    path = path.substr(0, path.find('?'));
    for (const Route &route : routes) {
        const bool fits = (route.host.empty() || route.host == host)
            && path.starts_with(route.prefix)
            && (route.prefix.ends_with('/') || path.size() == route.prefix.size()
                || path[route.prefix.size()] == '/');
        if (fits && (!best || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

bool Configuration::inService(std::string_view dataCentre) const
{
    const auto it = dataCentres.find(dataCentre);
    return it != dataCentres.end() && it->second.inService;
}

} // namespace Coltsfootwell
