// Names of the HTTP headers that callers, daemons and backend servers exchange.
#pragma once

#include <string_view>

namespace Coltsfootwell::Header {

constexpr std::string_view Deadline = "Coltsfootwell-Deadline-Ms";
constexpr std::string_view HomeRegions = "Coltsfootwell-Home-Regions";
constexpr std::string_view Tenant = "Coltsfootwell-Tenant";
constexpr std::string_view Depth = "Coltsfootwell-Depth";
constexpr std::string_view Key = "Idempotency-Key";
constexpr std::string_view KeyCreated = "Idempotency-Key-Created";
constexpr std::string_view TraceParent = "traceparent";

constexpr std::string_view Outcome = "Coltsfootwell-Outcome";
constexpr std::string_view Reason = "Coltsfootwell-Reason";
constexpr std::string_view ServedBy = "Coltsfootwell-Served-By";

/// Between daemons only.
constexpr std::string_view Attempt = "Coltsfootwell-Request";
constexpr std::string_view Target = "Coltsfootwell-Target";
constexpr std::string_view Version = "Coltsfootwell-Version";
constexpr std::string_view Load = "Coltsfootwell-Load";
constexpr std::string_view Service = "Coltsfootwell-Service";
constexpr std::string_view KeyOwner = "Coltsfootwell-Key-Owner";

} // namespace Coltsfootwell::Header
