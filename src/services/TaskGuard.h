// Cleans up after a coroutine that does not reach its end.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <exception>
#include <functional>

namespace Coltsfootwell::Internal {

/// \brief Local object of a coroutine that runs a callback if an exception ends the coroutine, or
/// if its frame is destroyed since an exception has left the handler that was to resume it.
class TaskGuard
{
public:
    /// \param executor runs the callback later, unless its context is destroyed first.
    /// \param onAbandoned called at most once, after the coroutine is gone.
    TaskGuard(boost::asio::any_io_executor executor, std::function<void()> onAbandoned);
    ~TaskGuard();
    TaskGuard(const TaskGuard &) = delete;
    TaskGuard &operator=(const TaskGuard &) = delete;

    /// \brief Notes that the coroutine has reached its end.
    void finished() { m_onAbandoned = nullptr; }

private:
    boost::asio::any_io_executor m_executor;
    std::function<void()> m_onAbandoned;
};

/// \brief Completion handler of a coroutine: lets its exception leave the handler, as any other
/// exception of a handler does, instead of ignoring it.
void rethrowFailure(const std::exception_ptr &failure);

} // namespace Coltsfootwell::Internal
