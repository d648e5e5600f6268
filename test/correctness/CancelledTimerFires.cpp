// Guards against a timer that fires although it was cancelled: after a pause of the daemon several
// timers and reads are due at once, and the connect timeout of an exchange then resets a connection
// over which its request has just been sent.
#include "kernel/AsioExecutor.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

TEST_CASE("a timer that is cancelled after it has expired does not fire")
{
    boost::asio::io_context context;
    AsioExecutor executor(context);
    bool fired = false;
    TimerId second = 0;
    executor.scheduleAfter(1ms, [&] { executor.cancel(second); });
    second = executor.scheduleAfter(2ms, [&] { fired = true; });
    // Both timers expire before the context runs, as after a pause of the process.
    std::this_thread::sleep_for(10ms);
    context.run();
    CHECK_FALSE(fired);
}
