// Simulates a cluster of Membership objects over a network under a manual clock.
#pragma once

#include "decisions/Membership.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Coltsfootwell::Testing {

/// \brief Prints the seed of a test, so that a failure can be reproduced.
/// \param test name of the test, for the output.
/// \param seed default seed.
/// \return the seed in the environment variable COLTSFOOTWELL_SEED, or the default.
inline std::uint64_t testSeed(std::string_view test, std::uint64_t seed)
{
    if (const char *text = std::getenv("COLTSFOOTWELL_SEED")) {
        seed = std::strtoull(text, nullptr, 10);
    }
    std::cout << test << ": seed " << seed << '\n';
    return seed;
}

/// \brief A simulated daemon process.
struct Process
{
    Member self;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<Membership> membership;
    bool running = true;
    /// While true, the process executes nothing; datagrams to it are queued.
    bool frozen = false;
    /// Datagrams and sync messages received while frozen.
    std::deque<std::function<void()>> pendingTasks;
    std::vector<IncarnationConflict> conflicts;
    /// The last 100 outputs of this type.
    std::vector<ControlStateReported> stateReports;
};

/// \brief A message in transit between two processes.
struct Transfer
{
    using Content = std::variant<const Datagram *, const SyncRequest *, const SyncAnswer *>;

    /// Index of the sending process.
    std::size_t from = 0;
    /// Index of the receiving process.
    std::size_t to = 0;
    /// False if the receiver has stopped or cannot be reached.
    bool arrives = false;
    Content content;
};

/// \brief The processes, the network and the clock.
class MembershipSimulation
{
public:
    /// One-way latency between processes of the same region.
    static constexpr std::chrono::microseconds LatencyInRegion {500};
    /// One-way latency between processes of different regions.
    static constexpr std::chrono::milliseconds LatencyBetweenRegions {30};

    explicit MembershipSimulation(std::uint64_t seed) : m_random(seed) { }

    /// Predicate of a sender and a receiver; while it is true, all messages between them are lost.
    std::function<bool(const Process &, const Process &)> isDisconnected
        = [](const Process &, const Process &) { return false; };
    /// Fraction of datagrams that are lost at random.
    double lossRate = 0;
    /// Called with each datagram; returns the datagram as the receiver decodes it.
    std::function<Datagram(Datagram)> onSend = [](Datagram datagram) { return datagram; };

    /// Called with each message, including those that the network loses. The callee counts the
    /// bytes.
    std::function<void(const Transfer &)> onTransfer = [](const Transfer &) {};

    TimePoint now() const { return m_now; }
    std::deque<Process> &processes() { return m_processes; }

