// Guards against a daemon whose log does not tell why its process ended: an exception, a signal and
// an exit on purpose looked the same.
#include "programs/DaemonEnd.h"
#include "support/DaemonProcess.h"

#include <cstdio>
#include <stdexcept>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto EndTimeout = 5s;

[[gnu::noinline]] void throwLengthError()
{
    throw std::length_error("field value too large");
}

/// Checks that a log has exactly one line of the end, with the given fields in this order.
void checkLastLine(const std::string &log, std::string_view fields)
{
    const std::string event
        = std::string(" daemon=") + DaemonProcess::Name + " event=daemon.ended ";
    const std::size_t begin = log.find(event);
    REQUIRE_MESSAGE(begin != std::string::npos, log);
    CHECK(log.find(event, begin + 1) == std::string::npos);
    const std::string rest = log.substr(begin + event.size());
    CHECK_MESSAGE(rest.starts_with(fields), rest);
    const std::size_t lineStart = log.rfind('\n', begin) + 1;
    CHECK_MESSAGE(log.substr(lineStart).starts_with("timeMs="), log.substr(lineStart));
    CHECK(rest.find('\n') != std::string::npos);
}

} // namespace

TEST_CASE("a daemon that a signal ends tells so, and ends by this signal")
{
    int number = 0;
    std::string name;
    SUBCASE("SIGSEGV")
    {
        number = SIGSEGV;
        name = "SIGSEGV";
    }
    SUBCASE("SIGABRT")
    {
        number = SIGABRT;
        name = "SIGABRT";
    }
    SUBCASE("SIGBUS")
    {
        number = SIGBUS;
        name = "SIGBUS";
    }
    DaemonProcess daemon;
    REQUIRE(daemon.awaitAnswer());
    daemon.sendSignal(number);
    REQUIRE(daemon.awaitEnd(EndTimeout));
    CHECK(daemon.endSignal() == number);
    checkLastLine(daemon.log(), "how=signal signal=" + name + "\n");
}

TEST_CASE("a daemon that cannot listen tells which service has failed, and ends with code 3")
{
    boost::asio::io_context context;
    const tcp::acceptor other(context, {boost::asio::ip::address_v4::loopback(), 0});
    DaemonProcess daemon(other.local_endpoint().port());
    CHECK(daemon.awaitEnd(EndTimeout) == 3);
    checkLastLine(daemon.log(), "how=exit code=3 reason=start-failed service=callers error=");
    CHECK(daemon.log().find("cannot start service \"callers\"") != std::string::npos);
}

TEST_CASE("a daemon that stops as planned tells so")
{
    DaemonProcess daemon;
    REQUIRE(daemon.awaitAnswer());
    daemon.sendSignal(SIGTERM);
    CHECK(daemon.awaitEnd(EndTimeout) == 0);
    checkLastLine(daemon.log(), "how=exit code=0 reason=planned-stop signal=15\n");
}

TEST_CASE("a process that an exception ends tells which, and ends by SIGABRT")
{
    std::FILE *log = std::tmpfile();
    REQUIRE(log);
    const ::pid_t process = ::fork();
    REQUIRE(process >= 0);
    if (process == 0) {
        ::dup2(::fileno(log), STDOUT_FILENO);
        ::dup2(::fileno(log), STDERR_FILENO);
        logUnexpectedEnd(DaemonProcess::Name);
        // As an exception that leaves a handler, for which nothing looks further up.
        []() noexcept { throwLengthError(); }();
    }
    int status = 0;
    REQUIRE(::waitpid(process, &status, 0) == process);
    CHECK(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == SIGABRT);
    std::rewind(log);
    std::array<char, 4096> buf {};
    const std::string text(buf.data(), std::fread(buf.data(), 1, buf.size(), log));
    std::fclose(log);
    checkLastLine(text, "how=exception type=std::length_error what=field?value?too?large\n");
    // The text of the standard library on standard error stays.
    CHECK(text.find("terminate called after throwing") != std::string::npos);
}
