// Encodes the membership protocol with protobuf.
#pragma once

#include "decisions/Datagram.h"

#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// Longest name of a daemon, region, data centre or service in a record.
constexpr std::size_t MaxWireNameBytes = 64;
/// Most records in a full sync.
constexpr std::size_t MaxSyncRecords = 10'000;

/// \param datagram at most Datagram::MaxRecords records.
/// \return at most Datagram::MaxBytes bytes; records that do not fit are left out.
std::string encodeDatagram(const Datagram &datagram);

/// \param bytes as received.
/// \param ec WireError::BadFrame or WireError::BadField, or cleared.
/// \return normalised records; meaningless when ec is set.
Datagram decodeDatagram(std::string_view bytes, std::error_code &ec);

/// \param records of a full sync.
std::string encodeSync(std::span<const MemberRecord> records);

/// \param bytes as received.
/// \param ec WireError::BadFrame or WireError::BadField, or cleared.
/// \return normalised records; meaningless when ec is set.
std::vector<MemberRecord> decodeSync(std::string_view bytes, std::error_code &ec);

} // namespace Coltsfootwell
