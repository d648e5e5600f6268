// The wall clock, for values that are exchanged with other systems.
#pragma once

#include <chrono>
#include <cstdint>

namespace Coltsfootwell {

/// \return current Unix time in milliseconds.
inline std::int64_t unixMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Coltsfootwell
