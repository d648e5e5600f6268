// Benchmark of load-balancing policies. Simulates servers whose work takes seven times as long
// during transient slowdowns of half a second on average, using the production decisions under a
// manual clock. Prints one JSON line for each load pattern and policy; random choice and the power
// of two choices serve as baselines.
#include "PlacementFixture.h"
#include "decisions/BackendHealth.h"
#include "decisions/SlotQueue.h"
#include "kernel/ManualExecutor.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <memory>
#include <vector>

namespace {

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned Senders = 6;
constexpr unsigned Servers = 6;
constexpr unsigned Slots = 9;
constexpr milliseconds WorkTime {60};
constexpr milliseconds Objective {300};
constexpr milliseconds Deadline {1000};
constexpr milliseconds MeanSlowdownTime {500};
constexpr double SlowFactor = 7;
constexpr milliseconds NetworkDelay {1};
constexpr seconds MeasuredTime {60};

enum class Policy {
    ExpectedTime,
    TwoChoices,
    Random,
};

struct LoadPattern
{
    const char *name;
    double slowProbability;
    double load;
    /// Load factor in every third second.
    double burst;
};

struct Result
{
    unsigned calls = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    std::vector<double> latencies;
};

/// A backend server and the state of its daemon.
struct Server
{
    SlotQueue slots;
    BackendHealth health;
    double slowness = 1;
    std::vector<std::pair<AttemptId, std::function<void()>>> queuedWork;
};

class Simulation
{
public:
    Simulation(Policy policy, const LoadPattern &pattern) : m_policy(policy), m_pattern(pattern)
    {
        m_executor.advance(seconds(100));
        m_start = m_executor.now();
        addMembers(m_members, "a", "a1", "s", Servers, Slots);
        for (unsigned i = 0; i < Senders; ++i) {
            m_placements.push_back(std::make_unique<Placement>(
                Locality {{"sender-" + std::to_string(i), 1}, "a", "a1"}, m_random));
            m_placements.back()->membersChanged(m_members);
            m_placements.back()->configurationChanged(configurationFor(m_members));
        }
        m_inFlight.resize(Senders, std::vector<int>(Servers, 0));
        for (unsigned i = 0; i < Servers; ++i) {
            m_servers.emplace_back();
            m_servers[i].slots.slotsChanged(Slots);
            changeSpeed(i);
        }
    }

    Result run()
    {
        scheduleArrival();
        m_executor.advance(MeasuredTime + Deadline);
        std::ranges::sort(m_result.latencies);
        return std::move(m_result);
    }

private:
    TimePoint now() const { return m_executor.now(); }

    void changeSpeed(unsigned serverIndex)
    {
        Server &server = m_servers[serverIndex];
        server.slowness = m_random.uniform() < m_pattern.slowProbability ? SlowFactor : 1;
        server.health.slownessReported(static_cast<std::uint32_t>(100 * server.slowness), now());
        broadcastLoad(serverIndex);
        decide(serverIndex);
        const double length = -std::log(1 - m_random.uniform()) * MeanSlowdownTime.count();
        m_executor.scheduleAfter(
            std::chrono::microseconds(static_cast<std::int64_t>(length * 1000)),
            [this, serverIndex] { changeSpeed(serverIndex); });
    }

    LoadReport loadReportOf(unsigned serverIndex) const
    {
        const Server &server = m_servers[serverIndex];
        LoadReport report;
        report.inUse = server.slots.inUse();
        report.waiting = static_cast<std::uint32_t>(server.slots.waiting());
        report.limit = Slots;
        report.state = BackendState::Warm;
        report.slownessPercent = server.health.slowness(now());
        report.answerMicros = 60'000;
        return report;
    }

    void broadcastLoad(unsigned serverIndex)
    {
        m_executor.scheduleAfter(
            NetworkDelay, [this, serverIndex, report = loadReportOf(serverIndex)] {
                for (auto &placement : m_placements) {
                    placement->loadReported(m_members[serverIndex].id, report, now());
                }
            });
    }

