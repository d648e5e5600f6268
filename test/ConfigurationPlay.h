// Plays a random sequence of faults and of operators' changes against simulated daemons, and checks
// the users' bounds for daemons in touch.
#pragma once

#include "ConfigurationSimulation.h"

#include <array>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

/// \brief Kind of fault in a play.
enum class PlayFault {
    /// The store comes back from an older copy.
    Drill,
    /// A daemon is suspended.
    Freeze,
    /// The daemons are killed and restarted one after the other.
    RestartInTurn,
    /// Several daemons are killed at once and restarted.
    HerdKill,
    /// A daemon, or the readers of a data centre, cannot reach the store.
    CutFromStore,
    /// A daemon cannot reach the other daemons.
    CutFromPeers,
    /// The store answers nobody.
    StoreDark,
    /// The store rejects some daemons.
    RejectSome,
    Count,
};

/// \brief One play with 14 daemons in four data centres.
class ConfigurationPlay
{
public:
    /// The users' bounds contactS, evacuateS and maxStretchS.
    static constexpr std::chrono::seconds ContactTime {4};
    static constexpr std::chrono::seconds EvacuationLimit {5};
    static constexpr std::chrono::seconds MaxStretch {5};
    static constexpr std::chrono::seconds PlayTime {45};
    /// Time without faults at the end.
    static constexpr std::chrono::seconds QuietTime {8};
    static constexpr milliseconds Step {50};

    /// \param faults kinds of faults that occur.
    ConfigurationPlay(std::uint64_t seed, std::vector<PlayFault> faults)
        : m_random(seed), m_faults(std::move(faults)), m_simulation(7, 7, seed)
    {
    }

    /// \brief Plays.
    /// \return one line for each broken bound.
    const std::vector<std::string> &run()
    {
        publishNext();
        m_simulation.start();
        m_calmSince.assign(m_simulation.size(), TimePoint {});
        m_holdsTruth.assign(m_simulation.size(), false);
        const TimePoint start = now();
        schedule(milliseconds(500), [this] { operatorStep(); });
        if (!m_faults.empty()) {
            schedule(milliseconds(500), [this] { faultStep(); });
        }
        m_faultEnd = start + PlayTime - QuietTime;
        while (now() < start + PlayTime) {
            m_simulation.run(Step);
            check();
        }
        checkEnd();
        return m_violations;
    }

    /// \return highest lateness of a version at a daemon that was calm, while the store was stable
    /// or not.
    Duration maxLateness(bool stable) const { return m_maxLateness[stable ? 1 : 0]; }

    /// \return where and when maxLateness() was seen.
    const std::string &latest(bool stable) const { return m_latest[stable ? 1 : 0]; }

    /// \return highest number of calls of one daemon to the store in a second.
    std::size_t maxDaemonCallsPerSecond() const
    {
        std::size_t max = 0;
        for (std::size_t i = 0; i < m_simulation.size(); ++i) {
            max = std::max(max,
                           m_simulation.store.maxCallsPerSecond(
                               {}, now(), m_simulation.daemon(i).host().name));
        }
        return max;
    }

    const ConfigurationSimulation &simulation() const { return m_simulation; }

    /// \return the faults and changes in the order of their time.
    const std::vector<std::string> &story() const { return m_story; }

private:
    /// A change that the store has acknowledged.
    struct Acknowledged
    {
        TimePoint at;
        bool isLost = false;
    };

    TimePoint now() const { return m_simulation.executor.now(); }

    milliseconds between(std::int64_t low, std::int64_t high)
    {
        return milliseconds(low + static_cast<std::int64_t>(m_random.below(high - low)));
    }

    std::size_t anyDaemon() { return m_random.below(m_simulation.size()); }

    void schedule(Duration delay, std::function<void()> task)
    {
        m_simulation.executor.scheduleAfter(delay, std::move(task));
    }

    void tell(const std::string &text) { m_story.push_back(timeText(now()) + " " + text); }

    static std::string timeText(TimePoint at)
    {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
    }

    // The operator.

    void publishNext()
    {
        m_version += 1 + m_random.below(3);
        m_truth["config"] = publishedConfigurationJson(m_version, FewRoutes);
        m_simulation.publish(m_version, FewRoutes);
        m_acknowledged[m_version] = {now(), false};
        tell("publishes " + std::to_string(m_version));
    }

