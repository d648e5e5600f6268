// Simulates daemons that read the configuration from one store, under a manual clock. Each daemon
// has the service "configuration" and the membership protocol. There are two regions with one link
// between them, and each host has a link of limited bandwidth.
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

/// Bandwidth of the link between the regions that is left for configurations: half of 60 Mbit/s;
/// calls use the other half.
constexpr double LinkBytesPerSecond = 3.75e6;
constexpr std::size_t FewRoutes = 10;
constexpr std::size_t ManyRoutes = 1'600;
/// Maximum time from the acknowledgement of a change until it is active at every daemon.
constexpr std::chrono::seconds PropagationLimit {3};

/// \brief A simulation of the daemons, the store and the links.
class ConfigurationSimulation
{
public:
    /// One-way latency within a region.
    static constexpr milliseconds NearLatency {1};
    /// One-way latency between the regions.
    static constexpr milliseconds FarLatency {30};
    /// Bandwidth of the link of a host: 10 Mbit/s.
    static constexpr double HostBytesPerSecond = 1.25e6;
    /// Timeout of a request to a peer in the service "links".
    static constexpr milliseconds RequestTimeout {800};

    /// \param near number of daemons in the region of the store, in two data centres.
    /// \param far number of daemons in the other region, in two data centres.
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

    /// \brief Publishes a configuration, which the store acknowledges immediately.
    void publish(ConfigurationVersion version, std::size_t routes)
    {
        m_records.push_back(
            {"config", publishedConfigurationJson(version, routes), m_records.size()});
        m_published[version] = executor.now();
        for (const auto &daemon : m_daemons) {
            daemon->store->answerPendingRead();
        }
    }

    /// \brief Advances the clock.
    void run(Duration time) { executor.advance(time); }

    /// \brief Drops all traffic from and to the store readers of a region. Their connections stay
    /// open.
    void disconnectReaders(std::string_view region)
    {
        for (const auto &daemon : m_daemons) {
            if (daemon->self.region == region
                && isStoreReader(daemon->self.id.name, daemon->membership->members())) {
                daemon->isDisconnected = true;
            }
        }
    }

    /// \brief Makes the store reject the current readers and serve all other daemons.
    void rejectReaders()
    {
        for (const auto &daemon : m_daemons) {
            reject(*daemon, isStoreReader(daemon->self.id.name, daemon->membership->members()));
        }
    }

    /// \brief Makes the store reject all daemons, or none.
    void setRejectAll(bool rejected)
    {
        for (const auto &daemon : m_daemons) {
            reject(*daemon, rejected);
        }
    }

    /// \brief Makes the store reject all reader candidates and serve all other daemons.
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

    /// \return number of daemons with a long poll pending at the store.
    std::size_t pendingReads() const
    {
        return std::ranges::count_if(
            m_daemons, [](const auto &daemon) { return daemon->store->hasPendingRead(); });
    }

    /// \return number of calls that the store has rejected.
    std::size_t rejectedCalls() const { return m_rejectedCalls; }

    /// \return maximum time from the acknowledgement of a version until it, or a later one, was
    /// active at a connected daemon; empty while a connected daemon still lacks it.
    std::optional<Duration> maxPropagationTime(ConfigurationVersion version) const
    {
        Duration maxTime {};
        for (const auto &daemon : m_daemons) {
            const auto at = daemon->appliedAt(version);
            if (daemon->isDisconnected) {
                continue;
            }
            if (!at) {
                return std::nullopt;
            }
            maxTime = std::max(maxTime, *at - m_published.at(version));
        }
        return maxTime;
    }

    /// \return true if a version, or a later one, was active at every connected daemon within
    /// PropagationLimit.
    bool isPropagatedInTime(ConfigurationVersion version) const
    {
        const auto maxTime = maxPropagationTime(version);
        return maxTime && *maxTime <= PropagationLimit;
    }

    /// \return true if no daemon has replaced a version by an older one.
    bool neverRolledBack() const
    {
        return std::ranges::all_of(m_daemons, [](const auto &daemon) {
            return std::ranges::is_sorted(daemon->applied, {}, &AppliedVersion::version);
        });
    }

