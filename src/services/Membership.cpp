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

#include <array>

namespace Coltsfootwell {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

/// Copies of the list cost; with 1,000 members many small changes become one message.
constexpr std::chrono::milliseconds PublishPeriod {20};
constexpr std::chrono::seconds CountPeriod {1};
/// IPv4 and UDP headers of a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;

/// \brief A counter of the decision and its value when it was last reported.
struct ReportedCount
{
    std::string_view kind;
    std::uint64_t MembershipCounts::*member;
};

constexpr std::array<ReportedCount, 6> ReportedCounts {{
    {"pings", &MembershipCounts::pings},
    {"acks", &MembershipCounts::acks},
    {"suspicions", &MembershipCounts::suspicions},
    {"unreachable", &MembershipCounts::unreachable},
    {"refutations", &MembershipCounts::refutations},
    {"syncs", &MembershipCounts::syncs},
}};

class MembershipService final : public Service
{
public:
    MembershipService(Kernel &kernel, asio::io_context &context, MembershipSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_membership(m_settings.self, m_settings.seeds, kernel.random()), m_socket(context),
          m_mailbox(kernel.executor(),
                    [this](MembershipMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                        listMayHaveChanged();
                    }),
          m_syncMailbox(kernel.executor(),
                        [this](const PeerRequestReceived &ask) { handleSyncRequest(ask); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::exchange(ExchangeSubject::MemberSync),
                                   m_syncMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Membership; }

    std::error_code start() override
    {
        std::error_code missing;
        const Directory &directory = m_kernel.directory();
        m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, missing);
        if (!missing) {
            m_configuration
                = directory.find<ConfigurationMessage>(ServiceName::Configuration, missing);
        }
        if (!missing) {
            m_links = directory.find<LinksMessage>(ServiceName::Links, missing);
        }
        if (missing) {
            return ServiceError::MissingService;
        }
        if (!canBeAnnounced(m_settings.self)) {
            return ServiceError::BadIdentity;
        }
        if (const std::error_code ec = openSocket()) {
            return ec;
        }
        receive();
        tick();
        reportCounts();
        return {};
    }

    void stop(Task done) override
    {
        for (const TimerId timer : {m_tickTimer, m_publishTimer, m_countTimer}) {
            m_kernel.executor().cancel(timer);
        }
        perform(m_membership.announceLeft(now()));
        boost::system::error_code ec;
        m_socket.close(ec);
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    /// Others drop datagrams with a record that they cannot decode.
    static bool canBeAnnounced(const Member &self)
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
        subscribe.subscriber.send(MembersChanged {copyOfMembers()});
    }

    void handle(const BackendStateChanged &changed)
    {
        Member self = m_settings.self;
        self.service = changed.service;
        if (canBeAnnounced(self)) {
            m_membership.setBackend(changed.service, changed.state, changed.slots);
        } else {
            m_telemetry.send(LogEvent {"membership.badService", "",
                                       "rule=the service must have a name of 1 to 64 bytes"});
        }
    }

    void handle(const SeedsDiscovered &seeds) { m_membership.addSeeds(seeds.endpoints); }
    void handle(ConfigurationPositionChanged known)
    {
        perform(m_membership.advancePosition(known.position, now()));
    }
    void handle(StoreAccessChanged changed)
    {
        perform(m_membership.setStoreLost(changed.lost, now()));
    }
    void handle(AnnounceLeaving) { m_membership.leave(); }

    void tick()
    {
        perform(m_membership.tick(now()));
        m_tickTimer = m_kernel.executor().scheduleAfter(Membership::TickPeriod, [this] { tick(); });
    }

    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender, [this](boost::system::error_code ec, std::size_t n) {
                if (ec == asio::error::operation_aborted || !m_socket.is_open()) {
                    return;
                }
                if (!ec) {
                    received({m_buffer.data(), n});
                }
                receive();
            });
    }

    void received(std::string_view bytes)
    {
        m_bytesReceived += bytes.size() + DatagramHeaderBytes;
        std::error_code ec;
        const Datagram datagram = decodeDatagram(bytes, ec);
        if (ec) {
            ++m_malformed;
            return;
        }
        const Endpoint sender {m_sender.address().to_string(), m_sender.port()};
        perform(m_membership.handle(datagram, sender, now()));
    }

    void perform(Membership::Outputs outputs)
    {
        for (const MembershipOutput &output : outputs) {
            std::visit([this](const auto &body) { carryOut(body); }, output);
        }
        listMayHaveChanged();
    }

