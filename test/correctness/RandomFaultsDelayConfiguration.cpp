// Guards against combinations of faults after which a version becomes active late, goes back, or a
// data centre returns to service by itself. COLTSFOOTWELL_SEED sets the first seed and
// COLTSFOOTWELL_SEEDS their number.
#include "ConfigurationPlay.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

/// Seeds for each kind of fault, and for all kinds together.
constexpr std::uint64_t SeedsOfKind = 8;
constexpr std::uint64_t SeedsOfAll = 40;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
}

std::string lines(const std::vector<std::string> &texts)
{
    std::string joined;
    for (const std::string &text : texts) {
        joined += text + "\n";
    }
    return joined;
}

/// Plays all seeds with some kinds of faults.
void play(std::string_view name, const std::vector<PlayFault> &faults,
          std::uint64_t usualSeeds = SeedsOfKind)
{
    const std::uint64_t first = numberFrom("COLTSFOOTWELL_SEED", 1);
    const std::uint64_t seeds = numberFrom("COLTSFOOTWELL_SEEDS", usualSeeds);
    Duration lateStable {};
    Duration lateUnstable {};
    std::size_t calls = 0;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        ConfigurationPlay random(seed, faults);
        const auto &violations = random.run();
        CAPTURE(seed);
        INFO(lines(random.story()));
        CHECK_MESSAGE(violations.empty(), lines(violations));
        failed += violations.empty() ? 0 : 1;
        lateStable = std::max(lateStable, random.maxLateness(true));
        lateUnstable = std::max(lateUnstable, random.maxLateness(false));
        calls = std::max(calls, random.maxDaemonCallsPerSecond());
    }
    const auto seconds = [](Duration time) { return std::chrono::duration<double>(time).count(); };
    MESSAGE(name << ": seeds " << seeds << ", failed " << failed
                 << ", maximum lateness in s with a stable store " << seconds(lateStable)
                 << ", otherwise " << seconds(lateUnstable) << ", calls of a daemon in a second "
                 << calls);
}

} // namespace

TEST_CASE("versions become active in time in random plays with one kind of fault")
{
    using enum PlayFault;
    play("none", {});
    play("drills", {Drill});
    play("frozen daemons", {Freeze});
    play("restarts in turn", {RestartInTurn});
    play("killed herds", {HerdKill});
    play("daemons cut from the store", {CutFromStore});
    play("daemons cut from peers", {CutFromPeers});
    play("a dark store", {StoreDark});
    play("a store that rejects some", {RejectSome});
}

TEST_CASE("versions become active in time in random plays with all kinds of faults")
{
    std::vector<PlayFault> all;
    for (int fault = 0; fault < static_cast<int>(PlayFault::Count); ++fault) {
        all.push_back(static_cast<PlayFault>(fault));
    }
    play("all kinds", all, SeedsOfAll);
}