    /// \return bytes of configurations sent over the link to the far region.
    std::uint64_t bytesToFar() const { return m_toFar.bytes(); }

    ManualExecutor executor;
    /// While true, the store answers no daemon.
    bool isStoreUnresponsive = false;

private:
    struct Daemon;

    /// A version and the time from which it was active.
    struct AppliedVersion
    {
        ConfigurationVersion version = 0;
        TimePoint at;
    };

    /// The store as one daemon reaches it.
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
            // A client cancels a large answer when its header arrives; one TCP window has been sent
            // by then.
            constexpr std::size_t WindowBytes = 64 * 1024;
            NewestRecords newest;
            newest.end = m_simulation.m_records.size();
            if (!m_simulation.m_records.empty()) {
                newest.records.push_back(m_simulation.m_records.back());
                // The value is encoded in base64.
                newest.transfer.bytes = m_simulation.m_records.back().value->size() / 3 * 4;
            }
            if (newest.transfer.bytes > maxBytes) {
                NewestRecords tooLarge;
                tooLarge.ec = ServiceError::AnswerTooLarge;
                answer(WindowBytes, [done, tooLarge] { done(tooLarge); });
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
                if (const auto done = std::exchange(m_pendingRead, nullptr)) {
                    RecordsRead read;
                    read.next = m_from;
                    answer(0, [done, read] { done(read); });
                }
            });
            answerPendingRead();
        }

        void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                    std::function<void(RecordAppended)>) override
        {
        }

        bool isReceiving() const override
        {
            const TimePoint now = m_simulation.executor.now();
            return now >= m_transferStart && now < m_transferEnd;
        }

        void cancelAll() override
        {
            m_pendingRead = nullptr;
            m_transferEnd = {};
            ++m_generation;
        }

        bool hasPendingRead() const { return m_pendingRead != nullptr; }

        /// Rejects the pending read.
        void rejectPendingRead()
        {
            if (const auto done = std::exchange(m_pendingRead, nullptr)) {
                m_simulation.executor.cancel(m_timer);
                reject(done);
            }
        }

        /// Answers the pending read if there are records.
        void answerPendingRead()
        {
            if (!m_pendingRead || m_from >= m_simulation.m_records.size()) {
                return;
            }
            m_simulation.executor.cancel(m_timer);
            RecordsRead read;
            constexpr std::size_t MaxReadBytes = 64 * 1024;
            read.end = m_simulation.m_records.size();
            read.next = m_from;
            while (read.next < read.end && read.transfer.bytes < MaxReadBytes) {
                read.records.push_back(m_simulation.m_records[read.next++]);
                read.transfer.bytes += read.records.back().value->size();
            }
            answer(read.transfer.bytes,
                   [done = std::exchange(m_pendingRead, nullptr), read] { done(read); });
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
            if (m_daemon.isDisconnected || m_simulation.isStoreUnresponsive) {
                return;
            }
            const TimePoint now = m_simulation.executor.now();
            TimePoint end = m_daemon.host.send(now, bytes);
            if (m_daemon.isFar) {
                end = std::max(end, m_simulation.m_toFar.send(now, bytes));
            }
            const std::chrono::duration<double> duration(static_cast<double>(bytes)
                                                         / HostBytesPerSecond);
            m_transferEnd = end + latency();
            m_transferStart = m_transferEnd - std::chrono::duration_cast<Duration>(duration);
            m_simulation.executor.scheduleAfter(
                m_transferEnd - now, [this, generation = m_generation, deliver] {
                    if (generation == m_generation && !m_daemon.isDisconnected) {
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
        TimePoint m_transferStart {};
        TimePoint m_transferEnd {};
        /// Incremented by cancelAll(); answers to calls of earlier generations are dropped.
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
            // The addresses of other daemons are read from the store shortly after the start.
            simulation.executor.scheduleAfter(milliseconds(200 + random.below(300)), [this] {
                std::vector<Endpoint> seeds;
                for (std::size_t i = 0; i < simulation.m_daemons.size(); ++i) {
                    seeds.push_back(endpointOf(i));
                }
                membership->seedsDiscovered(seeds);
            });
        }

        void tick()
        {
            applyOutputs(membership->tick(simulation.executor.now()));
            simulation.executor.scheduleAfter(Membership::TickInterval, [this] { tick(); });
        }

        void applyOutputs(Membership::Outputs outputs)
        {
            const std::vector<MembershipOutput> copy(outputs.begin(), outputs.end());
            for (const MembershipOutput &output : copy) {
                std::visit([this](const auto &body) { apply(body); }, output);
            }
            if (membersAddress && membership->revision() != publishedRevision) {
                publishedRevision = membership->revision();
                const auto members = membership->members();
                membersAddress->send(MembersChanged {
                    std::make_shared<const std::vector<Member>>(members.begin(), members.end())});
            }
        }

        void apply(const SendDatagram &out)
        {
            simulation.deliver(
                *this, out.to, [sender = self.endpoint, datagram = out.datagram](Daemon &to) {
                    to.applyOutputs(
                        to.membership->handle(datagram, sender, to.simulation.executor.now()));
                });
        }

        void apply(const StartSync &sync)
        {
            const SyncRequest request = membership->startSync(simulation.executor.now());
            simulation.deliver(*this, sync.peer, [requester = self.endpoint, request](Daemon &to) {
                SyncAnswer answer;
                to.applyOutputs(to.membership->handleSyncRequest(request, answer,
                                                                 to.simulation.executor.now()));
                to.simulation.deliver(to, requester, [answer](Daemon &requesting) {
                    requesting.applyOutputs(requesting.membership->handleSyncAnswer(
                        answer.records, requesting.simulation.executor.now(), answer.partial));
                });
            });
        }

        void apply(const ControlStateReported &report)
        {
            configuration.send(PeerStateReported {report.peer, report.endpoint, report.state});
        }

        void apply(const IncarnationConflict &) { }

        void handle(const MembershipMessage &message)
        {
            if (const auto *changed = std::get_if<ControlStateChanged>(&message)) {
                applyOutputs(
                    membership->setControlState(changed->state, simulation.executor.now()));
            } else if (const auto *access = std::get_if<StoreAccessChanged>(&message)) {
                applyOutputs(membership->setStoreLost(access->lost, simulation.executor.now()));
            } else if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
                membersAddress = subscribe->subscriber;
            }
        }

        void sendRequest(const SendPeerRequest &request)
        {
            // Keeps the reply alive until the timeout of "links".
            simulation.executor.scheduleAfter(RequestTimeout, [reply = request.reply] {});
            simulation.deliver(*this, request.endpoint, [this, request](Daemon &to) {
                PeerRequestReceived received;
                received.bytes = request.bytes;
                received.reply = Reply<std::string>(
                    simulation.executor,
                    [this, &to, reply = request.reply](const std::optional<std::string> &bytes) {
                        if (bytes) {
                            simulation.send(to, *this, *bytes, reply);
                        }
                    });
                to.exchange.send(std::move(received));
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
        bool isDisconnected = false;
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
                                             sendRequest(*request);
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
            daemon.store->rejectPendingRead();
        }
    }

    /// Delivers a message whose transfer time is negligible.
    void deliver(const Daemon &from, const Endpoint &to, std::function<void(Daemon &)> handler)
    {
        const auto it = std::ranges::find_if(
            m_daemons, [&to](const auto &daemon) { return daemon->self.endpoint == to; });
        if (it == m_daemons.end() || from.isDisconnected || (*it)->isDisconnected) {
            return;
        }
        Daemon &target = **it;
        executor.scheduleAfter(from.isFar == target.isFar ? NearLatency : FarLatency,
                               [&target, handler = std::move(handler)] {
                                   if (!target.isDisconnected) {
                                       handler(target);
                                   }
                               });
    }

    /// Delivers a large answer after its transfer time on the links.
    void send(Daemon &from, Daemon &to, const std::string &bytes, const Reply<std::string> &reply)
    {
        if (from.isDisconnected) {
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
                                   if (!to.isDisconnected) {
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