    void carryOut(const SendDatagram &out)
    {
        boost::system::error_code ec;
        const udp::endpoint target(asio::ip::make_address(out.to.address, ec), out.to.port);
        if (ec) {
            return;
        }
        const std::string bytes = encodeDatagram(out.datagram);
        m_socket.send_to(asio::buffer(bytes), target, 0, ec);
        m_bytesSent += ec ? 0 : bytes.size() + DatagramHeaderBytes;
    }

    void carryOut(const PeerReported &report)
    {
        m_configuration.send(PeerPositionReported {report.peer, report.endpoint, report.position});
    }

    void carryOut(const StartSync &wanted)
    {
        if (m_syncing) {
            return;
        }
        m_syncing = true;
        SendPeerRequest ask;
        ask.endpoint = wanted.peer;
        ask.bytes = encodeSyncRequest(m_membership.startSync(now()));
        m_bytesSent += ask.bytes.size();
        ask.reply = Reply<std::string>(m_kernel.executor(),
                                       [this](const std::optional<std::string> &answer) {
                                           m_syncing = false;
                                           if (answer) {
                                               takeSync(*answer);
                                           }
                                       });
        m_links.send(std::move(ask));
    }

    void carryOut(const IncarnationConflict &conflict)
    {
        const std::string text = "incarnation " + std::to_string(conflict.otherIncarnation)
            + (conflict.replaced ? " has replaced this daemon" : " is in use, taking a higher one");
        m_telemetry.send(LogEvent {"membership.conflict", "", text});
        if (m_settings.onConflict) {
            m_settings.onConflict(conflict);
        }
    }

    void takeSync(std::string_view bytes)
    {
        m_bytesReceived += bytes.size();
        std::error_code ec;
        const SyncAnswer answer = decodeSyncAnswer(bytes, ec);
        if (ec) {
            ++m_malformed;
            return;
        }
        perform(m_membership.handleSyncAnswer(answer.records, now(), answer.partial));
    }

    void handleSyncRequest(const PeerRequestReceived &ask)
    {
        m_bytesReceived += ask.bytes.size();
        std::error_code ec;
        const SyncRequest asked = decodeSyncRequest(ask.bytes, ec);
        if (ec) {
            ++m_malformed;
            return;
        }
        SyncAnswer differing;
        perform(m_membership.handleSyncRequest(asked, differing, now()));
        std::string answer = encodeSyncAnswer(differing);
        m_bytesSent += answer.size();
        ask.reply(std::move(answer));
    }

    std::shared_ptr<const std::vector<Member>> copyOfMembers() const
    {
        const std::span<const Member> members = m_membership.members();
        return std::make_shared<const std::vector<Member>>(members.begin(), members.end());
    }

    void listMayHaveChanged()
    {
        if (m_publishTimer == 0 && m_membership.revision() != m_publishedRevision) {
            m_publishTimer = m_kernel.executor().scheduleAfter(
                m_lastPublished + PublishPeriod - now(), [this] { publish(); });
        }
    }

    void publish()
    {
        m_publishTimer = 0;
        m_lastPublished = now();
        m_publishedRevision = m_membership.revision();
        const auto members = copyOfMembers();
        for (const auto &subscriber : m_subscribers) {
            subscriber.send(MembersChanged {members});
        }
    }

    void reportCounts()
    {
        const MembershipCounts &counts = m_membership.counts();
        for (const auto &[kind, member] : ReportedCounts) {
            count("membership_events_total", kind, counts.*member - m_reported.*member);
        }
        m_reported = counts;
        count("membership_events_total", "malformed", std::exchange(m_malformed, 0));
        count("membership_bytes_total", "sent", std::exchange(m_bytesSent, 0));
        count("membership_bytes_total", "received", std::exchange(m_bytesReceived, 0));
        m_countTimer = m_kernel.executor().scheduleAfter(CountPeriod, [this] { reportCounts(); });
    }

    void count(std::string_view metric, std::string_view kind, std::uint64_t amount)
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
    /// One byte more than allowed, so that longer datagrams are noticed.
    std::array<char, Datagram::MaxBytes + 1> m_buffer {};
    bool m_syncing = false;
    Address<LinksMessage> m_links;
    std::vector<Address<MembersChanged>> m_subscribers;
    Address<TelemetryMessage> m_telemetry;
    Address<ConfigurationMessage> m_configuration;
    MembershipCounts m_reported;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_publishedRevision = 0;
    TimePoint m_lastPublished {};
    TimerId m_tickTimer = 0;
    TimerId m_publishTimer = 0;
    TimerId m_countTimer = 0;
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
