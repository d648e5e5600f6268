// Simulates one process of a daemon, with the service "configuration" and the membership protocol.
#pragma once

#include "SimulatedStoreClient.h"
#include "decisions/Membership.h"
#include "kernel/Kernel.h"
#include "platform/PlatformConfiguration.h"
#include "services/CallMessages.h"
#include "services/ConfigurationFollower.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

class SimulatedDaemon;

/// \brief The connections between daemons.
class DaemonNetwork
{
public:
    using Handler = std::function<void(SimulatedDaemon &)>;

    virtual ~DaemonNetwork() = default;

    /// \brief Delivers a message whose transfer time is negligible.
    /// \param handler called with the process that runs at the endpoint.
    virtual void deliver(const SimulatedHost &from, const Endpoint &to, Handler handler) = 0;

    /// \brief Delivers a large answer after its transfer time on the links.
    virtual void deliverBytes(SimulatedHost &from, const Endpoint &to, std::size_t bytes,
                              Handler handler)
        = 0;

    /// \return true if a process runs at the endpoint, frozen or not.
    virtual bool isListening(const Endpoint &endpoint) const = 0;

    /// \return endpoints of all hosts.
    virtual std::vector<Endpoint> seeds() const = 0;
};

/// \brief A version and the time from which it was active.
struct AppliedVersion
{
    ConfigurationVersion version = 0;
    TimePoint at;
};

/// \brief One process of a daemon.
class SimulatedDaemon
{
public:
    /// Timeout of a request to a peer in the service "links".
    static constexpr milliseconds RequestTimeout {800};

    /// \param dataCentres region of each data centre.
    SimulatedDaemon(DaemonNetwork &network, SimulatedHost &host, ProcessExecutor &executor,
                    std::shared_ptr<SimulatedStoreClient> store,
                    std::map<std::string, std::string, std::less<>> dataCentres,
                    Incarnation incarnation, std::uint64_t seed)
        : m_network(network), m_host(host), m_executor(executor), m_random(seed),
          m_kernel(executor, m_random), m_store(std::move(store))
    {
        Member self;
        self.id = {host.name, incarnation};
        self.endpoint = host.endpoint;
        self.region = host.region;
        self.dataCentre = host.dataCentre;
        m_membership = std::make_unique<Membership>(self, std::vector<Endpoint> {}, m_random);
        m_kernel.directory().publish(ServiceName::Telemetry, m_telemetry.address());
        m_kernel.directory().publish(ServiceName::Membership, m_membershipMailbox.address());
        m_kernel.directory().publish(ServiceName::Links, m_links.address());
        m_kernel.add(makeConfigurationFollower(
            m_kernel, m_store,
            {&platformControlFormat(), std::move(dataCentres), "", nullptr, host.name}));
    }

    void start()
    {
        std::error_code ec = m_kernel.start();
        m_configuration
            = m_kernel.directory().find<ConfigurationMessage>(ServiceName::Configuration, ec);
        m_exchange = m_kernel.directory().find<PeerRequestReceived>(
            ServiceName::exchange(ExchangeSubject::ControlState), ec);
        m_configuration.send(SubscribeConfiguration {m_subscriber.address()});
        tick();
        // The addresses of other daemons are read from the store shortly after the start.
        m_executor.scheduleAfter(milliseconds(200 + m_random.below(300)), [this] {
            const std::vector<Endpoint> seeds = m_network.seeds();
            m_membership->seedsDiscovered(seeds);
        });
    }

    SimulatedHost &host() { return m_host; }
    const SimulatedHost &host() const { return m_host; }
    ProcessExecutor &executor() { return m_executor; }
    const ProcessExecutor &executor() const { return m_executor; }
    SimulatedStoreClient &store() { return *m_store; }
    const SimulatedStoreClient &store() const { return *m_store; }
    std::span<const Member> members() const { return m_membership->members(); }
    Incarnation incarnation() const { return m_membership->members().front().id.incarnation; }

    /// \return versions in the order of their activation.
    const std::vector<AppliedVersion> &applied() const { return m_applied; }

    /// \return version of the active configuration; 0 if there is none.
    ConfigurationVersion version() const
    {
        return m_applied.empty() ? 0 : m_applied.back().version;
    }

    /// \return names of the data centres that are out of service.
    const std::set<std::string> &outOfService() const { return m_outOfService; }

    /// \return log lines, without those that announce a new version.
    const std::vector<std::string> &log() const { return m_log; }

    /// \return when a version, or a later one, became active.
    std::optional<TimePoint> appliedAt(ConfigurationVersion version) const
    {
        const auto it = std::ranges::find_if(
            m_applied, [version](const AppliedVersion &entry) { return entry.version >= version; });
        return it == m_applied.end() ? std::nullopt : std::optional(it->at);
    }

private:
    void tick()
    {
        applyOutputs(m_membership->tick(m_executor.now()));
        m_executor.scheduleAfter(Membership::TickInterval, [this] { tick(); });
    }

