// Encodes and decodes the messages of the membership protocol with protobuf.
#pragma once

#include "decisions/Datagram.h"
#include "decisions/SyncMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// Maximum length in bytes of the name of a daemon, region, data centre or service in a record.
constexpr std::size_t MaxWireNameBytes = 64;
/// Maximum number of entries in a request or an answer of a full sync.
constexpr std::size_t MaxSyncRecords = 10'000;

/// \param datagram datagram with at most Datagram::MaxRecords records besides the sender's own.
/// \return at most Datagram::MaxBytes bytes; the last records are dropped if they do not fit.
std::string encodeDatagram(const Datagram &datagram);

/// \param bytes received bytes.
/// \param ec set to WireError::BadFrame or WireError::BadField, or cleared.
/// \return the datagram with normalized records; unspecified if ec is set.
Datagram decodeDatagram(std::string_view bytes, std::error_code &ec);

/// \param request request with at most MaxSyncRecords entries.
std::string encodeSyncRequest(const SyncRequest &request);

/// \param bytes received bytes.
/// \param ec set to WireError::BadFrame or WireError::BadField, or cleared.
/// \return the request; unspecified if ec is set.
SyncRequest decodeSyncRequest(std::string_view bytes, std::error_code &ec);

/// \param answer answer with at most MaxSyncRecords records.
std::string encodeSyncAnswer(const SyncAnswer &answer);

/// \param bytes received bytes.
/// \param ec set to WireError::BadFrame or WireError::BadField, or cleared.
/// \return the answer with normalized records; unspecified if ec is set.
SyncAnswer decodeSyncAnswer(std::string_view bytes, std::error_code &ec);

} // namespace Coltsfootwell
