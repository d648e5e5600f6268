// Names of the HTTP headers that callers, daemons and backend servers exchange.
#pragma once

#include <string_view>

namespace Coltsfootwell::Header {

constexpr std::string_view Deadline = "Coltsfootwell-Deadline-Ms";
constexpr std::string_view HomeRegions = "Coltsfootwell-Home-Regions";
constexpr std::string_view Customer = "Coltsfootwell-Customer";
constexpr std::string_view Depth = "Coltsfootwell-Depth";
/// Identifies one attempt of a caller; a backend server echoes it in its answer.
constexpr std::string_view Request = "Coltsfootwell-Request";
constexpr std::string_view TraceParent = "traceparent";

constexpr std::string_view Outcome = "Coltsfootwell-Outcome";
constexpr std::string_view Reason = "Coltsfootwell-Reason";
constexpr std::string_view ServedBy = "Coltsfootwell-Served-By";

} // namespace Coltsfootwell::Header
