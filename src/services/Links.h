// The service "links": transports attempts, answers, load updates and peer requests between
// daemons.
#pragma once

#include "decisions/AnswerBudget.h"
#include "decisions/Locality.h"
#include "decisions/Member.h"
#include "kernel/Kernel.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

/// \brief Settings of the service "links".
struct LinksSettings
{
    /// TCP address to listen on.
    Endpoint listen;
    /// Identity, region and data centre of this daemon.
    Locality locality;
    /// Maximum number of bytes of the request bodies that other daemons have sent.
    std::size_t maxBodyBytes = 64ULL << 20;
    /// Memory for the answers that other daemons have sent.
    AnswerLimits answerLimits = AnswerBudget::DefaultLimits;
    /// Maximum number of bytes of sent answers that are kept in case their connection breaks.
    std::size_t maxKeptAnswerBytes = 8ULL << 20;
};

/// \param kernel provides the executor and the service directory.
/// \param context runs the connections.
/// \return the service, not yet started.
std::unique_ptr<Service> makeLinks(Kernel &kernel, boost::asio::io_context &context,
                                   LinksSettings settings);

} // namespace Coltsfootwell
