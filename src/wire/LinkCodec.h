// Encodes and decodes the frames on links: a length prefix followed by a protobuf message.
#pragma once

#include "wire/LinkFrame.h"

#include <chrono>

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// Maximum size in bytes of an encoded frame, without its length prefix.
constexpr std::size_t MaxFrameBytes = 96ULL << 20;
/// Size in bytes of the length prefix, a big-endian integer.
constexpr std::size_t FrameLengthBytes = 4;

/// Longest time in a frame, which can still be added to a time without overflow.
constexpr std::chrono::seconds MaxFrameDuration {1'000'000'000};

/// \return the encoded frame with its length prefix.
std::string encodeFrame(const LinkFrame &frame);

/// \brief Finds the end of the first frame in a receive buffer.
/// \param bytes bytes received so far.
/// \param ec set to WireError::BadFrame if the length exceeds MaxFrameBytes, or cleared.
/// \return size in bytes of the first frame with its length prefix; 0 if it is incomplete.
std::size_t completeFrameSize(std::string_view bytes, std::error_code &ec);

/// \param bytes one frame without its length prefix.
/// \param ec set to WireError::BadFrame, or cleared.
/// \return the frame; unspecified if ec is set.
LinkFrame decodeFrame(std::string_view bytes, std::error_code &ec);

} // namespace Coltsfootwell
