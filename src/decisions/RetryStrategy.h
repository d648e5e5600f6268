// Interface that decides whether a call may be sent to another backend server.
#pragma once

#include "kernel/Time.h"

#include <string_view>

namespace Coltsfootwell {

/// \brief Admission of retries and hedges.
class RetryStrategy
{
public:
    virtual ~RetryStrategy() = default;

    /// \brief Counts a first attempt.
    virtual void recordFirstAttempt(std::string_view service, TimePoint now) = 0;

    /// \brief Counts a call made by a repeated run as a repeat.
    virtual void recordCallOfRepeatedRun(std::string_view service, TimePoint now) = 0;

    /// \brief Requests permission for a retry or a hedge and charges it to the budget.
    /// \return false if the call must not be sent again.
    virtual bool tryAcquire(std::string_view service, TimePoint now) = 0;
};

} // namespace Coltsfootwell
