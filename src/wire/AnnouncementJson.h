// Announcements that a backend server sends to the daemon beside it, as JSON.
#pragma once

#include "decisions/BackendRegistration.h"
#include "wire/JsonFault.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief Service, capacity and state that a backend server announces.
struct BackendAnnouncement
{
    std::string service;
    std::uint16_t port = 0;
    unsigned slots = 0;
    /// Connections that the server accepts; 0 if it announces no limit.
    unsigned connections = 0;
    AnnouncedState state = AnnouncedState::Ready;
};

/// \brief Decodes an announcement.
/// \param text JSON text.
/// \param fault set to the first violation if ec is set.
/// \param ec set to WireError::BadJson or WireError::BadField, or cleared.
/// \return the announcement; unspecified if ec is set.
BackendAnnouncement decodeAnnouncement(std::string_view text, JsonFault &fault,
                                       std::error_code &ec);

/// \return the announcement as JSON text.
std::string encodeAnnouncement(const BackendAnnouncement &announcement);

/// \return JSON text of an object with the members "path", "value" and "rule".
std::string encodeFault(const JsonFault &fault);

} // namespace Coltsfootwell
