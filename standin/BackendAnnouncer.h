// Announces the stand-in backend server to the daemon beside it.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "standin/BackendOptions.h"
#include "wire/AnnouncementJson.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Coltsfootwell::Standin {

/// \param text "IP address:port".
/// \return the endpoint.
/// \throws std::exception if the text is malformed.
boost::asio::ip::tcp::endpoint parseTcpEndpoint(std::string_view text);

/// \brief Sends one announcement to the daemon.
/// \param options names the daemon and describes the server.
/// \param port port on which the server listens.
/// \param state announced state.
/// \return true if the daemon accepted the announcement.
boost::asio::awaitable<bool> announceOnce(const BackendOptions &options, std::uint16_t port,
                                          AnnouncedState state);

/// \brief Announces that the server is ready, and repeats the announcement after each loss of the
/// connection to the daemon. Returns when the server drains.
/// \param options names the daemon and describes the server.
/// \param port port on which the server listens.
/// \param draining becomes true when the server starts to drain; must outlive the coroutine.
boost::asio::awaitable<void> maintainAnnouncement(const BackendOptions &options, std::uint16_t port,
                                                  const bool &draining);

} // namespace Coltsfootwell::Standin
