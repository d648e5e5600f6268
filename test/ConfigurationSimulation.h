// Many daemons that follow one store under a manual clock: the service "configuration" and the
// membership protocol of each, two regions with one link between them, and a narrow link at each
// host.
#pragma once

#include "BandwidthLimitedLink.h"
#include "PublishedConfigurationJson.h"
#include "decisions/Membership.h"
#include "decisions/StoreReaders.h"
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"
#include "platform/PlatformConfiguration.h"
#include "services/CallMessages.h"
#include "services/ConfigurationFollower.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

using std::chrono::milliseconds;

/// Half of 60 Mbit/s; calls take the rest.
constexpr double LinkBytesPerSecond = 3.75e6;
constexpr std::size_t FewRoutes = 10;
constexpr std::size_t ManyRoutes = 1'600;
/// A confirmed change is in force everywhere within this time.
constexpr std::chrono::seconds PropagationLimit {3};

/// \brief The daemons, the store and the links.
class ConfigurationSimulation
{
public:
    static constexpr milliseconds NearLatency {1};
    static constexpr milliseconds FarLatency {30};
    /// A host's own link of 10 Mbit/s.
    static constexpr double HostBytesPerSecond = 1.25e6;
    /// "links" gives up a question after this time.
    static constexpr milliseconds RequestTimeout {800};

    /// \param near daemons in the region of the store, in two data centres.
    /// \param far daemons in the other region, in two data centres.
    ConfigurationSimulation(std::size_t near, std::size_t far)
        : m_toFar(LinkBytesPerSecond), m_toNear(LinkBytesPerSecond)
    {
        for (std::size_t i = 0; i < near + far; ++i) {
            const bool isFar = i >= near;
            const std::string region = isFar ? "far" : "near";
            m_daemons.push_back(std::make_unique<Daemon>(
                *this, i, region, region + (i % 2 == 0 ? "-a" : "-b"), isFar));
        }
    }

    /// \brief Starts all daemons, which learn of each other within a few seconds.
    void start()
    {
        startAll();
        run(std::chrono::seconds(8));
    }

    /// \brief Starts all daemons at the same moment.
    void startAll()
    {
        for (const auto &daemon : m_daemons) {
            daemon->start();
        }
    }

    /// \brief An operator publishes; the store has acknowledged at once.
    void publish(ConfigurationVersion version, std::size_t routes)
    {
        m_records.push_back(
            {"config", publishedConfigurationJson(version, routes), m_records.size()});
        m_published[version] = executor.now();
        for (const auto &daemon : m_daemons) {
            daemon->store->serveWaitingRead();
        }
    }

    void run(Duration time) { executor.advance(time); }

    /// \brief Nothing reaches or leaves the daemons of a region that read the store any more, and
    /// their connections stay open.
    void disconnectReaders(std::string_view region)
    {
        for (const auto &daemon : m_daemons) {
            if (daemon->self.region == region
                && isStoreReader(daemon->self.id.name, daemon->membership->members())) {
                daemon->isCut = true;
            }
        }
    }

    /// \brief The store turns the daemons away that read it now, and serves the others.
    void rejectReaders()
    {
        for (const auto &daemon : m_daemons) {
            reject(*daemon, isStoreReader(daemon->self.id.name, daemon->membership->members()));
        }
    }

    /// \brief The store turns everyone away, or nobody.
    void setRejectAll(bool rejected)
    {
        for (const auto &daemon : m_daemons) {
            reject(*daemon, rejected);
        }
    }

    /// \brief The store turns away all that may be readers, and serves the others.
    void rejectReaderCandidates()
    {
        for (const auto &daemon : m_daemons) {
            const auto candidates
                = storeReaderCandidates(daemon->self.dataCentre, daemon->membership->members());
            reject(*daemon, std::ranges::any_of(candidates, [&daemon](const Member *member) {
                return member->id.name == daemon->self.id.name;
            }));
        }
    }

    /// \return daemons whose read waits at the store.
    std::size_t pendingReads() const
    {
        return std::ranges::count_if(
            m_daemons, [](const auto &daemon) { return daemon->store->hasPendingRead(); });
    }

    /// \return calls that the store has turned away.
    std::size_t rejectedCalls() const { return m_rejectedCalls; }

    /// \return longest time from the acknowledgement of a version until it, or a later one, was in
    /// force at a daemon that is not cut; nothing while one of them still lacks it.
    std::optional<Duration> maxPropagationTime(ConfigurationVersion version) const
    {
        Duration slowest {};
        for (const auto &daemon : m_daemons) {
            const auto at = daemon->appliedAt(version);
            if (daemon->isCut) {
                continue;
            }
            if (!at) {
                return std::nullopt;
            }
            slowest = std::max(slowest, *at - m_published.at(version));
        }
        return slowest;
    }

