// Decides whether a call may be sent to a second backend server.
#pragma once

#include "kernel/Time.h"

#include <string_view>

namespace Coltsfootwell {

/// \brief What allows retries and hedges.
class RetryStrategy
{
public:
    virtual ~RetryStrategy() = default;

    /// \brief Counts a first attempt.
    virtual void recordFirstAttempt(std::string_view service, TimePoint now) = 0;

    /// \brief Counts a call that a repeated run makes, which is a repeat of the caller's earlier
    /// call.
    virtual void recordCallOfRepeatedRun(std::string_view service, TimePoint now) = 0;

    /// \brief Asks for a retry or a hedge.
    /// \return false when the call may not be sent again.
    virtual bool tryAcquire(std::string_view service, TimePoint now) = 0;
};

} // namespace Coltsfootwell
