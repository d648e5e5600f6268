// Guards against two daemons with the same id and address that supersede each other without end:
// the number of conflicts after which a process restarts its services is limited.
#include "support/DaemonProcess.h"

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int ExitReplaced = 4;
/// The daemon ends with the conflict after this one.
constexpr int MaxRestarts = 8;
/// More than the time in which the services of an idle daemon restart.
constexpr auto RestartTime = 500ms;

} // namespace

TEST_CASE("a daemon whose id is claimed again and again at its address ends as replaced")
{
    DaemonProcess daemon;
    int claims = 0;
    while (const auto incarnation = daemon.awaitAnswer()) {
        REQUIRE(claims <= MaxRestarts);
        ++claims;
        daemon.claimId(*incarnation + 1);
        std::this_thread::sleep_for(RestartTime);
    }
    CHECK(claims == MaxRestarts + 1);
    CHECK(daemon.exitCode() == ExitReplaced);
    CHECK(daemon.log().find("event=daemon.ended how=exit code=4 reason=replaced otherIncarnation=")
          != std::string::npos);
}
