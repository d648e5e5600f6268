// Encodes spans in the JSON format of the OpenTelemetry protocol (OTLP).
#pragma once

#include "services/TelemetryMessages.h"

#include <span>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \param spans ended spans of one daemon.
/// \param daemon name of the daemon, the value of "service.instance.id".
/// \return an ExportTraceServiceRequest as JSON text.
std::string encodeSpans(std::span<const SpanEnded> spans, std::string_view daemon);

} // namespace Coltsfootwell