    void scheduleArrival()
    {
        const auto second = std::chrono::duration_cast<seconds>(now() - m_start).count();
        const double factor = second % 3 == 2 ? m_pattern.burst : 1;
        const double perSecond
            = m_pattern.load * factor * Servers * Slots * 1000 / WorkTime.count();
        const double gap = -std::log(1 - m_random.uniform()) / perSecond;
        m_executor.scheduleAfter(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this] {
                if (now() < m_start + MeasuredTime) {
                    ++m_result.calls;
                    placeCall(static_cast<unsigned>(m_random.below(Senders)), now(), {});
                    scheduleArrival();
                }
            });
    }

    std::optional<unsigned> pickServer(unsigned sender, const CallAttributes &attributes,
                                       std::span<const DaemonId> excluded, TimePoint &startBy)
    {
        startBy = attributes.deadline - WorkTime;
        if (m_policy == Policy::ExpectedTime) {
            const auto choice = m_placements[sender]->pick(attributes, excluded, now());
            if (const auto *placed = std::get_if<PlacedAttempt>(&choice)) {
                startBy = placed->startBy;
                return serverIndexOf(placed->target.daemon);
            }
            return std::nullopt;
        }
        std::vector<unsigned> candidates;
        for (unsigned i = 0; i < Servers; ++i) {
            if (std::ranges::find(excluded, m_members[i].id) == excluded.end()) {
                candidates.push_back(i);
            }
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        const unsigned first = candidates[m_random.below(candidates.size())];
        if (m_policy == Policy::Random) {
            return first;
        }
        const unsigned second = candidates[m_random.below(candidates.size())];
        return m_inFlight[sender][second] < m_inFlight[sender][first] ? second : first;
    }

    unsigned serverIndexOf(const DaemonId &id) const
    {
        return static_cast<unsigned>(std::ranges::find(m_members, id, &Member::id)
                                     - m_members.begin());
    }

    void placeCall(unsigned sender, TimePoint received, std::vector<DaemonId> excluded)
    {
        CallAttributes attributes = attributesFor("s");
        attributes.received = received;
        attributes.objective = received + Objective;
        attributes.deadline = received + Deadline;
        TimePoint startBy;
        const auto serverIndex = pickServer(sender, attributes, excluded, startBy);
        if (!serverIndex) {
            ++m_result.refused;
            return;
        }
        m_placements[sender]->attemptSent(m_members[*serverIndex].id);
        ++m_inFlight[sender][*serverIndex];
        m_executor.scheduleAfter(
            NetworkDelay, [this, sender, received, excluded, startBy, serverIndex = *serverIndex] {
                offer(sender, received, excluded, startBy, serverIndex);
            });
    }

    void offer(unsigned sender, TimePoint received, std::vector<DaemonId> excluded,
               TimePoint startBy, unsigned serverIndex)
    {
        Server &server = m_servers[serverIndex];
        const AttemptId id {0, ++m_lastAttempt};
        updateSpeed(server);
        const SlotVerdict verdict = server.slots.offer(
            {id, startBy, 0, false, false, received + Objective, received + Deadline}, now());
        if (verdict == SlotVerdict::Refuse) {
            --m_inFlight[sender][serverIndex];
            m_placements[sender]->loadReported(m_members[serverIndex].id, loadReportOf(serverIndex),
                                               now());
            excluded.push_back(m_members[serverIndex].id);
            m_executor.scheduleAfter(NetworkDelay, [this, sender, received, excluded] {
                placeCall(sender, received, excluded);
            });
            return;
        }
        const auto work
            = [this, sender, received, serverIndex] { startWork(sender, received, serverIndex); };
        if (verdict == SlotVerdict::Start) {
            work();
        } else {
            server.queuedWork.emplace_back(id, work);
            m_executor.scheduleAfter(startBy - now(), [this, serverIndex] { decide(serverIndex); });
        }
    }

    void startWork(unsigned sender, TimePoint received, unsigned serverIndex)
    {
        const double ms
            = WorkTime.count() * m_servers[serverIndex].slowness * (0.7 + 0.6 * m_random.uniform());
        m_executor.scheduleAfter(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)),
            [this, sender, received, serverIndex] { workEnded(sender, received, serverIndex); });
    }

    void workEnded(unsigned sender, TimePoint received, unsigned serverIndex)
    {
        m_servers[serverIndex].slots.slotReleased();
        --m_inFlight[sender][serverIndex];
        const double ms = std::chrono::duration<double, std::milli>(now() - received).count();
        m_result.latencies.push_back(ms);
        ++(ms <= Objective.count() ? m_result.inTime : m_result.late);
        m_executor.scheduleAfter(
            NetworkDelay, [this, sender, serverIndex, report = loadReportOf(serverIndex)] {
                m_placements[sender]->loadReported(m_members[serverIndex].id, report, now());
            });
        decide(serverIndex);
    }

    void updateSpeed(Server &server)
    {
        server.slots.speedChanged(
            {WorkTime, WorkTime, server.slowness, server.health.inTransientSlowdown(now())});
    }

    void decide(unsigned serverIndex)
    {
        Server &server = m_servers[serverIndex];
        updateSpeed(server);
        bool again = true;
        while (again) {
            again = false;
            const auto decisions = server.slots.decide(now(), true);
            for (const SlotDecision &decision : std::vector(decisions.begin(), decisions.end())) {
                again = again || (decision.action == SlotAction::Start);
                const auto it = std::ranges::find_if(server.queuedWork, [&](const auto &item) {
                    return item.first == decision.attempt;
                });
                const auto work = it->second;
                server.queuedWork.erase(it);
                if ((decision.action == SlotAction::Start)) {
                    work();
                } else {
                    ++m_result.refused;
                }
            }
        }
    }

    Policy m_policy;
    LoadPattern m_pattern;
    ManualExecutor m_executor;
    SeededRandom m_random {7};
    TimePoint m_start;
    std::vector<Member> m_members;
    std::vector<std::unique_ptr<Placement>> m_placements;
    std::vector<Server> m_servers;
    /// Attempts in flight by sender and server.
    std::vector<std::vector<int>> m_inFlight;
    std::uint64_t m_lastAttempt = 0;
    Result m_result;
};

