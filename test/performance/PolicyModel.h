// Deterministic model of a few backend servers and entry daemons that drives the real decisions.
#pragma once

#include "decisions/Admission.h"
#include "decisions/Routing.h"

#include <array>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

/// \brief One case to measure.
struct PolicyCase
{
    std::string strategy = "two-choices";
    /// "even", "straggler", "fail-fast", "stale-reports" or "cold-turn", where the first server
    /// differs, or "data-centre", where half of the servers leave and return.
    std::string scenario = "even";
    /// Offered load as a share of the capacity of all servers.
    double load = 0.8;
    /// False lets every call through to the server.
    bool limits = true;
    Duration deadline = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
};

/// \brief Outcome of the calls that arrived in one phase of a data centre change.
struct PhaseResult
{
    std::uint64_t calls = 0;
    std::uint64_t good = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
};

/// \brief Outcome of the calls that arrived after the warm-up.
struct PolicyResult
{
    std::uint64_t calls = 0;
    /// Answered well within the deadline.
    std::uint64_t good = 0;
    /// Answered well, but late.
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t attempts = 0;
    /// Runs that the first server started.
    std::uint64_t runsOnFirst = 0;
    /// Most calls at once on the first server from one second after it turned cold.
    unsigned peakOnCold = 0;
    /// Milliseconds of the good and late answers, sorted.
    std::vector<double> latencies;
    /// In "data-centre": calls that arrived before, while and after half of the servers were out.
    std::array<PhaseResult, 3> phases;
    /// In "data-centre": runs that the leaving servers started from one second after the news.
    std::uint64_t runsWhileOut = 0;
    /// In "data-centre": time from the return to the end of the last window in which calls were
    /// refused or late.
    double secondsToLastBad = 0;
    /// In "data-centre": time from the return to the end of the first window in which the returned
    /// servers, half of all, ran 40% of the calls; negative when there was none.
    double secondsToShare = -1;
    /// In "data-centre": share of the runs in the last two seconds on the returned servers.
    double shareAtEnd = 0;

    double percentile(double share) const;
};

constexpr unsigned ModelServers = 8;
constexpr unsigned ModelSlots = 9;
constexpr std::chrono::milliseconds ModelServiceTime {20};

/// \param policyCase the case.
/// \return what its calls saw; the same for the same case.
PolicyResult runPolicyCase(const PolicyCase &policyCase);

} // namespace Coltsfootwell::Testing
