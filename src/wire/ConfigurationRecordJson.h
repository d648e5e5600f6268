// Records of the log streams "configuration" and "members", and snapshots between daemons, as JSON.
#pragma once

#include "decisions/ConfigurationRecords.h"
#include "decisions/Member.h"

#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// Names of the streams.
constexpr std::string_view ConfigurationStream = "configuration";
constexpr std::string_view MembersStream = "members";

/// \brief Where a daemon can be reached; its record in the stream "members".
struct MemberRecord
{
    DaemonId id;
    Endpoint endpoint;
};

/// \param publish has a configuration.
/// \return JSON text of the record.
std::string encodeRecord(const PublishRecord &publish);

/// \param checkpoint has a configuration.
/// \return JSON text of the record.
std::string encodeRecord(const CheckpointRecord &checkpoint);

/// \param bytes content of a record.
/// \return the record; MalformedRecord with the reason when it cannot be decoded.
ConfigurationRecord decodeRecord(std::string_view bytes);

/// \param snapshot state of a fold, with or without a configuration.
/// \return JSON text.
std::string encodeSnapshot(const ConfigurationSnapshot &snapshot);

/// \param text JSON text from a peer.
/// \return the snapshot, or nothing when it is malformed or has no configuration.
std::optional<ConfigurationSnapshot> decodeSnapshot(std::string_view text);

/// \param member any member.
/// \return JSON text of its record.
std::string encodeMember(const MemberRecord &member);

/// \param bytes content of a record.
/// \return the member, or nothing when the record is malformed.
std::optional<MemberRecord> decodeMember(std::string_view bytes);

} // namespace Coltsfootwell
