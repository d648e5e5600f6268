// Names under which the services of a daemon publish their mailboxes in the directory.
#pragma once

#include "wire/LinkFrame.h"

#include <string>
#include <string_view>

namespace Coltsfootwell::ServiceName {

constexpr std::string_view Membership = "membership";
constexpr std::string_view Configuration = "configuration";
constexpr std::string_view Callers = "callers";
constexpr std::string_view Calls = "calls";
constexpr std::string_view AnswerReaders = "answer-readers";
constexpr std::string_view Links = "links";
constexpr std::string_view Backend = "backend";
constexpr std::string_view Registration = "registration";
constexpr std::string_view LeftProcesses = "left-processes";
constexpr std::string_view DaemonList = "daemon-list";
constexpr std::string_view DaemonRecords = "daemon-records";
constexpr std::string_view Telemetry = "telemetry";
constexpr std::string_view Resources = "resources";
constexpr std::string_view Stop = "stop";

/// \param path first segment of a path below "/coltsfootwell/".
/// \return name of the mailbox of ControlRequest that handles the path.
inline std::string control(std::string_view path)
{
    return "control/" + std::string(path);
}

/// \param service name of a service.
/// \return name of its mailbox of StopPhaseChanged.
inline std::string stopping(std::string_view service)
{
    return "stopping/" + std::string(service);
}

/// \param subject subject of an exchange between daemons.
/// \return name of the mailbox of PeerRequestReceived that handles requests of the subject.
inline std::string exchange(ExchangeSubject subject)
{
    return subject == ExchangeSubject::MemberSync ? "exchange/member-sync"
                                                  : "exchange/control-state";
}

} // namespace Coltsfootwell::ServiceName
