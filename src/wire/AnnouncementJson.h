// What a backend server tells the daemon beside it, as JSON.
#pragma once

#include "decisions/BackendRegistration.h"
#include "wire/JsonFault.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief One announcement of a backend server.
struct BackendAnnouncement
{
    std::string service;
    std::uint16_t port = 0;
    unsigned slots = 0;
    unsigned connections = 0;
    AnnouncedState state = AnnouncedState::Ready;
};

/// \brief Decodes an announcement.
/// \param text JSON text.
/// \param fault first violation when ec is set.
/// \param ec WireError::BadJson or WireError::BadField, or cleared.
BackendAnnouncement decodeAnnouncement(std::string_view text, JsonFault &fault,
                                       std::error_code &ec);

/// \param announcement any announcement.
/// \return its JSON text.
std::string encodeAnnouncement(const BackendAnnouncement &announcement);

/// \param fault a violation.
/// \return a JSON object that names path, value and rule.
std::string encodeFault(const JsonFault &fault);

} // namespace Coltsfootwell
