// The daemon with one guard disabled, that is, one rule that keeps a promise. guards.py verifies
// that the check of this promise then fails. COLTSFOOTWELL_GUARD_OFF names the guard, see
// GuardOverrides.
#include "programs/DaemonMain.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

using namespace Coltsfootwell;

/// \brief Disables one guard by replacing strategies of the daemon.
struct GuardOverride
{
    /// Value of COLTSFOOTWELL_GUARD_OFF.
    std::string_view name;
    void (*apply)(DaemonStrategies &, Guards &);
};

/// \brief Puts all data centres and backend servers that are out of service back into service.
void restoreService(Configuration &configuration)
{
    for (auto &[name, rules] : configuration.dataCentres) {
        rules.inService = true;
    }
    configuration.drained.clear();
}

/// \brief Allows a cold backend server all its slots at once.
void disableColdStart(Configuration &configuration)
{
    for (auto &[name, rules] : configuration.services) {
        rules.coldStart.initialSlots = rules.slots;
    }
}

/// \brief Sets a probe rate above the valid maximum of two probes a second.
void raiseProbeRate(Configuration &configuration)
{
    constexpr double ExcessiveProbesPerSecond = 20;
    for (auto &[name, rules] : configuration.services) {
        rules.probesPerSecond = ExcessiveProbesPerSecond;
    }
}

constexpr std::array GuardOverrides {
    GuardOverride {"retry-after-not-run",
                   [](DaemonStrategies &, Guards &guards) {
                       guards.mayRetryAfter = [](AttemptState, bool) { return true; };
                   }},
    GuardOverride {"not-run-proof",
                   [](DaemonStrategies &, Guards &guards) {
                       guards.provesNotRun = [](AttemptState) { return true; };
                   }},
    GuardOverride {"out-of-service",
                   [](DaemonStrategies &strategies, Guards &) {
                       strategies.configurationFilter = &restoreService;
                   }},
    GuardOverride {"cold-start",
                   [](DaemonStrategies &strategies, Guards &) {
                       strategies.configurationFilter = &disableColdStart;
                   }},
    GuardOverride {"probe-budget",
                   [](DaemonStrategies &strategies, Guards &) {
                       strategies.configurationFilter = &raiseProbeRate;
                   }},
    GuardOverride {"planned-stop",
                   [](DaemonStrategies &strategies, Guards &) { strategies.plannedStop = false; }},
};

} // namespace

int main(int argc, char **argv)
{
    const char *name = std::getenv("COLTSFOOTWELL_GUARD_OFF");
    const auto *selected = std::ranges::find(GuardOverrides, std::string_view(name ? name : ""),
                                             &GuardOverride::name);
    if (selected == GuardOverrides.end()) {
        std::cerr << "COLTSFOOTWELL_GUARD_OFF must name a guard, got \"" << (name ? name : "")
                  << "\"\n";
        return 2;
    }
    static Guards guards = FullGuards;
    DaemonStrategies strategies;
    strategies.guards = &guards;
    selected->apply(strategies, guards);
    return daemonMain(argc, argv, strategies);
}
