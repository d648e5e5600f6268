// Names under which the services of a daemon publish their mailboxes.
#pragma once

#include <string>
#include <string_view>

namespace Coltsfootwell::ServiceName {

constexpr std::string_view Membership = "membership";
constexpr std::string_view Configuration = "configuration";
constexpr std::string_view Callers = "callers";
constexpr std::string_view Calls = "calls";
constexpr std::string_view Peers = "peers";
constexpr std::string_view Backend = "backend";
constexpr std::string_view Claims = "claims";
constexpr std::string_view DaemonList = "daemon-list";
constexpr std::string_view Telemetry = "telemetry";
constexpr std::string_view Stop = "stop";
constexpr std::string_view Log = "log";

/// \param path name of a path below "/coltsfootwell/".
/// \return the name under which the owner of the path publishes a mailbox of ControlRequest.
inline std::string control(std::string_view path)
{
    return "control/" + std::string(path);
}

/// \param service name of a service.
/// \return the name under which it publishes a mailbox of StopPhaseChanged.
inline std::string stopping(std::string_view service)
{
    return "stopping/" + std::string(service);
}

} // namespace Coltsfootwell::ServiceName
