// Guards against handlers that are destroyed with their io_context and use an executor that is
// destroyed before: a daemon that stops with a request half read ended with a memory error.
#include "kernel/AsioExecutor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>

using namespace Coltsfootwell;
using std::chrono::seconds;

namespace {

/// Uses the executor in its destructor, as a connection with a timer does.
class Connection
{
public:
    Connection(Executor &executor, int &ended)
        : m_executor(executor), m_ended(ended), m_timer(executor.scheduleAfter(seconds(60), [] {}))
    {
    }
    ~Connection()
    {
        m_executor.cancel(m_timer);
        m_executor.post([&ended = m_ended] { ended += 100; });
        m_executor.scheduleAfter(seconds(0), [&ended = m_ended] { ended += 100; });
        ++m_ended;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

private:
    Executor &m_executor;
    int &m_ended;
    TimerId m_timer;
};

} // namespace

TEST_CASE("objects that handlers, tasks and timers hold may use a closed executor")
{
    int ended = 0;
    std::optional<boost::asio::io_context> context(std::in_place);
    AsioExecutor executor(*context);
    boost::asio::post(*context, [connection = std::make_shared<Connection>(executor, ended)] {});
    executor.post([connection = std::make_shared<Connection>(executor, ended)] {});
    executor.scheduleAfter(seconds(60),
                           [connection = std::make_shared<Connection>(executor, ended)] {});
    executor.close();
    CHECK(ended < 100);
    context.reset();
    CHECK(ended == 3);
}
