// Encodes the membership protocol with protobuf.
#pragma once

#include "decisions/Datagram.h"
#include "decisions/SyncMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// Longest name of a daemon, region, data centre or service in a record.
constexpr std::size_t MaxWireNameBytes = 64;
/// Most entries of a full sync.
constexpr std::size_t MaxSyncRecords = 10'000;

/// \param datagram at most Datagram::MaxRecords records.
/// \return at most Datagram::MaxBytes bytes; records that do not fit are left out.
std::string encodeDatagram(const Datagram &datagram);

/// \param bytes as received.
/// \param ec WireError::BadFrame or WireError::BadField, or cleared.
/// \return normalised records; meaningless when ec is set.
Datagram decodeDatagram(std::string_view bytes, std::error_code &ec);

/// \param request with at most MaxSyncRecords entries.
std::string encodeSyncRequest(const SyncRequest &request);

/// \param bytes as received.
/// \param ec WireError::BadFrame or WireError::BadField, or cleared.
/// \return meaningless when ec is set.
SyncRequest decodeSyncRequest(std::string_view bytes, std::error_code &ec);

/// \param answer with at most MaxSyncRecords records.
std::string encodeSyncAnswer(const SyncAnswer &answer);

/// \param bytes as received.
/// \param ec WireError::BadFrame or WireError::BadField, or cleared.
/// \return normalised records; meaningless when ec is set.
SyncAnswer decodeSyncAnswer(std::string_view bytes, std::error_code &ec);

} // namespace Coltsfootwell