    void applyOutputs(Membership::Outputs outputs)
    {
        const std::vector<MembershipOutput> copy(outputs.begin(), outputs.end());
        for (const MembershipOutput &output : copy) {
            std::visit([this](const auto &body) { apply(body); }, output);
        }
        if (m_membersAddress && m_membership->revision() != m_publishedRevision) {
            m_publishedRevision = m_membership->revision();
            const auto members = m_membership->members();
            m_membersAddress->send(MembersChanged {
                std::make_shared<const std::vector<Member>>(members.begin(), members.end())});
        }
    }

    void apply(const SendDatagram &out)
    {
        m_network.deliver(m_host, out.to,
                          [sender = m_host.endpoint, datagram = out.datagram](SimulatedDaemon &to) {
                              to.applyOutputs(
                                  to.m_membership->handle(datagram, sender, to.m_executor.now()));
                          });
    }

    void apply(const StartSync &sync)
    {
        const SyncRequest request = m_membership->startSync(m_executor.now());
        m_network.deliver(
            m_host, sync.peer, [requester = m_host.endpoint, request](SimulatedDaemon &to) {
                SyncAnswer answer;
                to.applyOutputs(
                    to.m_membership->handleSyncRequest(request, answer, to.m_executor.now()));
                to.m_network.deliver(to.m_host, requester, [answer](SimulatedDaemon &requesting) {
                    requesting.applyOutputs(requesting.m_membership->handleSyncAnswer(
                        answer.records, requesting.m_executor.now(), answer.partial));
                });
            });
    }

    void apply(const ControlStateReported &report)
    {
        m_configuration.send(PeerStateReported {report.peer, report.endpoint, report.state});
    }

    void apply(const IncarnationConflict &) { }

    void handle(const MembershipMessage &message)
    {
        if (const auto *changed = std::get_if<ControlStateChanged>(&message)) {
            applyOutputs(m_membership->setControlState(changed->state, m_executor.now()));
        } else if (const auto *access = std::get_if<StoreAccessChanged>(&message)) {
            applyOutputs(m_membership->setStoreLost(access->lost, m_executor.now()));
        } else if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
            m_membersAddress = subscribe->subscriber;
        }
    }

    void sendRequest(const SendPeerRequest &request)
    {
        if (m_network.isListening(request.endpoint)) {
            // Keeps the reply alive until the timeout of "links".
            m_executor.scheduleAfter(RequestTimeout, [reply = request.reply] {});
        }
        m_network.deliver(m_host, request.endpoint, [this, request](SimulatedDaemon &to) {
            PeerRequestReceived received;
            received.bytes = request.bytes;
            received.reply = Reply<std::string>(
                to.m_executor,
                [this, &to, reply = request.reply](const std::optional<std::string> &bytes) {
                    if (bytes) {
                        to.m_network.deliverBytes(
                            to.m_host, m_host.endpoint, bytes->size(),
                            [this, reply, bytes](const SimulatedDaemon &requesting) {
                                if (&requesting == this) {
                                    reply(*bytes);
                                }
                            });
                    }
                });
            to.m_exchange.send(std::move(received));
        });
    }

    void handle(const TelemetryMessage &message)
    {
        if (const auto *event = std::get_if<LogEvent>(&message)) {
            const auto ms
                = std::chrono::duration_cast<milliseconds>(m_executor.now().time_since_epoch());
            m_log.push_back(std::to_string(ms.count()) + " " + m_host.name + " "
                            + std::string(event->event) + " " + event->fields);
        }
    }

    void handle(const ConfigurationChanged &changed)
    {
        if (!changed.configuration) {
            return;
        }
        m_applied.push_back({changed.configuration->version, m_executor.now()});
        m_outOfService.clear();
        for (const auto &[name, rules] : changed.configuration->dataCentres) {
            if (!rules.inService) {
                m_outOfService.insert(name);
            }
        }
    }

    DaemonNetwork &m_network;
    SimulatedHost &m_host;
    ProcessExecutor &m_executor;
    SeededRandom m_random;
    Kernel m_kernel;
    std::shared_ptr<SimulatedStoreClient> m_store;
    std::unique_ptr<Membership> m_membership;
    std::uint64_t m_publishedRevision = 0;
    std::vector<AppliedVersion> m_applied;
    std::set<std::string> m_outOfService;
    std::vector<std::string> m_log;
    Address<ConfigurationMessage> m_configuration;
    Address<PeerRequestReceived> m_exchange;
    std::optional<Address<MembersChanged>> m_membersAddress;
    Mailbox<TelemetryMessage> m_telemetry {
        m_executor, [this](const TelemetryMessage &message) { handle(message); }};
    Mailbox<MembershipMessage> m_membershipMailbox {
        m_executor, [this](const MembershipMessage &message) { handle(message); }};
    Mailbox<LinksMessage> m_links {m_executor, [this](const LinksMessage &message) {
                                       if (const auto *request
                                           = std::get_if<SendPeerRequest>(&message)) {
                                           sendRequest(*request);
                                       }
                                   }};
    Mailbox<ConfigurationChanged> m_subscriber {
        m_executor, [this](const ConfigurationChanged &changed) { handle(changed); }};
};

} // namespace Coltsfootwell::Testing
