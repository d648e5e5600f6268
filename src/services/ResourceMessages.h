// Messages of the service "resources".
#pragma once

#include <cstdint>
#include <string_view>

namespace Coltsfootwell {

/// \brief To "resources": memory that a part of the daemon holds now.
struct HeldMemory
{
    /// Name of the part; a string literal.
    std::string_view kind;
    std::uint64_t bytes = 0;
};

} // namespace Coltsfootwell
