// Decides when the use of a resource of the process, such as its memory, is worth a log line.
//
// Guards against a process that is ended for its memory, or refuses connections for want of
// descriptors, and has told nothing of it; and against a line for each change near a threshold.
#pragma once

#include <cstdint>

namespace Coltsfootwell {

/// \brief Change of the level of one resource.
enum class ResourceChange {
    None,
    BecameHigh,
    BecameNormal,
};

/// \brief Whether the use of one resource is high, with hysteresis.
class ResourceLevel
{
public:
    /// Use above which the level becomes high, as a fraction of the limit.
    static constexpr double HighFraction = 0.75;
    /// Use below which it becomes normal again.
    static constexpr double NormalFraction = 0.65;

    /// \param used amount in use.
    /// \param limit maximum amount, in the same unit; 0 if there is none.
    /// \return the change of the level since the previous call.
    ResourceChange update(std::uint64_t used, std::uint64_t limit);

private:
    bool m_isHigh = false;
};

} // namespace Coltsfootwell
