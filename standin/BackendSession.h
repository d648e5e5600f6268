// Serves the connections of the stand-in backend server.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "standin/BackendHistory.h"
#include "standin/BackendModel.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>

namespace Coltsfootwell::Standin {

class BackendSession;

/// \brief State shared by the sessions of one server. Accessed from a single thread.
struct SharedBackendState
{
    const BackendOptions &options;
    BackendModel model;
    BackendHistory history;
    SeededRandom random;
    std::set<BackendSession *> sessions;
    std::uint64_t lastRunId = 0;
    /// Called for POST /drain.
    std::function<void()> drainRequested;
    /// Called when a run has ended.
    std::function<void()> runEnded;
};

/// \brief Accepts connections until the acceptor is closed. A crashed server closes them
/// immediately.
boost::asio::awaitable<void> acceptConnections(boost::asio::ip::tcp::acceptor &acceptor,
                                               std::shared_ptr<SharedBackendState> shared);

} // namespace Coltsfootwell::Standin
