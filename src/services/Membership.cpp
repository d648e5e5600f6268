#include "services/Membership.h"

#include "services/CallMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/MembershipCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

/// Minimum interval between notifications of subscribers, in which changes are batched. Each
/// notification copies the member list, which is expensive with 1,000 members.
constexpr std::chrono::milliseconds MinPublishInterval {20};
constexpr std::chrono::seconds MetricsInterval {1};
/// Size of the IPv4 and UDP headers of a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;

/// \brief Label value of a metric and the counter that it reports.
struct EventCounter
{
    std::string_view kind;
    std::uint64_t MembershipCounts::*counter;
};

constexpr std::array<EventCounter, 6> EventCounters {{
    {"pings", &MembershipCounts::pings},
    {"acks", &MembershipCounts::acks},
    {"suspicions", &MembershipCounts::suspicions},
    {"unreachable", &MembershipCounts::unreachable},
    {"refutations", &MembershipCounts::refutations},
    {"syncs", &MembershipCounts::syncs},
}};

/// Label value of a metric and the state of the members that it counts.
struct StateLabel
{
    std::string_view kind;
    MemberState state;
};

constexpr std::array<StateLabel, 4> StateLabels {{
    {"alive", MemberState::Alive},
    {"suspect", MemberState::Suspect},
    {"unreachable", MemberState::Unreachable},
    {"left", MemberState::Left},
}};

class MembershipService final : public Service
{
public:
    MembershipService(Kernel &kernel, asio::io_context &context, MembershipSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_membership(m_settings.self, m_settings.seeds, kernel.random()), m_socket(context),
          m_mailbox(kernel.executor(),
                    [this](MembershipMessage &&message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                        schedulePublishIfChanged();
                    }),
          m_syncMailbox(kernel.executor(),
                        [this](const PeerRequestReceived &message) { handleSyncRequest(message); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::exchange(ExchangeSubject::MemberSync),
                                   m_syncMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Membership; }

    std::error_code start() override
    {
        std::error_code lookupError;
        const Directory &directory = m_kernel.directory();
        m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, lookupError);
        if (!lookupError) {
            m_configuration
                = directory.find<ConfigurationMessage>(ServiceName::Configuration, lookupError);
        }
        if (!lookupError) {
            m_links = directory.find<LinksMessage>(ServiceName::Links, lookupError);
        }
        if (lookupError) {
            return ServiceError::MissingService;
        }
        if (!isEncodable(m_settings.self)) {
            return ServiceError::BadIdentity;
        }
        if (const std::error_code ec = openSocket()) {
            return ec;
        }
        receive();
        tick();
        reportMetrics();
        return {};
    }

    void stop(Task done) override
    {
        for (const TimerId timer : {m_tickTimer, m_publishTimer, m_metricsTimer}) {
            m_kernel.executor().cancel(timer);
        }
        executeOutputs(m_membership.announceLeft(now()));
        boost::system::error_code ec;
        m_socket.close(ec);
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    /// \return true if other daemons can decode the record. They drop every datagram that contains
    /// an invalid one.
    static bool isEncodable(const Member &self)
    {
        std::error_code ec;
        decodeDatagram(encodeDatagram({{self, {}, {}, false}, Ping {}, {}}), ec);
        return !ec;
    }

    std::error_code openSocket()
    {
        boost::system::error_code ec;
        const Endpoint &listen = m_settings.listen;
        const auto address = asio::ip::make_address(listen.address, ec);
        if (ec) {
            return ServiceError::BadAddress;
        }
        const udp::endpoint endpoint(address, listen.port);
        m_socket.open(endpoint.protocol(), ec);
        if (!ec) {
            m_socket.bind(endpoint, ec);
        }
        if (!ec) {
            m_socket.non_blocking(true, ec);
        }
        return ec ? make_error_code(ServiceError::AddressInUse) : std::error_code();
    }

    void handle(const SubscribeMembers &subscribe)
    {
        m_subscribers.push_back(subscribe.subscriber);
        subscribe.subscriber.send(MembersChanged {copyMembers()});
    }

    void handle(const BackendStateChanged &changed)
    {
        Member self = m_settings.self;
        self.service = changed.service;
        if (isEncodable(self)) {
            m_membership.setBackend(changed.service, changed.state, changed.slots);
        } else {
            m_telemetry.send(LogEvent {"membership.badService", "",
                                       "rule=the name of the service must have 1 to 64 bytes"});
        }
    }

    void handle(const SeedsDiscovered &seeds) { m_membership.seedsDiscovered(seeds.endpoints); }
    void handle(const ControlStateChanged &changed)
    {
        executeOutputs(m_membership.setControlState(changed.state, now()));
    }
    void handle(StoreAccessChanged changed)
    {
        executeOutputs(m_membership.setStoreLost(changed.lost, now()));
    }
    void handle(AnnounceLeaving) { m_membership.leave(); }

    void tick()
    {
        m_tickTimer
            = m_kernel.executor().scheduleAfter(Membership::TickInterval, [this] { tick(); });
        executeOutputs(m_membership.tick(now()));
    }

    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender, [this](boost::system::error_code ec, std::size_t n) {
                if (ec == asio::error::operation_aborted || !m_socket.is_open()) {
                    return;
                }
                try {
                    if (!ec) {
                        handleDatagram({m_buffer.data(), n});
                    }
                } catch (...) {
                    receive();
                    throw;
                }
                receive();
            });
    }

