// Encodes the messages between daemons: a length of four bytes, then protobuf.
#pragma once

#include "wire/LinkFrame.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// Longest encoded message.
constexpr std::size_t MaxFrameBytes = 96ULL << 20;
constexpr std::size_t FrameLengthBytes = 4;

/// \param frame any message.
/// \return its bytes with the length in front.
std::string encodeFrame(const LinkFrame &frame);

/// \param bytes received so far.
/// \return length of the first whole frame with its length bytes; 0 when it is not whole yet.
/// \param ec WireError::BadFrame when the length is too large, or cleared.
std::size_t completeFrameSize(std::string_view bytes, std::error_code &ec);

/// \param bytes one frame without its length.
/// \param ec WireError::BadFrame, or cleared.
/// \return meaningless when ec is set.
LinkFrame decodeFrame(std::string_view bytes, std::error_code &ec);

} // namespace Coltsfootwell