    /// \return true when a version, or a later one, was in force at every daemon in time.
    bool isPropagatedInTime(ConfigurationVersion version) const
    {
        const auto slowest = maxPropagationTime(version);
        return slowest && *slowest <= PropagationLimit;
    }

    /// \return true when no daemon has gone back to an older version.
    bool neverRolledBack() const
    {
        return std::ranges::all_of(m_daemons, [](const auto &daemon) {
            return std::ranges::is_sorted(daemon->applied, {}, &AppliedVersion::version);
        });
    }

    /// \return bytes that configurations have taken on the link to the far region.
    std::uint64_t bytesToFar() const { return m_toFar.bytes(); }

    ManualExecutor executor;
    /// While true the store answers nobody.
    bool isStoreUnresponsive = false;

private:
    struct Daemon;

    /// A version in force from a time on.
    struct AppliedVersion
    {
        ConfigurationVersion version = 0;
        TimePoint at;
    };

    /// What one daemon sees of the store.
    class SimulatedStore final : public StoreClient
    {
    public:
        SimulatedStore(ConfigurationSimulation &simulation, Daemon &daemon)
            : m_simulation(simulation), m_daemon(daemon)
        {
        }

        void readNewest(std::string_view, std::string_view, std::size_t maxBytes,
                        std::function<void(NewestRecords)> done) override
        {
            if (reject(done)) {
                return;
            }
            // A long answer is given up when its header arrives, with a window's bytes under way.
            constexpr std::size_t WindowBytes = 64 * 1024;
            NewestRecords newest;
            newest.end = m_simulation.m_records.size();
            if (!m_simulation.m_records.empty()) {
                newest.records.push_back(m_simulation.m_records.back());
                // The value is in base64.
                newest.transfer.bytes = m_simulation.m_records.back().value->size() / 3 * 4;
            }
            if (newest.transfer.bytes > maxBytes) {
                NewestRecords tooLong;
                tooLong.ec = ServiceError::AnswerTooLong;
                answer(WindowBytes, [done, tooLong] { done(tooLong); });
                return;
            }
            answer(newest.transfer.bytes, [done, newest] { done(newest); });
        }

        void read(std::string_view, std::uint64_t from, milliseconds wait,
                  std::function<void(RecordsRead)> done) override
        {
            if (reject(done)) {
                return;
            }
            m_pendingRead = std::move(done);
            m_from = from;
            m_timer = m_simulation.executor.scheduleAfter(wait, [this] {
                if (const auto reader = std::exchange(m_pendingRead, nullptr)) {
                    RecordsRead read;
                    read.next = m_from;
                    answer(0, [reader, read] { reader(read); });
                }
            });
            serveWaitingRead();
        }

        void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                    std::function<void(RecordAppended)>) override
        {
        }

        bool isReceiving() const override
        {
            const TimePoint now = m_simulation.executor.now();
            return now >= m_arrivalBegin && now < m_arrivalEnd;
        }

        void cancelAll() override
        {
            m_pendingRead = nullptr;
            m_arrivalEnd = {};
            ++m_generation;
        }

        bool hasPendingRead() const { return m_pendingRead != nullptr; }

        /// Ends a read that waits for records.
        void failPendingRead()
        {
            if (const auto reader = std::exchange(m_pendingRead, nullptr)) {
                m_simulation.executor.cancel(m_timer);
                reject(reader);
            }
        }

        /// Answers a read that waits for records.
        void serveWaitingRead()
        {
            if (!m_pendingRead || m_from >= m_simulation.m_records.size()) {
                return;
            }
            m_simulation.executor.cancel(m_timer);
            RecordsRead read;
            constexpr std::size_t ReadBytes = 64 * 1024;
            read.end = m_simulation.m_records.size();
            read.next = m_from;
            while (read.next < read.end && read.transfer.bytes < ReadBytes) {
                read.records.push_back(m_simulation.m_records[read.next++]);
                read.transfer.bytes += read.records.back().value->size();
            }
            answer(read.transfer.bytes,
                   [reader = std::exchange(m_pendingRead, nullptr), read] { reader(read); });
        }

    private:
        template <typename Answer>
        bool reject(const std::function<void(Answer)> &done)
        {
            if (!m_daemon.isRejected) {
                return false;
            }
            Answer refusal;
            refusal.ec = ServiceError::StoreUnavailable;
            ++m_simulation.m_rejectedCalls;
            answer(0, [done, refusal] { done(refusal); });
            return true;
        }