    void handleDatagram(std::string_view bytes)
    {
        m_bytesReceived += bytes.size() + DatagramHeaderBytes;
        std::error_code ec;
        const Datagram datagram = decodeDatagram(bytes, ec);
        if (ec) {
            ++m_malformedMessages;
            return;
        }
        const Endpoint sender {m_sender.address().to_string(), m_sender.port()};
        executeOutputs(m_membership.handle(datagram, sender, now()));
    }

    void executeOutputs(Membership::Outputs outputs)
    {
        for (const MembershipOutput &output : outputs) {
            std::visit([this](const auto &body) { execute(body); }, output);
        }
        schedulePublishIfChanged();
    }

    void execute(const SendDatagram &output)
    {
        boost::system::error_code ec;
        const udp::endpoint target(asio::ip::make_address(output.to.address, ec), output.to.port);
        if (ec) {
            return;
        }
        const std::string bytes = encodeDatagram(output.datagram);
        m_socket.send_to(asio::buffer(bytes), target, 0, ec);
        m_bytesSent += ec ? 0 : bytes.size() + DatagramHeaderBytes;
    }

    void execute(const ControlStateReported &report)
    {
        m_configuration.send(PeerStateReported {report.peer, report.endpoint, report.state});
    }

    void execute(const StartSync &sync)
    {
        if (m_syncInFlight) {
            return;
        }
        m_syncInFlight = true;
        SendPeerRequest message;
        message.endpoint = sync.peer;
        message.bytes = encodeSyncRequest(m_membership.startSync(now()));
        m_bytesSent += message.bytes.size();
        message.reply = Reply<std::string>(m_kernel.executor(),
                                           [this](const std::optional<std::string> &answer) {
                                               m_syncInFlight = false;
                                               if (answer) {
                                                   handleSyncAnswer(*answer);
                                               }
                                           });
        m_links.send(std::move(message));
    }

    void execute(const IncarnationConflict &conflict)
    {
        const std::string text = "incarnation " + std::to_string(conflict.otherIncarnation)
            + (conflict.replaced ? " of another process has replaced this daemon"
                                 : " is used by another process; choosing a higher one");
        m_telemetry.send(LogEvent {"membership.conflict", "", text});
        if (m_settings.onConflict) {
            m_settings.onConflict(conflict);
        }
    }

    void handleSyncAnswer(std::string_view bytes)
    {
        m_bytesReceived += bytes.size();
        std::error_code ec;
        const SyncAnswer answer = decodeSyncAnswer(bytes, ec);
        if (ec) {
            ++m_malformedMessages;
            return;
        }
        executeOutputs(m_membership.handleSyncAnswer(answer.records, now(), answer.partial));
    }