    /// \return endpoint of the process with an index.
    static Endpoint endpointOf(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1),
                7000};
    }

    /// \brief Starts a process.
    /// \param name name of its daemon.
    /// \param seeds indices of the processes that are its seeds.
    Process &start(const std::string &name, const std::string &region,
                   const std::string &dataCentre, std::vector<std::size_t> seeds,
                   Incarnation incarnation = 1)
    {
        const std::size_t index = m_processes.size();
        Process &process = m_processes.emplace_back();
        process.self.id = {name, incarnation};
        process.self.endpoint = endpointOf(index);
        process.self.region = region;
        process.self.dataCentre = dataCentre;
        m_byEndpoint[process.self.endpoint] = index;
        std::vector<Endpoint> endpoints;
        for (const std::size_t seed : seeds) {
            endpoints.push_back(endpointOf(seed));
        }
        process.random = std::make_unique<SeededRandom>(m_random.next());
        process.membership = std::make_unique<Membership>(process.self, endpoints, *process.random);
        scheduleTick(index, Duration());
        return process;
    }

    /// \brief Starts n daemons whose seeds are the first two.
    /// \param localityOf function from an index to the region and the data centre.
    void startMany(
        std::size_t n,
        const std::function<std::pair<std::string, std::string>(std::size_t)> &localityOf)
    {
        for (std::size_t i = 0; i < n; ++i) {
            const auto [region, dataCentre] = localityOf(i);
            start("daemon-" + std::to_string(i), region, dataCentre, {0, 1});
        }
    }

    /// \brief Advances the clock.
    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.at;
            event.task();
        }
        m_now = end;
    }

    /// \brief Runs until a condition is true.
    /// \return the time it took; empty if the limit was reached.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint start = m_now;
        while (m_now - start <= limit) {
            if (condition()) {
                return m_now - start;
            }
            run(Membership::TickInterval / 2);
        }
        return std::nullopt;
    }

    /// \brief Sets the position of a process's control state, as after a read from the store.
    void advancePosition(std::size_t index, std::uint64_t position)
    {
        applyOutputs(
            index, m_processes[index].membership->setControlState({{position, 0}, 1, 0, 0}, m_now));
    }

    /// \brief Suspends a process, as SIGSTOP does.
    void freeze(Process &process) { process.frozen = true; }

    /// \brief Resumes a frozen process. It handles the datagrams in its sockets before its timers.
    void resume(Process &process)
    {
        process.frozen = false;
        auto pendingTasks = std::exchange(process.pendingTasks, {});
        for (auto &task : pendingTasks) {
            task();
        }
    }

    /// \return state of a daemon in the member list of a process; empty if it is not in the list.
    static std::optional<MemberState> memberState(const Process &observer, std::string_view name)
    {
        for (const Member &member : observer.membership->members()) {
            if (member.id.name == name) {
                return member.state;
            }
        }
        return std::nullopt;
    }

    /// \return true if the daemon has the state in the lists of all other processes, except for
    /// stopped and frozen ones.
    bool allHaveState(std::string_view name, MemberState state) const
    {
        return std::ranges::all_of(m_processes, [&](const Process &observer) {
            return !observer.running || observer.frozen || observer.self.id.name == name
                || memberState(observer, name) == state;
        });
    }

    /// \return true if the lists of all processes, except for stopped and frozen ones, have
    /// exactly n alive members.
    bool allHaveAliveCount(std::size_t n) const
    {
        return std::ranges::all_of(m_processes, [n](const Process &observer) {
            return !observer.running || observer.frozen
                || std::ranges::count(observer.membership->members(), MemberState::Alive,
                                      &Member::state)
                == static_cast<std::ptrdiff_t>(n);
        });
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t serial;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return std::pair(at, serial) > std::pair(other.at, other.serial);
        }
    };

    void schedule(Duration delay, std::function<void()> task)
    {
        m_events.push({m_now + delay, ++m_lastSerial, std::move(task)});
    }

    void scheduleTick(std::size_t index, Duration delay)
    {
        schedule(delay, [this, index] {
            Process &process = m_processes[index];
            if (!process.running) {
                return;
            }
            if (!process.frozen) {
                applyOutputs(index, process.membership->tick(m_now));
            }
            scheduleTick(index, Membership::TickInterval);
        });
    }

    /// Calls onTransfer with a message.
    void notifyTransfer(std::size_t from, const Endpoint &to, Transfer::Content content)
    {
        if (const auto it = m_byEndpoint.find(to); it != m_byEndpoint.end()) {
            const Process &target = m_processes[it->second];
            const bool arrives = target.running && !isDisconnected(m_processes[from], target);
            onTransfer({from, it->second, arrives, content});
        }
    }

    void deliver(std::size_t from, const Endpoint &to, std::function<void(std::size_t)> task)
    {
        const auto it = m_byEndpoint.find(to);
        if (it == m_byEndpoint.end()) {
            return;
        }
        const std::size_t target = it->second;
        const Process &sender = m_processes[from];
        if (isDisconnected(sender, m_processes[target])) {
            return;
        }
        const bool near = sender.self.region == m_processes[target].self.region;
        schedule(near ? Duration(LatencyInRegion) : Duration(LatencyBetweenRegions),
                 [this, target, task = std::move(task)] {
                     Process &process = m_processes[target];
                     if (process.running && process.frozen) {
                         process.pendingTasks.push_back([task, target] { task(target); });
                     } else if (process.running) {
                         task(target);
                     }
                 });
    }

    void applyOutputs(std::size_t index, Membership::Outputs outputs)
    {
        // A copy, because a sync calls the same object again.
        const std::vector<MembershipOutput> copy(outputs.begin(), outputs.end());
        for (const MembershipOutput &output : copy) {
            std::visit([this, index](const auto &body) { apply(index, body); }, output);
        }
    }

    void apply(std::size_t index, const SendDatagram &out)
    {
        Datagram datagram = onSend(out.datagram);
        notifyTransfer(index, out.to, &datagram);
        if (m_random.uniform() < lossRate) {
            return;
        }
        deliver(index, out.to,
                [this, sender = endpointOf(index),
                 payload = std::make_shared<Datagram>(std::move(datagram))](std::size_t target) {
                    applyOutputs(target,
                                 m_processes[target].membership->handle(*payload, sender, m_now));
                });
    }

    void apply(std::size_t index, const StartSync &sync)
    {
        const auto request
            = std::make_shared<SyncRequest>(m_processes[index].membership->startSync(m_now));
        notifyTransfer(index, sync.peer, request.get());
        deliver(index, sync.peer, [this, index, request](std::size_t target) {
            const auto answer = std::make_shared<SyncAnswer>();
            applyOutputs(
                target,
                m_processes[target].membership->handleSyncRequest(*request, *answer, m_now));
            notifyTransfer(target, endpointOf(index), answer.get());
            deliver(target, endpointOf(index), [this, answer](std::size_t requester) {
                applyOutputs(requester,
                             m_processes[requester].membership->handleSyncAnswer(
                                 answer->records, m_now, answer->partial));
            });
        });
    }

    void apply(std::size_t index, const ControlStateReported &report)
    {
        appendBounded(m_processes[index].stateReports, report);
    }

    /// Appends an output and keeps only the last 100.
    template <typename Output>
    static void appendBounded(std::vector<Output> &outputs, const Output &output)
    {
        outputs.push_back(output);
        if (outputs.size() > 100) {
            outputs.erase(outputs.begin());
        }
    }

    void apply(std::size_t index, const IncarnationConflict &conflict)
    {
        m_processes[index].conflicts.push_back(conflict);
        if (conflict.replaced) {
            m_processes[index].running = false;
        }
    }

    SeededRandom m_random;
    TimePoint m_now {std::chrono::hours(1)};
    std::deque<Process> m_processes;
    std::map<Endpoint, std::size_t> m_byEndpoint;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastSerial = 0;
};

/// \return region and data centre of every daemon in a cluster with one data centre.
inline std::pair<std::string, std::string> oneRegion(std::size_t)
{
    return {"klang", "klang-a"};
}

/// \return region and data centre of each daemon in a cluster of three regions.
inline std::pair<std::string, std::string> threeRegions(std::size_t index)
{
    const std::string region = "region-" + std::to_string(index % 3);
    return {region, region + "-a"};
}

/// \brief Runs until all n daemons are alive in all lists, and for the time that their gossip
/// takes.
/// \return false if this takes more than a minute.
inline bool waitForJoin(MembershipSimulation &simulation, std::size_t n)
{
    const bool joined
        = simulation
              .runUntil([&] { return simulation.allHaveAliveCount(n); }, std::chrono::seconds(60))
              .has_value();
    simulation.run(std::chrono::seconds(5));
    return joined;
}

} // namespace Coltsfootwell::Testing
