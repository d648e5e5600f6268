// Completion handler of coroutines that nothing waits for.
#pragma once

#include "kernel/Executor.h"

namespace Coltsfootwell {

/// \brief Makes a completion handler of asio::co_spawn that reports an exception that has left the
/// coroutine, which asio::detached drops in silence.
/// \param executor receives the report; must outlive the coroutine.
inline auto reportFailure(const Executor &executor)
{
    return [&executor](const std::exception_ptr &error) {
        if (error) {
            executor.reportFailure("coroutine", error);
        }
    };
}

} // namespace Coltsfootwell
