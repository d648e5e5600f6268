// Serves the calls and control commands of the stand-in backend server. Only for .cpp files.
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

/// \brief State that the connections of one server share; used on one thread.
struct BackendShared
{
    const BackendOptions &options;
    BackendModel model;
    BackendHistory history;
    SeededRandom random;
    std::set<BackendSession *> sessions;
    std::uint64_t lastRun = 0;
    /// Called by POST /drain.
    std::function<void()> drain;
    /// Called when a run has ended.
    std::function<void()> runEnded;
};

/// \brief Accepts connections until the acceptor is closed.
boost::asio::awaitable<void> acceptCalls(boost::asio::ip::tcp::acceptor &acceptor,
                                         std::shared_ptr<BackendShared> shared);

} // namespace Coltsfootwell::Standin
