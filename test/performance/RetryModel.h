// Model of nested calls in an outage of the deepest service, driven through the real CallFlow.
#pragma once

#include <cstdint>
#include <string>

namespace Coltsfootwell::Testing {

/// \brief One case to measure.
struct RetryCase
{
    /// "budget", or "always-3": every retry that CallFlow asks for, which is 3 attempts a call.
    std::string strategy = "budget";
    /// Probability that a server of the deepest service refuses an attempt.
    double outage = 1;
    /// Services that call each other; 1 is a call without nested calls.
    unsigned levels = 1;
    /// What a server does whose nested call was refused: true refuses too, so that the level above
    /// may try again; false answers with an error, which is final.
    bool passRefusalsOn = false;
    unsigned calls = 2000;
    std::uint64_t seed = 1;
};

/// \brief Attempts of all calls.
struct RetryResult
{
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    /// Calls to the deepest service, and the attempts of these calls.
    std::uint64_t deepestCalls = 0;
    std::uint64_t deepestAttempts = 0;
};

/// \param retryCase the case.
/// \return the same for the same case.
RetryResult runRetryCase(const RetryCase &retryCase);

} // namespace Coltsfootwell::Testing