        void answer(std::size_t bytes, std::function<void()> deliver)
        {
            if (m_daemon.isCut || m_simulation.isStoreUnresponsive) {
                return;
            }
            const TimePoint now = m_simulation.executor.now();
            TimePoint end = m_daemon.host.send(now, bytes);
            if (m_daemon.isFar) {
                end = std::max(end, m_simulation.m_toFar.send(now, bytes));
            }
            const std::chrono::duration<double> duration(static_cast<double>(bytes)
                                                         / HostBytesPerSecond);
            m_arrivalEnd = end + latency();
            m_arrivalBegin = m_arrivalEnd - std::chrono::duration_cast<Duration>(duration);
            m_simulation.executor.scheduleAfter(
                m_arrivalEnd - now, [this, generation = m_generation, deliver] {
                    if (generation == m_generation && !m_daemon.isCut) {
                        deliver();
                    }
                });
        }

        Duration latency() const { return m_daemon.isFar ? FarLatency : NearLatency; }

        ConfigurationSimulation &m_simulation;
        Daemon &m_daemon;
        std::function<void(RecordsRead)> m_pendingRead;
        std::uint64_t m_from = 0;
        TimerId m_timer = 0;
        TimePoint m_arrivalBegin {};
        TimePoint m_arrivalEnd {};
        /// Answers to calls of an earlier generation are dropped.
        unsigned m_generation = 0;
    };

    struct Daemon
    {
        Daemon(ConfigurationSimulation &owner, std::size_t index, const std::string &region,
               const std::string &dataCentre, bool far)
            : simulation(owner), isFar(far), random(index + 1), kernel(owner.executor, random),
              store(std::make_shared<SimulatedStore>(owner, *this))
        {
            self.id = {"daemon-" + std::to_string(index), 1};
            self.endpoint = endpointOf(index);
            self.region = region;
            self.dataCentre = dataCentre;
            membership = std::make_unique<Membership>(self, std::vector<Endpoint> {}, random);
            kernel.directory().publish(ServiceName::Telemetry, telemetry.address());
            kernel.directory().publish(ServiceName::Membership, membershipMailbox.address());
            kernel.directory().publish(ServiceName::Links, links.address());
            kernel.add(makeConfigurationFollower(kernel, store, settings()));
        }

        static Endpoint endpointOf(std::size_t index)
        {
            return {"10.0.0." + std::to_string(index + 1), 7000};
        }

        ConfigurationFollowerSettings settings() const
        {
            return {&platformControlFormat(), {}, "", nullptr, self.id.name};
        }

        void start()
        {
            std::error_code ec = kernel.start();
            configuration
                = kernel.directory().find<ConfigurationMessage>(ServiceName::Configuration, ec);
            exchange = kernel.directory().find<PeerRequestReceived>(
                ServiceName::exchange(ExchangeSubject::ControlState), ec);
            configuration.send(SubscribeConfiguration {subscriber.address()});
            tick();
            // Addresses are read from the store soon after the start.
            simulation.executor.scheduleAfter(milliseconds(200 + random.below(300)), [this] {
                std::vector<Endpoint> seeds;
                for (std::size_t i = 0; i < simulation.m_daemons.size(); ++i) {
                    seeds.push_back(endpointOf(i));
                }
                membership->addSeeds(seeds);
            });
        }

        void tick()
        {
            perform(membership->tick(simulation.executor.now()));
            simulation.executor.scheduleAfter(Membership::TickPeriod, [this] { tick(); });
        }

        void perform(Membership::Outputs outputs)
        {
            const std::vector<MembershipOutput> copy(outputs.begin(), outputs.end());
            for (const MembershipOutput &output : copy) {
                std::visit([this](const auto &body) { carryOut(body); }, output);
            }
            if (membersAddress && membership->revision() != publishedRevision) {
                publishedRevision = membership->revision();
                const auto members = membership->members();
                membersAddress->send(MembersChanged {
                    std::make_shared<const std::vector<Member>>(members.begin(), members.end())});
            }
        }

        void carryOut(const SendDatagram &out)
        {
            simulation.pass(*this, out.to,
                            [sender = self.endpoint, datagram = out.datagram](Daemon &to) {
                                to.perform(to.membership->handle(datagram, sender,
                                                                 to.simulation.executor.now()));
                            });
        }

        void carryOut(const StartSync &wanted)
        {
            const SyncRequest request = membership->startSync(simulation.executor.now());
            simulation.pass(*this, wanted.peer, [asker = self.endpoint, request](Daemon &to) {
                SyncAnswer answer;
                to.perform(to.membership->handleSyncRequest(request, answer,
                                                            to.simulation.executor.now()));
                to.simulation.pass(to, asker, [answer](Daemon &back) {
                    back.perform(back.membership->handleSyncAnswer(
                        answer.records, back.simulation.executor.now(), answer.partial));
                });
            });
        }

        void carryOut(const PeerReported &report)
        {
            configuration.send(
                PeerPositionReported {report.peer, report.endpoint, report.position});
        }

        void carryOut(const IncarnationConflict &) { }

        void handle(const MembershipMessage &message)
        {
            if (const auto *known = std::get_if<ConfigurationPositionChanged>(&message)) {
                perform(membership->advancePosition(known->position, simulation.executor.now()));
            } else if (const auto *access = std::get_if<StoreAccessChanged>(&message)) {
                perform(membership->setStoreLost(access->lost, simulation.executor.now()));
            } else if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
                membersAddress = subscribe->subscriber;
            }
        }

        void ask(const SendPeerRequest &request)
        {
            // The reply is held until "links" would give the question up.
            simulation.executor.scheduleAfter(RequestTimeout, [reply = request.reply] {});
            simulation.pass(*this, request.endpoint, [this, request](Daemon &to) {
                PeerRequestReceived asks;
                asks.bytes = request.bytes;
                asks.reply = Reply<std::string>(
                    simulation.executor,
                    [this, &to, reply = request.reply](const std::optional<std::string> &bytes) {
                        if (bytes) {
                            simulation.send(to, *this, *bytes, reply);
                        }
                    });
                to.exchange.send(std::move(asks));
            });
        }

        std::optional<TimePoint> appliedAt(ConfigurationVersion version) const
        {
            const auto it = std::ranges::find_if(applied, [version](const AppliedVersion &entry) {
                return entry.version >= version;
            });
            return it == applied.end() ? std::nullopt : std::optional(it->at);
        }

        ConfigurationSimulation &simulation;
        bool isFar;
        bool isCut = false;
        bool isRejected = false;
        BandwidthLimitedLink host {HostBytesPerSecond};
        SeededRandom random;
        Kernel kernel;
        std::shared_ptr<SimulatedStore> store;
        Member self;
        std::unique_ptr<Membership> membership;
        std::uint64_t publishedRevision = 0;
        std::vector<AppliedVersion> applied;
        Address<ConfigurationMessage> configuration;
        Address<PeerRequestReceived> exchange;
        std::optional<Address<MembersChanged>> membersAddress;
        Mailbox<TelemetryMessage> telemetry {simulation.executor, [](const TelemetryMessage &) {}};
        Mailbox<MembershipMessage> membershipMailbox {
            simulation.executor, [this](const MembershipMessage &message) { handle(message); }};
        Mailbox<LinksMessage> links {simulation.executor, [this](LinksMessage message) {
                                         if (const auto *request
                                             = std::get_if<SendPeerRequest>(&message)) {
                                             ask(*request);
                                         }
                                     }};
        Mailbox<ConfigurationChanged> subscriber {
            simulation.executor, [this](const ConfigurationChanged &changed) {
                if (changed.configuration) {
                    applied.push_back({changed.configuration->version, simulation.executor.now()});
                }
            }};
    };

    static void reject(Daemon &daemon, bool rejected)
    {
        daemon.isRejected = rejected;
        if (rejected) {
            daemon.store->failPendingRead();
        }
    }

    /// Delivers a small message.
    void pass(const Daemon &from, const Endpoint &to, std::function<void(Daemon &)> deliver)
    {
        const auto it = std::ranges::find_if(
            m_daemons, [&to](const auto &daemon) { return daemon->self.endpoint == to; });
        if (it == m_daemons.end() || from.isCut || (*it)->isCut) {
            return;
        }
        Daemon &target = **it;
        executor.scheduleAfter(from.isFar == target.isFar ? NearLatency : FarLatency,
                               [&target, deliver = std::move(deliver)] {
                                   if (!target.isCut) {
                                       deliver(target);
                                   }
                               });
    }

    /// Delivers a long answer, which takes its time on the links.
    void send(Daemon &from, Daemon &to, const std::string &bytes, const Reply<std::string> &reply)
    {
        if (from.isCut) {
            return;
        }
        const TimePoint now = executor.now();
        TimePoint end
            = std::max(from.host.send(now, bytes.size()), to.host.send(now, bytes.size()));
        if (from.isFar != to.isFar) {
            end = std::max(end, (to.isFar ? m_toFar : m_toNear).send(now, bytes.size()));
        }
        executor.scheduleAfter(end - now + (from.isFar == to.isFar ? NearLatency : FarLatency),
                               [&to, reply, bytes] {
                                   if (!to.isCut) {
                                       reply(bytes);
                                   }
                               });
    }

    BandwidthLimitedLink m_toFar;
    BandwidthLimitedLink m_toNear;
    std::size_t m_rejectedCalls = 0;
    std::vector<StoreRecord> m_records;
    std::map<ConfigurationVersion, TimePoint> m_published;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace Coltsfootwell::Testing
