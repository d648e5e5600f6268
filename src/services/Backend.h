// The service "backend": the only service that sends calls to the local backend server, the one
// beside this daemon.
#pragma once

#include "decisions/AnswerBudget.h"
#include "decisions/Guards.h"
#include "decisions/Locality.h"
#include "kernel/Kernel.h"
#include "wire/HttpDialect.h"

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service "backend".
struct BackendSettings
{
    /// Identity, region and data centre of this daemon.
    Locality locality;
    /// Header dialect of requests to the backend server; must outlive the service.
    const HttpDialect *dialect = nullptr;
    /// Calls per second that a cold server tolerates above the cold-start rate of its service.
    double coldSlack = 0;
    const Guards *guards = &FullGuards;
    /// Memory for the answers of the backend server.
    AnswerLimits answerLimits = AnswerBudget::DefaultLimits;
};

/// \param kernel provides the executor and the service directory.
/// \param context runs the connections.
/// \return the service, not yet started.
std::unique_ptr<Service> makeBackend(Kernel &kernel, boost::asio::io_context &context,
                                     BackendSettings settings);

} // namespace Coltsfootwell
