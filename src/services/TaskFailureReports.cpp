#include "services/TaskFailureReports.h"

#include "services/ExceptionFields.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <utility>

namespace Coltsfootwell {

void TaskFailureReports::report(std::string_view where, const std::exception_ptr &error) noexcept
{
    try {
        send(where, error);
    } catch (...) {
        // There is no memory for the report.
    }
}

void TaskFailureReports::send(std::string_view where, const std::exception_ptr &error)
{
    double &uncounted = m_uncounted[where];
    ++uncounted;
    if (!m_rateLimiter.allows(where, true, m_kernel.executor().now())) {
        return;
    }
    std::error_code ignored;
    const auto telemetry
        = m_kernel.directory().find<TelemetryMessage>(ServiceName::Telemetry, ignored);
    telemetry.send(
        IncrementCounter {"task_failures_total", std::string(where), std::exchange(uncounted, 0)});
    telemetry.send(
        LogEvent {"task.failed", "", "where=" + std::string(where) + ' ' + exceptionFields(error)});
}

} // namespace Coltsfootwell
