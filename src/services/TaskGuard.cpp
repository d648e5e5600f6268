#include "services/TaskGuard.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace Coltsfootwell::Internal {

TaskGuard::TaskGuard(boost::asio::any_io_executor executor, std::function<void()> onAbandoned)
    : m_executor(std::move(executor)), m_onAbandoned(std::move(onAbandoned))
{
}

TaskGuard::~TaskGuard()
{
    if (m_onAbandoned) {
        // Frames are also destroyed with their context, when the services that the callback uses no
        // longer exist. What is posted then does not run.
        boost::asio::post(m_executor, std::move(m_onAbandoned));
    }
}

void rethrowFailure(const std::exception_ptr &failure)
{
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace Coltsfootwell::Internal
