// Guards against an exception of a library, thrown while one message, timer or connection is
// handled, that ends the daemon with all its calls, or leaves an executor that runs nothing more.
#include "kernel/AsioExecutor.h"
#include "services/ReportFailure.h"
#include "services/ServiceNames.h"
#include "services/TaskFailureReports.h"
#include "services/TelemetryMessages.h"
#include "support/DaemonProcess.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <new>
#include <stdexcept>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// More than the number of tasks that the executor runs in one batch.
constexpr int ManyTasks = 300;

/// More than the time in which a daemon reads its configuration file again.
constexpr auto ReloadTime = 300ms;

std::string configurationText(int version)
{
    return R"({"version": )" + std::to_string(version)
        + R"(, "dataCentres": {"dc": {"region": "r"}}, "services": {}, "routes": []})";
}

struct ContainedExecutor
{
    ContainedExecutor()
    {
        executor.setFailureSink([this](std::string_view where, const std::exception_ptr &) {
            failures.emplace_back(where);
        });
    }

    boost::asio::io_context context;
    AsioExecutor executor {context};
    std::vector<std::string> failures;
};

boost::asio::awaitable<void> failingCoroutine()
{
    throw std::length_error("field value too large");
    co_return;
}

} // namespace

TEST_CASE("tasks behind one that throws run")
{
    ContainedExecutor contained;
    int ran = 0;
    contained.executor.post([] { throw std::length_error("field value too large"); });
    for (int i = 0; i < ManyTasks; ++i) {
        contained.executor.post([&ran] { ++ran; });
    }
    contained.context.run();
    CHECK(ran == ManyTasks);
    CHECK(contained.failures == std::vector<std::string> {"executor"});
    // A later task finds the executor as it was.
    contained.context.restart();
    contained.executor.post([&ran] { ++ran; });
    contained.context.run();
    CHECK(ran == ManyTasks + 1);
}

TEST_CASE("a timer that throws ends neither the executor nor other timers")
{
    ContainedExecutor contained;
    bool fired = false;
    contained.executor.scheduleAfter(0ms, [] { throw std::bad_alloc(); });
    contained.executor.scheduleAfter(5ms, [&fired] { fired = true; });
    contained.context.run();
    CHECK(fired);
    CHECK(contained.failures == std::vector<std::string> {"timer"});
}

TEST_CASE("a coroutine that throws is reported")
{
    ContainedExecutor contained;
    boost::asio::co_spawn(contained.context, failingCoroutine(), reportFailure(contained.executor));
    contained.context.run();
    CHECK(contained.failures == std::vector<std::string> {"coroutine"});
}

TEST_CASE("without a failure sink, an exception leaves the loop, and later tasks still run")
{
    boost::asio::io_context context;
    AsioExecutor executor(context);
    bool ran = false;
    executor.post([] { throw std::length_error("field value too large"); });
    executor.post([&ran] { ran = true; });
    CHECK_THROWS_AS(context.run(), std::length_error);
    CHECK_FALSE(ran);
    context.run();
    CHECK(ran);
}

TEST_CASE("contained exceptions are counted and logged, also many at once")
{
    boost::asio::io_context context;
    AsioExecutor executor(context);
    SeededRandom random(1);
    Kernel kernel(executor, random);
    double counted = 0;
    std::vector<std::string> lines;
    Mailbox<TelemetryMessage> telemetry(executor, [&](TelemetryMessage message) {
        if (const auto *count = std::get_if<IncrementCounter>(&message)) {
            CHECK(count->metric == "task_failures_total");
            CHECK(count->kind == "timer");
            counted += count->amount;
        } else if (const auto *line = std::get_if<LogEvent>(&message)) {
            CHECK(line->event == "task.failed");
            lines.push_back(line->fields);
        }
    });
    kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
    TaskFailureReports reports(kernel);
    const auto error = std::make_exception_ptr(std::length_error("field value too large"));
    reports.report("timer", error);
    context.run();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] == "where=timer type=std::length_error what=field?value?too?large");
    CHECK(counted == 1);
    constexpr int Failures = 10'000;
    for (int i = 0; i < Failures; ++i) {
        reports.report("timer", error);
    }
    context.restart();
    context.run();
    CHECK(lines.size() < Failures / 10);
}

TEST_CASE("a daemon goes on after an exception in a message handler, and stops as planned")
{
    DaemonStrategies strategies;
    // Runs in the mailbox of the service "configuration".
    strategies.configurationFilter = [](Configuration &configuration) {
        if (configuration.version > 1) {
            throw std::length_error("field value too large");
        }
    };
    DaemonProcess daemon(0, strategies, configurationText(1));
    const auto incarnation = daemon.awaitAnswer();
    REQUIRE(incarnation);
    daemon.writeConfiguration(configurationText(2));
    daemon.sendSignal(SIGHUP);
    std::this_thread::sleep_for(ReloadTime);
    CHECK(daemon.awaitAnswer() == incarnation);
    CHECK_MESSAGE(daemon.log().find("event=task.failed where=executor type=std::length_error")
                      != std::string::npos,
                  daemon.log());
    daemon.sendSignal(SIGTERM);
    CHECK(daemon.awaitEnd(5s) == 0);
}
