// Reports exceptions that have left a handler and were contained there.
#pragma once

#include "decisions/LogRateLimiter.h"
#include "kernel/Kernel.h"

#include <exception>
#include <map>
#include <string_view>

namespace Coltsfootwell {

/// \brief Logs and counts contained exceptions.
class TaskFailureReports
{
public:
    /// \param kernel must outlive the object.
    explicit TaskFailureReports(Kernel &kernel) : m_kernel(kernel) { }

    /// \brief Reports an exception, as far as there is memory for it. The rate is limited, since
    /// the service "telemetry" itself may be what fails; what is left out is counted with the next
    /// report.
    /// \param where kind of the handler that it has left; a string literal.
    void report(std::string_view where, const std::exception_ptr &error) noexcept;

private:
    void send(std::string_view where, const std::exception_ptr &error);

    Kernel &m_kernel;
    LogRateLimiter m_rateLimiter;
    /// Exceptions that have not been counted yet, by the kind of the handler.
    std::map<std::string_view, double> m_uncounted;
};

} // namespace Coltsfootwell
