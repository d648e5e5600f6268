// Announces the stand-in backend server to the daemon beside it. Only for .cpp files.
#pragma once

#include "standin/BackendOptions.h"
#include "wire/AnnouncementJson.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Coltsfootwell::Standin {

/// \param text "IP number:port".
/// \return the endpoint; throws std::exception for other text.
boost::asio::ip::tcp::endpoint endpointFromText(std::string_view text);

/// \brief Announces once.
/// \return true when the daemon accepted it.
boost::asio::awaitable<bool> announceOnce(const BackendOptions &options, std::uint16_t port,
                                          AnnouncedState state);

/// \brief Announces that the server is ready, and again whenever the daemon was lost.
boost::asio::awaitable<void> keepAnnounced(const BackendOptions &options, std::uint16_t port,
                                           const bool &draining);

} // namespace Coltsfootwell::Standin
