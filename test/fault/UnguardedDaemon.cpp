// The daemon with one guard switched off, to show that a check fails without it.
// COLTSFOOTWELL_GUARD_OFF names the guard; see Rows below.
#include "programs/DaemonMain.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

using namespace Coltsfootwell;

/// Every row changes the strategies of one promise.
struct Row
{
    std::string_view name;
    void (*apply)(DaemonStrategies &, Guards &);
};

void forgetOutages(Configuration &configuration)
{
    for (auto &[name, rules] : configuration.dataCentres) {
        rules.inService = true;
    }
    configuration.drained.clear();
}

void startHot(Configuration &configuration)
{
    for (auto &[name, rules] : configuration.services) {
        rules.coldStart.initialSlots = rules.slots;
    }
}

void probeOften(Configuration &configuration)
{
    constexpr double ManyProbesPerSecond = 20;
    for (auto &[name, rules] : configuration.services) {
        rules.probesPerSecond = ManyProbesPerSecond;
    }
}

constexpr std::array Rows {
    Row {"retry-after-not-run",
         [](DaemonStrategies &, Guards &guards) {
             guards.mayRetryAfter = [](AttemptState, bool) { return true; };
         }},
    Row {"not-run-proof",
         [](DaemonStrategies &, Guards &guards) {
             guards.provesNotRun = [](AttemptState) { return true; };
         }},
    Row {"out-of-service",
         [](DaemonStrategies &strategies, Guards &) {
             strategies.configurationFilter = &forgetOutages;
         }},
    Row {
        "cold-start",
        [](DaemonStrategies &strategies, Guards &) { strategies.configurationFilter = &startHot; }},
    Row {"probe-budget",
         [](DaemonStrategies &strategies, Guards &) {
             strategies.configurationFilter = &probeOften;
         }},
    Row {"planned-stop",
         [](DaemonStrategies &strategies, Guards &) { strategies.plannedStop = false; }},
};

} // namespace

int main(int argc, char **argv)
{
    const char *name = std::getenv("COLTSFOOTWELL_GUARD_OFF");
    const auto *row = std::ranges::find(Rows, std::string_view(name ? name : ""), &Row::name);
    if (row == Rows.end()) {
        std::cerr << "COLTSFOOTWELL_GUARD_OFF must name a guard, not \"" << (name ? name : "")
                  << "\"\n";
        return 2;
    }
    static Guards guards = FullGuards;
    DaemonStrategies strategies;
    strategies.guards = &guards;
    row->apply(strategies, guards);
    return daemonMain(argc, argv, strategies);
}
