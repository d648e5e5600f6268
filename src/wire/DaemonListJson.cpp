#include "wire/DaemonListJson.h"

#include "wire/EndpointText.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

std::string encodeDaemonList(std::span<const Member> members, const Configuration *configuration)
{
    namespace json = boost::json;
    json::array daemons;
    for (const Member &member : members) {
        const bool inService = !configuration || configuration->inService(member.dataCentre);
        if (member.state == MemberState::Alive && !member.leaving && inService) {
            daemons.emplace_back(json::object {
                {"address", formatEndpoint({member.endpoint.address, member.callerPort})},
                {"dataCentre", member.dataCentre},
                {"region", member.region}});
        }
    }
    return json::serialize(
        json::object {{"maxAgeSeconds", DaemonListMaxAgeSeconds}, {"daemons", daemons}});
}

} // namespace Coltsfootwell