    void handleSyncRequest(const PeerRequestReceived &message)
    {
        m_bytesReceived += message.bytes.size();
        std::error_code ec;
        const SyncRequest request = decodeSyncRequest(message.bytes, ec);
        if (ec) {
            ++m_malformedMessages;
            return;
        }
        SyncAnswer differences;
        executeOutputs(m_membership.handleSyncRequest(request, differences, now()));
        std::string answer = encodeSyncAnswer(differences);
        m_bytesSent += answer.size();
        message.reply(std::move(answer));
    }

    std::shared_ptr<const std::vector<Member>> copyMembers() const
    {
        const std::span<const Member> members = m_membership.members();
        return std::make_shared<const std::vector<Member>>(members.begin(), members.end());
    }

    void schedulePublishIfChanged()
    {
        if (m_publishTimer == 0 && m_membership.revision() != m_publishedRevision) {
            m_publishTimer = m_kernel.executor().scheduleAfter(
                m_lastPublish + MinPublishInterval - now(), [this] { publish(); });
        }
    }

    void publish()
    {
        m_publishTimer = 0;
        m_lastPublish = now();
        m_publishedRevision = m_membership.revision();
        const auto members = copyMembers();
        for (const auto &subscriber : m_subscribers) {
            subscriber.send(MembersChanged {members});
        }
    }

    void reportMembers()
    {
        if (std::exchange(m_reportedRevision, m_membership.revision()) == m_membership.revision()) {
            return;
        }
        for (const auto &[kind, state] : StateLabels) {
            const auto count = std::ranges::count(m_membership.members(), state, &Member::state);
            m_telemetry.send(SetGauge {"members", std::string(kind), static_cast<double>(count)});
        }
    }

    void reportMetrics()
    {
        m_metricsTimer
            = m_kernel.executor().scheduleAfter(MetricsInterval, [this] { reportMetrics(); });
        reportMembers();
        const MembershipCounts &counts = m_membership.counts();
        for (const auto &[kind, counter] : EventCounters) {
            incrementCounter("membership_events_total", kind,
                             counts.*counter - m_reportedCounts.*counter);
        }
        m_reportedCounts = counts;
        incrementCounter("membership_events_total", "malformed",
                         std::exchange(m_malformedMessages, 0));
        incrementCounter("membership_bytes_total", "sent", std::exchange(m_bytesSent, 0));
        incrementCounter("membership_bytes_total", "received", std::exchange(m_bytesReceived, 0));
    }

    void incrementCounter(std::string_view metric, std::string_view kind, std::uint64_t amount)
    {
        if (amount > 0) {
            m_telemetry.send(
                IncrementCounter {metric, std::string(kind), static_cast<double>(amount)});
        }
    }

    Kernel &m_kernel;
    MembershipSettings m_settings;
    Membership m_membership;
    udp::socket m_socket;
    udp::endpoint m_sender;
    /// One byte larger than the maximum, so that oversized datagrams are detected.
    std::array<char, Datagram::MaxBytes + 1> m_buffer {};
    bool m_syncInFlight = false;
    Address<LinksMessage> m_links;
    std::vector<Address<MembersChanged>> m_subscribers;
    Address<TelemetryMessage> m_telemetry;
    Address<ConfigurationMessage> m_configuration;
    MembershipCounts m_reportedCounts;
    std::uint64_t m_malformedMessages = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_publishedRevision = 0;
    /// Revision of the member list of which reportMembers() has sent the counts.
    std::uint64_t m_reportedRevision = 0;
    TimePoint m_lastPublish {};
    TimerId m_tickTimer = 0;
    TimerId m_publishTimer = 0;
    TimerId m_metricsTimer = 0;
    Mailbox<MembershipMessage> m_mailbox;
    Mailbox<PeerRequestReceived> m_syncMailbox;
};

} // namespace

std::unique_ptr<Service> makeMembership(Kernel &kernel, asio::io_context &context,
                                        MembershipSettings settings)
{
    return std::make_unique<MembershipService>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
