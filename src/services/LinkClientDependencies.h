// What the client side of the links needs from its surroundings.
#pragma once

#include "decisions/Ids.h"
#include "kernel/Executor.h"
#include "services/AnswerMemory.h"
#include "services/CallMessages.h"
#include "services/LinkTraffic.h"
#include "services/TelemetryMessages.h"

#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell::Internal {

/// \brief Dependencies of LinkClient; all references must outlive it.
struct LinkClientDependencies
{
    boost::asio::io_context &context;
    Executor &executor;
    DaemonId self;
    std::shared_ptr<LinkTraffic> traffic;
    /// Memory for answers that are received from other daemons.
    std::shared_ptr<AnswerMemory> answerMemory;
    std::function<void(LoadReportReceived)> onLoadReport;
    std::function<void(DaemonUnreachable)> onDaemonUnreachable;
    std::function<void(TelemetryMessage)> sendTelemetry;
    /// Tells where a daemon is, by its name.
    std::function<LinkDestination(std::string_view)> destinationOf
        = [](std::string_view) { return LinkDestination::Unknown; };
};

} // namespace Coltsfootwell::Internal
