// The service "log": offers a log in memory over gRPC. The stand-in log program runs it, and one
// daemon of a single site embeds it.
#pragma once

#include "kernel/Kernel.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// Trailing metadata of an append that was refused before its effect.
constexpr std::string_view NotAppendedHeader = "coltsfootwell-not-appended";

/// \brief Behaviour that tests switch on.
struct LogFaults
{
    bool unavailable = false;
    std::chrono::milliseconds appendDelay {0};
    std::chrono::milliseconds readDelay {0};
    /// The next appends take effect, but their senders get no answer.
    std::uint32_t loseAnswers = 0;
};

/// \brief Settings of the service.
struct LogServerSettings
{
    /// "IP number:port".
    std::string listen;
    Duration retention = std::chrono::hours(24);
    /// Most records of a stream; 0 for no limit.
    std::size_t maxRecords = 0;
    /// True when clients may change the faults.
    bool faultsAllowed = false;
    LogFaults faults;
};

/// \param kernel gives the executor.
/// \param settings address, retention and faults.
/// \return the service, not started.
std::unique_ptr<Service> makeLogServer(Kernel &kernel, LogServerSettings settings);

} // namespace Coltsfootwell