double percentile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * (sorted.size() - 1))];
}

} // namespace

int main()
{
    constexpr std::array Policies {std::pair {Policy::ExpectedTime, "expected-time"},
                                   std::pair {Policy::TwoChoices, "two-choices"},
                                   std::pair {Policy::Random, "random"}};
    constexpr std::array Patterns {
        LoadPattern {"even", 0, 0.5, 1}, LoadPattern {"slow-spells", 0.25, 0.3, 1},
        LoadPattern {"slow-spells-bursts", 0.25, 0.3, 2}, LoadPattern {"overload", 0.25, 0.8, 1}};
    for (const LoadPattern &pattern : Patterns) {
        for (const auto &[policy, name] : Policies) {
            const Result result = Simulation(policy, pattern).run();
            const auto share
                = [&result](unsigned n) { return static_cast<double>(n) / result.calls; };
            std::printf("{\"case\": \"%s\", \"way\": \"%s\", \"calls\": %u, \"inTime\": %.4f, "
                        "\"late\": %.4f, \"refused\": %.4f, \"p50ms\": %.1f, \"p99ms\": %.1f}\n",
                        pattern.name, name, result.calls, share(result.inTime), share(result.late),
                        share(result.refused), percentile(result.latencies, 0.5),
                        percentile(result.latencies, 0.99));
        }
    }
    return 0;
}
