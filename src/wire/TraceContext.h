// W3C trace context (header "traceparent"), which links the spans of all hops of one call.
#pragma once

#include "kernel/Random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Identity of one span.
struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    std::uint8_t flags = 1;
};

/// \param text value of the header "traceparent".
/// \return the context, or std::nullopt if the text is malformed or an id is zero.
std::optional<TraceContext> parseTraceContext(std::string_view text);

/// \return value of the header: "00-<32 hex digits>-<16 hex digits>-<2 hex digits>".
std::string formatTraceContext(const TraceContext &context);

/// \brief Starts a child of the span in a received header, or a new trace if there is none.
/// \param received value of the header; may be empty or malformed.
/// \param random source of span and trace ids.
TraceContext startChildSpan(std::string_view received, Random &random);

/// \return the number as 16 hexadecimal digits.
std::string formatHex(std::uint64_t value);

} // namespace Coltsfootwell
