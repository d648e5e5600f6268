// Simulates daemons that read the configuration from one store, under a manual clock. There are two
// regions with one link between them, and each host has a link of limited bandwidth. The store can
// come back from an older copy, and daemons can be frozen, killed and disconnected.
#pragma once

#include "PublishedConfigurationJson.h"
#include "SimulatedDaemon.h"
#include "decisions/StoreReaders.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

/// Bandwidth of the link between the regions that is left for configurations: half of 60 Mbit/s;
/// calls use the other half.
constexpr double LinkBytesPerSecond = 3.75e6;
constexpr std::size_t FewRoutes = 10;
constexpr std::size_t ManyRoutes = 1'600;
/// Maximum time from the acknowledgement of a change until it is active at every daemon.
constexpr std::chrono::seconds PropagationLimit {3};
/// The users' bound for the same, configApplyS.
constexpr milliseconds ApplyLimit {2'500};

/// \brief A simulation of the daemons, the store and the links.
class ConfigurationSimulation final : private DaemonNetwork
{
public:
    /// \param near number of daemons in the region of the store, in two data centres.
    /// \param far number of daemons in the other region, in two data centres.
    /// \param seed seed of the daemons' random numbers.
    ConfigurationSimulation(std::size_t near, std::size_t far, std::uint64_t seed = 0)
        : m_toFar(LinkBytesPerSecond), m_toNear(LinkBytesPerSecond), m_seed(seed)
    {
        for (std::size_t i = 0; i < near + far; ++i) {
            SimulatedHost &host = m_hosts.emplace_back();
            host.name = "daemon-" + std::to_string(i);
            host.endpoint
                = {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 7000};
            host.isFar = i >= near;
            host.region = host.isFar ? "far" : "near";
            host.dataCentre = host.region + (i % 2 == 0 ? "-a" : "-b");
            m_indices[host.endpoint] = i;
            m_dataCentres[host.dataCentre] = host.region;
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_daemons.push_back(makeDaemon(i, 1));
        }
    }

    ~ConfigurationSimulation() override
    {
        // Pending messages must not be sent to destroyed daemons.
        for (ProcessExecutor &process : m_executors) {
            process.kill();
        }
    }

    ConfigurationSimulation(const ConfigurationSimulation &) = delete;
    ConfigurationSimulation &operator=(const ConfigurationSimulation &) = delete;

    /// \brief Starts all daemons and waits until they have discovered each other.
    void start()
    {
        startAll();
        run(std::chrono::seconds(8));
    }

    /// \brief Starts all daemons at the same time.
    void startAll()
    {
        for (const auto &daemon : m_daemons) {
            daemon->start();
        }
    }

    /// \brief Advances the clock.
    void run(Duration time) { executor.advance(time); }

    // The operator.

    /// \brief Publishes a configuration, which the store acknowledges immediately.
    void publish(ConfigurationVersion version, std::size_t routes)
    {
        write("config", publishedConfigurationJson(version, routes));
        m_published[version] = executor.now();
    }

    /// \brief Takes a data centre out of service or returns it.
    void setOutOfService(const std::string &dataCentre, bool isOut)
    {
        write("evacuate/" + dataCentre, isOut ? std::optional<std::string>("{}") : std::nullopt);
    }

    /// \brief Writes records again that the store has lost.
    void rewrite(const std::vector<StoreRecord> &lost)
    {
        for (const StoreRecord &record : lost) {
            write(record.key, record.value);
        }
    }

    // Faults of the store.

    /// \brief Sets how the store treats all daemons. Connections with pending reads are reset when
    /// it starts to reject them, and hang when it becomes silent.
    void setStoreMode(StoreMode mode)
    {
        store.mode = mode;
        for (const auto &daemon : m_daemons) {
            if (mode == StoreMode::Rejecting) {
                daemon->store().rejectPendingRead();
            } else if (mode == StoreMode::Silent) {
                daemon->store().dropPendingRead();
            }
        }
    }

    /// \brief Makes the store come back from the copy that was taken last.
    /// \param away time for which it is silent or rejects all calls before; the simulation advances
    /// by it. Zero keeps pending reads.
    /// \return the newest lost record of each key.
    std::vector<StoreRecord> restoreCopy(Duration away, StoreMode mode)
    {
        if (away > Duration()) {
            setStoreMode(mode);
            run(away);
        }
        auto lost = store.restoreCopy();
        setStoreMode(StoreMode::Serving);
        return lost;
    }

    /// \brief Drops all traffic from and to the store readers of a region. Their connections stay
    /// open.
    void disconnectReaders(std::string_view region)
    {
        for (const auto &daemon : m_daemons) {
            if (daemon->host().region == region && isReader(*daemon)) {
                daemon->host().isCutFromStore = true;
                daemon->host().isCutFromPeers = true;
            }
        }
    }

    /// \brief Makes the store reject the current readers and serve all other daemons.
    void rejectReaders()
    {
        for (const auto &daemon : m_daemons) {
            setRejected(*daemon, isReader(*daemon));
        }
    }

    /// \brief Makes the store reject all daemons, or none.
    void setRejectAll(bool rejected)
    {
        for (const auto &daemon : m_daemons) {
            setRejected(*daemon, rejected);
        }
    }

    /// \brief Makes the store reject all reader candidates and serve all other daemons.
    void rejectReaderCandidates()
    {
        for (const auto &daemon : m_daemons) {
            const auto candidates
                = storeReaderCandidates(daemon->host().dataCentre, daemon->members());
            setRejected(*daemon, std::ranges::any_of(candidates, [&daemon](const Member *member) {
                return member->id.name == daemon->host().name;
            }));
        }
    }

    /// \brief Makes the store reject a daemon, or serve it again.
    static void setRejected(SimulatedDaemon &daemon, bool rejected)
    {
        daemon.host().isRejected = rejected;
        if (rejected) {
            daemon.store().rejectPendingRead();
        }
    }

    /// \brief Drops all traffic between a daemon and the store, or ends that. Its connections stay
    /// open, but a pending read is lost.
    static void setCutFromStore(SimulatedDaemon &daemon, bool isCut)
    {
        daemon.host().isCutFromStore = isCut;
        daemon.store().dropPendingRead();
    }

    // Daemons.

    std::size_t size() const { return m_daemons.size(); }
    SimulatedDaemon &daemon(std::size_t index) { return *m_daemons[index]; }
    const SimulatedDaemon &daemon(std::size_t index) const { return *m_daemons[index]; }

    /// \return true if a daemon is a store reader according to its own member list.
    static bool isReader(const SimulatedDaemon &daemon)
    {
        return isStoreReader(daemon.host().name, daemon.members());
    }

    /// \return indices of the store readers of a data centre; all data centres if empty.
    std::vector<std::size_t> readers(std::string_view dataCentre = "") const
    {
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (isReader(*m_daemons[i])
                && (dataCentre.empty() || m_hosts[i].dataCentre == dataCentre)) {
                indices.push_back(i);
            }
        }
        return indices;
    }

    /// \brief Ends the process of a daemon, as SIGKILL does.
    void kill(std::size_t index)
    {
        m_daemons[index]->executor().kill();
        m_daemons[index]->store().cancelAll();
    }

    /// \brief Starts a killed daemon again, with a higher incarnation and without any state.
    void restart(std::size_t index)
    {
        auto next = makeDaemon(index, m_daemons[index]->incarnation() + 1);
        m_ended.push_back(std::exchange(m_daemons[index], std::move(next)));
        m_daemons[index]->start();
    }

    // Results.

    /// \return number of daemons with a long poll pending at the store.
    std::size_t pendingReads() const
    {
        return std::ranges::count_if(
            m_daemons, [](const auto &daemon) { return daemon->store().hasPendingRead(); });
    }

    /// \return number of calls that the store has rejected.
    std::size_t rejectedCalls() const
    {
        return std::ranges::count(store.calls(), StoreCallRecord::Kind::Rejected,
                                  &StoreCallRecord::kind);
    }

    /// \return when a version was published last.
    TimePoint publishedAt(ConfigurationVersion version) const { return m_published.at(version); }

    /// \return maximum time from the acknowledgement of a version until it, or a later one, was
    /// active at a connected daemon; empty while a connected daemon still lacks it.
    std::optional<Duration> maxPropagationTime(ConfigurationVersion version) const
    {
        Duration maxTime {};
        for (const auto &daemon : m_daemons) {
            if (daemon->host().isCutFromPeers) {
                continue;
            }
            const auto at = daemon->appliedAt(version);
            if (!at) {
                return std::nullopt;
            }
            maxTime = std::max(maxTime, *at - m_published.at(version));
        }
        return maxTime;
    }

    /// \return true if a version, or a later one, was active at every connected daemon within a
    /// limit.
    bool isPropagatedInTime(ConfigurationVersion version, Duration limit = PropagationLimit) const
    {
        const auto maxTime = maxPropagationTime(version);
        return maxTime && *maxTime <= limit;
    }

    /// \return true if no process has replaced a version by an older one.
    bool neverRolledBack() const
    {
        const auto isSorted = [](const auto &daemon) {
            return std::ranges::is_sorted(daemon->applied(), {}, &AppliedVersion::version);
        };
        return std::ranges::all_of(m_daemons, isSorted) && std::ranges::all_of(m_ended, isSorted);
    }

    /// \return true if exactly these data centres are out of service at every running daemon.
    bool allHaveOutOfService(const std::set<std::string> &dataCentres) const
    {
        return std::ranges::all_of(m_daemons, [&dataCentres](const auto &daemon) {
            return daemon->executor().isKilled() || daemon->outOfService() == dataCentres;
        });
    }

    /// \return one line for each daemon that lacks a version.
    std::string describeLacking(ConfigurationVersion version) const
    {
        std::string text;
        for (const auto &daemon : m_daemons) {
            if (daemon->version() < version) {
                text += daemon->host().name + " (" + daemon->host().dataCentre
                    + (isReader(*daemon) ? ", reader" : "") + ") holds "
                    + std::to_string(daemon->version()) + "\n";
            }
        }
        return text;
    }

    /// \return bytes of configurations sent over the link to the far region.
    std::uint64_t bytesToFar() const { return m_toFar.bytes(); }

private:
    /// Declared before the executor of all processes, whose pending tasks refer to them.
    std::deque<ProcessExecutor> m_executors;

public:
    ManualExecutor executor;
    SimulatedStore store;

private:
    std::unique_ptr<SimulatedDaemon> makeDaemon(std::size_t index, Incarnation incarnation)
    {
        SimulatedHost &host = m_hosts[index];
        ProcessExecutor &process = m_executors.emplace_back(executor);
        auto client
            = std::make_shared<SimulatedStoreClient>(store, host, m_toFar, executor, process);
        const std::uint64_t seed = m_seed * 1'000'003 + incarnation * 10'007 + index;
        DaemonNetwork &network = *this;
        return std::make_unique<SimulatedDaemon>(network, host, process, std::move(client),
                                                 m_dataCentres, incarnation, seed);
    }

    /// Appends a record and answers the pending reads.
    void write(const std::string &key, const std::optional<std::string> &value)
    {
        store.append(key, value);
        for (const auto &daemon : m_daemons) {
            daemon->store().answerPendingRead();
        }
    }

    void deliver(const SimulatedHost &from, const Endpoint &to, Handler handler) override
    {
        if (const auto it = m_indices.find(to); it != m_indices.end()) {
            const SimulatedHost &target = m_hosts[it->second];
            deliverAfter(from, it->second, from.latencyTo(target), std::move(handler));
        }
    }

    void deliverBytes(SimulatedHost &from, const Endpoint &to, std::size_t bytes,
                      Handler handler) override
    {
        const std::size_t index = m_indices.at(to);
        SimulatedHost &target = m_hosts[index];
        if (from.isCutFromPeers) {
            return;
        }
        const TimePoint now = executor.now();
        TimePoint end = std::max(from.link.send(now, bytes), target.link.send(now, bytes));
        if (from.isFar != target.isFar) {
            end = std::max(end, (target.isFar ? m_toFar : m_toNear).send(now, bytes));
        }
        deliverAfter(from, index, end - now + from.latencyTo(target), std::move(handler));
    }

    void deliverAfter(const SimulatedHost &from, std::size_t index, Duration delay, Handler handler)
    {
        if (from.isCutFromPeers || m_hosts[index].isCutFromPeers) {
            return;
        }
        executor.scheduleAfter(delay, [this, index, handler = std::move(handler)] {
            if (!m_hosts[index].isCutFromPeers) {
                // A frozen process handles the message when it is resumed.
                SimulatedDaemon &daemon = *m_daemons[index];
                daemon.executor().post([&daemon, handler] { handler(daemon); });
            }
        });
    }

    bool isListening(const Endpoint &endpoint) const override
    {
        const auto it = m_indices.find(endpoint);
        return it != m_indices.end() && !m_daemons[it->second]->executor().isKilled();
    }

    std::vector<Endpoint> seeds() const override
    {
        std::vector<Endpoint> endpoints;
        for (const SimulatedHost &host : m_hosts) {
            endpoints.push_back(host.endpoint);
        }
        return endpoints;
    }

    BandwidthLimitedLink m_toFar;
    BandwidthLimitedLink m_toNear;
    std::uint64_t m_seed;
    std::map<ConfigurationVersion, TimePoint> m_published;
    std::deque<SimulatedHost> m_hosts;
    std::map<Endpoint, std::size_t> m_indices;
    std::map<std::string, std::string, std::less<>> m_dataCentres;
    std::vector<std::unique_ptr<SimulatedDaemon>> m_daemons;
    /// Killed processes, which pending messages may refer to.
    std::vector<std::unique_ptr<SimulatedDaemon>> m_ended;
};

} // namespace Coltsfootwell::Testing
