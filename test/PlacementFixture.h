// Members, configuration and calls for tests and benchmarks of placement.
#pragma once

#include "decisions/Placement.h"

#include <algorithm>
#include <string>

namespace Coltsfootwell::Testing {

/// \brief Adds warm members named "<data centre>-<service>-<number>" that serve one service.
inline void addMembers(std::vector<Member> &members, const std::string &region,
                       const std::string &dataCentre, const std::string &service, unsigned count,
                       unsigned slots = 9)
{
    for (unsigned i = 0; i < count; ++i) {
        Member member;
        member.id = {dataCentre + '-' + service + '-' + std::to_string(i), 1};
        member.region = region;
        member.dataCentre = dataCentre;
        member.service = service;
        member.backend = BackendState::Warm;
        member.slots = slots;
        members.push_back(member);
    }
}

/// \return a configuration with the data centres of all members in service.
inline ConfigurationPtr configurationFor(const std::vector<Member> &members)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    for (const Member &member : members) {
        configuration->dataCentres[member.dataCentre] = {member.region, true};
        configuration->services[member.service] = {};
    }
    return configuration;
}

inline CallAttributes attributesFor(const std::string &service)
{
    CallAttributes attributes;
    attributes.service = service;
    attributes.objective = TimePoint() + std::chrono::hours(1);
    attributes.deadline = TimePoint() + std::chrono::hours(2);
    return attributes;
}

} // namespace Coltsfootwell::Testing
