// One probe of a backend server's load endpoint.
#pragma once

#include "kernel/Executor.h"
#include "services/HttpExchange.h"
#include "wire/ServerLoadJson.h"

#include <functional>
#include <memory>
#include <optional>

namespace Coltsfootwell {

/// \brief Result of a probe.
struct ProbeResult
{
    /// False when no answer came in time.
    bool alive = false;
    /// Nothing when the server has no load endpoint, or its answer cannot be read.
    std::optional<ServerLoad> load;
};

/// Longest time that a probe may take.
constexpr std::chrono::milliseconds ProbeTimeout {500};

/// \brief Sends GET /load.
/// \param pool connections to the backend server.
/// \param done called exactly once.
void probeBackend(boost::asio::io_context &context, Executor &executor,
                  std::shared_ptr<HttpPool> pool, std::function<void(ProbeResult)> done);

} // namespace Coltsfootwell