    void operatorStep()
    {
        if (now() >= m_faultEnd) {
            return;
        }
        Duration pause = between(300, 4'000);
        if (m_simulation.store.mode == StoreMode::Serving) {
            const std::uint64_t choice = m_random.below(10);
            if (choice < 2) {
                toggleDataCentre();
            } else {
                publishNext();
                pause = choice < 5 ? Duration(between(50, 300)) : pause;
            }
        }
        schedule(pause, [this] { operatorStep(); });
    }

    void toggleDataCentre()
    {
        static constexpr std::array<const char *, 4> Names {"near-a", "near-b", "far-a", "far-b"};
        if (now() - m_lastToggle < EvacuationLimit) {
            return;
        }
        m_lastToggle = now();
        const std::string name = Names[m_random.below(Names.size())];
        const bool isOut = m_out.insert(name).second;
        if (!isOut) {
            m_out.erase(name);
        }
        m_truth["evacuate/" + name] = isOut ? std::optional<std::string>("{}") : std::nullopt;
        m_simulation.setOutOfService(name, isOut);
        m_outAcknowledged = {now(), false};
        m_holdsTruth.assign(m_simulation.size(), false);
        tell((isOut ? "takes out " : "takes back ") + name);
    }

    /// Writes the records again that the store lacks.
    void rewrite()
    {
        if (m_simulation.store.mode != StoreMode::Serving) {
            schedule(milliseconds(200), [this] { rewrite(); });
            return;
        }
        const auto stored = m_simulation.store.newest();
        std::vector<StoreRecord> lost;
        for (const auto &[key, value] : m_truth) {
            const auto it = std::ranges::find(stored, key, &StoreRecord::key);
            const std::optional<std::string> storedValue
                = it == stored.end() ? std::nullopt : it->value;
            if (storedValue != value) {
                lost.push_back({key, value, 0});
            }
        }
        m_simulation.rewrite(lost);
        for (auto &[version, acknowledged] : m_acknowledged) {
            if (acknowledged.isLost) {
                acknowledged = {now(), false};
            }
        }
        if (m_outAcknowledged.isLost) {
            m_outAcknowledged = {now(), false};
        }
        tell("rewrites " + std::to_string(lost.size()));
    }

    // Faults.

    void faultStep()
    {
        if (now() >= m_faultEnd) {
            return;
        }
        start(m_faults[m_random.below(m_faults.size())]);
        schedule(between(500, 8'000), [this] { faultStep(); });
    }

    void start(PlayFault fault)
    {
        switch (fault) {
        case PlayFault::Drill:
            drill();
            break;
        case PlayFault::Freeze:
            freeze(anyDaemon(), between(300, 4'000));
            break;
        case PlayFault::RestartInTurn:
            for (std::size_t i = 0; i < m_simulation.size(); ++i) {
                schedule(milliseconds(700 * i), [this, i] {
                    if (now() < m_faultEnd) {
                        restart(i, between(100, 600));
                    }
                });
            }
            break;
        case PlayFault::HerdKill:
            herdKill();
            break;
        case PlayFault::CutFromStore:
            cutFromStore();
            break;
        case PlayFault::CutFromPeers:
            cutFromPeers(anyDaemon(), between(500, 4'000));
            break;
        case PlayFault::StoreDark:
            storeDark(between(300, 3'000));
            break;
        case PlayFault::RejectSome:
            rejectSome(between(1'000, 6'000));
            break;
        case PlayFault::Count:
            break;
        }
    }

    bool isStoreFree() const { return m_storeDisruptions == 0; }

    void beginStoreDisruption(bool isDark)
    {
        ++m_storeDisruptions;
        m_darkDisruptions += isDark ? 1 : 0;
    }

    void endStoreDisruption(bool isDark)
    {
        --m_storeDisruptions;
        m_storeStableSince = now();
        if (isDark) {
            --m_darkDisruptions;
            m_storeServingSince = now();
        }
    }

    StoreMode anyOutage()
    {
        return m_random.below(2) == 0 ? StoreMode::Silent : StoreMode::Rejecting;
    }

    void drill()
    {
        if (m_darkDisruptions > 0) {
            return;
        }
        m_simulation.store.takeCopy();
        const StoreMode mode = anyOutage();
        const Duration away = m_random.below(4) == 0 ? Duration() : Duration(between(50, 2'000));
        const Duration age = between(0, 3'000);
        beginStoreDisruption(true);
        // The copy is taken before the disruption; until then the store works as usual.
        schedule(age, [this, mode, away] {
            tell("drill, away ms " + std::to_string(away / milliseconds(1)));
            if (away > Duration()) {
                m_simulation.setStoreMode(mode);
            }
            schedule(away, [this] { endDrill(); });
        });
    }

    void endDrill()
    {
        m_simulation.restoreCopy({}, StoreMode::Serving);
        const auto stored = m_simulation.store.newest();
        const auto config = std::ranges::find(stored, "config", &StoreRecord::key);
        for (auto &[version, acknowledged] : m_acknowledged) {
            acknowledged.isLost = acknowledged.isLost || config == stored.end()
                || version > versionOf(*config->value);
        }
        m_outAcknowledged.isLost = true;
        endStoreDisruption(true);
        tell("store is back, records " + std::to_string(m_simulation.store.records().size()));
        schedule(between(0, 1'500), [this] { rewrite(); });
    }

    static ConfigurationVersion versionOf(const std::string &text)
    {
        constexpr std::string_view Prefix = R"({"version":")";
        return std::stoull(text.substr(Prefix.size(), 8), nullptr, 16);
    }

    void freeze(std::size_t index, Duration time)
    {
        ProcessExecutor &process = m_simulation.daemon(index).executor();
        if (process.isFrozen() || process.isKilled()) {
            return;
        }
        tell("freezes " + m_simulation.daemon(index).host().name + ", ms "
             + std::to_string(time / milliseconds(1)));
        process.freeze();
        disturb(index);
        schedule(time, [this, index, &process] {
            process.resume();
            calm(index);
        });
    }

    void restart(std::size_t index, Duration down)
    {
        SimulatedDaemon &daemon = m_simulation.daemon(index);
        if (daemon.executor().isKilled()) {
            return;
        }
        tell("kills " + daemon.host().name);
        m_simulation.kill(index);
        disturb(index);
        schedule(down, [this, index] {
            m_simulation.restart(index);
            m_holdsTruth[index] = false;
            calm(index);
        });
    }

    void herdKill()
    {
        const std::uint64_t choice = m_random.below(4);
        const Duration down = between(100, 1'000);
        for (std::size_t i = 0; i < m_simulation.size(); ++i) {
            const bool isConcerned = choice == 0 ? i % 2 == 0
                : choice == 1                    ? m_simulation.daemon(i).host().isFar
                : choice == 2 ? ConfigurationSimulation::isReader(m_simulation.daemon(i))
                              : i > 0;
            if (isConcerned) {
                restart(i, down);
            }
        }
    }

    void cutFromStore()
    {
        std::vector<std::size_t> targets {anyDaemon()};
        if (m_random.below(2) == 0) {
            targets = m_simulation.readers(m_simulation.daemon(targets.front()).host().dataCentre);
        }
        const Duration time = between(500, 6'000);
        for (const std::size_t index : targets) {
            if (m_simulation.daemon(index).host().isCutFromStore) {
                continue;
            }
            tell("cuts from store " + m_simulation.daemon(index).host().name + ", ms "
                 + std::to_string(time / milliseconds(1)));
            ConfigurationSimulation::setCutFromStore(m_simulation.daemon(index), true);
            disturb(index);
            schedule(time, [this, index] {
                m_simulation.daemon(index).host().isCutFromStore = false;
                calm(index);
            });
        }
    }

    void cutFromPeers(std::size_t index, Duration time)
    {
        SimulatedHost &host = m_simulation.daemon(index).host();
        if (host.isCutFromPeers) {
            return;
        }
        tell("cuts from peers " + host.name + ", ms " + std::to_string(time / milliseconds(1)));
        host.isCutFromPeers = true;
        disturb(index);
        schedule(time, [this, index, &host] {
            host.isCutFromPeers = false;
            calm(index);
        });
    }

    void storeDark(Duration time)
    {
        if (!isStoreFree()) {
            return;
        }
        const StoreMode mode = anyOutage();
        tell("store dark, ms " + std::to_string(time / milliseconds(1))
             + (mode == StoreMode::Silent ? " silent" : " rejecting"));
        beginStoreDisruption(true);
        m_simulation.setStoreMode(mode);
        schedule(time, [this] {
            m_simulation.setStoreMode(StoreMode::Serving);
            endStoreDisruption(true);
        });
    }

    /// \return true if a daemon reads the store as long as that serves all daemons.
    static bool isFirstCandidate(const SimulatedDaemon &daemon)
    {
        const auto candidates = storeReaderCandidates(daemon.host().dataCentre, daemon.members());
        return std::any_of(
            candidates.begin(),
            candidates.begin() + std::min(candidates.size(), ReadersPerDataCentre),
            [&daemon](const Member *member) { return member->id.name == daemon.host().name; });
    }

    void rejectSome(Duration time)
    {
        if (!isStoreFree()) {
            return;
        }
        const bool readersOnly = m_random.below(2) == 0;
        tell(std::string("store rejects ") + (readersOnly ? "readers" : "some") + ", ms "
             + std::to_string(time / milliseconds(1)));
        beginStoreDisruption(false);
        for (std::size_t i = 0; i < m_simulation.size(); ++i) {
            SimulatedDaemon &daemon = m_simulation.daemon(i);
            ConfigurationSimulation::setRejected(
                daemon, readersOnly ? isFirstCandidate(daemon) : m_random.below(2) == 0);
        }
        schedule(time, [this] {
            m_simulation.setRejectAll(false);
            endStoreDisruption(false);
        });
    }

    void disturb(std::size_t index) { ++m_disturbances[index]; }

    void calm(std::size_t index)
    {
        --m_disturbances[index];
        m_calmSince[index] = now();
    }

    // Checks.

    /// \return true if a daemon has run and has been connected for ContactTime.
    bool isCalm(std::size_t index) const
    {
        const auto it = m_disturbances.find(index);
        return (it == m_disturbances.end() || it->second == 0)
            && now() - m_calmSince[index] >= ContactTime;
    }

    void violated(std::size_t index, const std::string &text)
    {
        const std::string name = m_simulation.daemon(index).host().name;
        if (m_reported.insert(name + text).second) {
            m_violations.push_back(timeText(now()) + " " + name + " " + text);
        }
    }

    void check()
    {
        const bool isStable = isStoreFree() && now() - m_storeStableSince >= ContactTime;
        for (std::size_t i = 0; i < m_simulation.size(); ++i) {
            if (isCalm(i)) {
                checkVersion(i, isStable);
            }
            checkDataCentres(i, isStable);
        }
    }

    void checkVersion(std::size_t index, bool isStable)
    {
        const auto missing = std::ranges::find_if(m_acknowledged, [this, index](const auto &entry) {
            return entry.first > m_simulation.daemon(index).version() && !entry.second.isLost;
        });
        if (missing == m_acknowledged.end()) {
            return;
        }
        const auto &[version, acknowledged] = *missing;
        const Duration late = now() - acknowledged.at;
        Duration &max = m_maxLateness[isStable ? 1 : 0];
        const bool wasServed = m_darkDisruptions == 0 && m_storeServingSince <= acknowledged.at;
        if ((isStable || wasServed) && late > max) {
            max = late;
            m_latest[isStable ? 1 : 0] = m_simulation.daemon(index).host().name + " at "
                + timeText(now()) + ", version " + std::to_string(version);
        }
        if ((isStable && late > ApplyLimit) || (wasServed && late > ApplyLimit + MaxStretch)) {
            violated(index,
                     "lacks " + std::to_string(version) + " acknowledged at "
                         + timeText(acknowledged.at));
        }
    }

    void checkDataCentres(std::size_t index, bool isStable)
    {
        const SimulatedDaemon &daemon = m_simulation.daemon(index);
        const bool isEqual = daemon.outOfService() == m_out;
        if (isCalm(index) && !isEqual && m_holdsTruth[index]) {
            violated(index, "has reverted a data centre");
        }
        m_holdsTruth[index] = isEqual;
        if (isCalm(index) && isStable && !isEqual && !m_outAcknowledged.isLost
            && now() - m_outAcknowledged.at > EvacuationLimit) {
            violated(index, "differs in the data centres out of service");
        }
    }

    void checkEnd()
    {
        for (std::size_t i = 0; i < m_simulation.size(); ++i) {
            if (m_simulation.daemon(i).version() != m_version) {
                violated(i, "lacks the last version");
            }
            if (m_simulation.daemon(i).outOfService() != m_out) {
                violated(i, "differs in the data centres at the end");
            }
        }
        if (!m_simulation.neverRolledBack()) {
            m_violations.emplace_back("a version has gone back");
        }
    }

    SeededRandom m_random;
    std::vector<PlayFault> m_faults;
    ConfigurationSimulation m_simulation;
    TimePoint m_faultEnd {};
    /// Content of the store as operators want it.
    std::map<std::string, std::optional<std::string>> m_truth;
    std::set<std::string> m_out;
    ConfigurationVersion m_version = 0;
    std::map<ConfigurationVersion, Acknowledged> m_acknowledged;
    Acknowledged m_outAcknowledged;
    TimePoint m_lastToggle {};
    /// Number of current disruptions of the store, and of those in which it answers nobody.
    unsigned m_storeDisruptions = 0;
    unsigned m_darkDisruptions = 0;
    TimePoint m_storeStableSince {};
    TimePoint m_storeServingSince {};
    std::map<std::size_t, int> m_disturbances;
    std::vector<TimePoint> m_calmSince;
    /// Whether a daemon had the wanted data centres out of service at the last check.
    std::vector<bool> m_holdsTruth;
    std::array<Duration, 2> m_maxLateness {};
    std::array<std::string, 2> m_latest;
    std::set<std::string> m_reported;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_story;
};

} // namespace Coltsfootwell::Testing
