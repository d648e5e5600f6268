#include "services/Links.h"

#include "services/Acceptor.h"
#include "services/AnswerMessages.h"
#include "services/HeldMemoryReports.h"
#include "services/HttpIo.h"
#include "services/LinkClient.h"
#include "services/LinkServer.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace Coltsfootwell {

namespace {

using namespace Internal;

/// Interval in which a stop checks whether all answers have been passed on. It leaves the
/// connections open for one interval at least, so that the kernel sends what it holds.
constexpr std::chrono::milliseconds StopFlushTime {100};
/// Interval between reports of the bytes sent and received.
constexpr std::chrono::seconds ReportInterval {1};

/// Label value of a metric and the destination that it reports.
struct DestinationLabel
{
    std::string_view kind;
    LinkDestination destination;
};

constexpr std::array<DestinationLabel, 4> DestinationLabels {{
    {"unknown", LinkDestination::Unknown},
    {"own-data-centre", LinkDestination::OwnDataCentre},
    {"other-data-centre", LinkDestination::OtherDataCentre},
    {"other-region", LinkDestination::OtherRegion},
}};

class Links final : public Service
{
public:
    Links(Kernel &kernel, asio::io_context &context, LinksSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_acceptor(kernel, context, std::string(ServiceName::Links), {[this](tcp::socket socket) {
                         m_server->connectionAccepted(std::move(socket));
                     }}),
          m_answerMemory(std::make_shared<AnswerMemory>(context, m_settings.answerLimits)),
          m_bodyBudget(
              std::make_shared<SharedBodyBudget>(kernel.executor(), m_settings.maxBodyBytes)),
          m_client({context, kernel.executor(), m_settings.locality.self, m_traffic, m_answerMemory,
                    [this](LoadReportReceived message) { m_calls.send(std::move(message)); },
                    [this](DaemonUnreachable message) { m_calls.send(std::move(message)); },
                    [this](TelemetryMessage &&message) { m_telemetry.send(std::move(message)); },
                    [this](std::string_view daemon) { return destinationOf(daemon); }}),
          m_server(std::make_shared<LinkServer>(LinkServerDependencies {
              kernel.executor(), m_settings.locality.self, m_traffic, m_bodyBudget,
              [this](BackendMessage &&message) { m_backend.send(std::move(message)); },
              [this](ExchangeSubject subject, PeerRequestReceived request) {
                  forwardPeerRequest(subject, std::move(request));
              },
              [this](std::string_view daemon) { return destinationOf(daemon); },
              m_settings.maxKeptAnswerBytes})),
          m_mailbox(kernel.executor(),
                    [this](LinksMessage &&message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_membersMailbox(kernel.executor(), [this](MembersChanged &&message) {
              m_members = std::move(message.members);
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Links; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_backend = directory.find<BackendMessage>(ServiceName::Backend, ec);
        if (!ec) {
            m_calls = directory.find<CallsMessage>(ServiceName::Calls, ec);
        }
        if (!ec) {
            m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        }
        if (!ec) {
            directory.find<MembershipMessage>(ServiceName::Membership, ec)
                .send(SubscribeMembers {m_membersMailbox.address()});
        }
        if (ec) {
            return ServiceError::MissingService;
        }
        if (const std::error_code failed = m_acceptor.listen(m_settings.listen)) {
            return failed;
        }
        std::error_code withoutCallers;
        m_answerMemory->reportShortage(
            [readers = directory.find<AnswerMemoryShort>(
                 ServiceName::AnswerReaders, withoutCallers)](AnswerSize size, std::size_t bytes) {
                readers.send({AnswerSource::Peer, size, bytes});
            });
        tick();
        reportTraffic();
        m_heldMemory.start();
        return {};
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_timer);
        m_kernel.executor().cancel(m_reportTimer);
        m_acceptor.close();
        closeWhenDelivered(std::move(done));
    }

private:
    /// Closes all connections once the entry daemons have received their answers.
    void closeWhenDelivered(Task done)
    {
        m_kernel.executor().scheduleAfter(StopFlushTime, [this, done = std::move(done)] {
            m_server->tick();
            if (m_server->isDelivering()) {
                closeWhenDelivered(done);
                return;
            }
            m_client.stop();
            m_server->stop();
            done();
        });
    }

    void handle(RunAttempt run) { m_client.sendAttempt(std::move(run)); }
    void handle(const CancelAttempt &cancel) { m_client.cancelAttempt(cancel.attempt); }
    void handle(const LoadChanged &message) { m_server->loadChanged(message.load); }
    void handle(SendPeerRequest request) { m_client.sendPeerRequest(std::move(request)); }

    void forwardPeerRequest(ExchangeSubject subject, PeerRequestReceived request)
    {
        std::error_code ignored;
        m_kernel.directory()
            .find<PeerRequestReceived>(ServiceName::exchange(subject), ignored)
            .send(std::move(request));
    }

    LinkDestination destinationOf(std::string_view daemon) const
    {
        if (!m_members) {
            return LinkDestination::Unknown;
        }
        const auto member
            = std::ranges::find(*m_members, daemon, [](const Member &entry) -> std::string_view {
                  return entry.id.name;
              });
        if (member == m_members->end()) {
            return LinkDestination::Unknown;
        }
        if (member->region != m_settings.locality.region) {
            return LinkDestination::OtherRegion;
        }
        return member->dataCentre == m_settings.locality.dataCentre
            ? LinkDestination::OwnDataCentre
            : LinkDestination::OtherDataCentre;
    }

    void tick()
    {
        m_timer = m_kernel.executor().scheduleAfter(LinkClient::TickInterval, [this] { tick(); });
        m_client.tick();
        m_server->tick();
    }

    void reportTraffic()
    {
        m_reportTimer
            = m_kernel.executor().scheduleAfter(ReportInterval, [this] { reportTraffic(); });
        reportBytes("link_bytes_total", "calls", m_traffic->calls, m_reported.calls);
        reportBytes("link_bytes_total", "control", m_traffic->control, m_reported.control);
        for (const auto &[kind, destination] : DestinationLabels) {
            const auto index = std::size_t(destination);
            reportBytes("link_sent_bytes_total", kind, m_traffic->sent[index],
                        m_reported.sent[index]);
        }
    }

    void reportBytes(std::string_view metric, std::string_view kind, std::uint64_t total,
                     std::uint64_t &reported)
    {
        const auto added = static_cast<double>(total - std::exchange(reported, total));
        m_telemetry.send(IncrementCounter {metric, std::string(kind), added});
    }

    Kernel &m_kernel;
    LinksSettings m_settings;
    Acceptor m_acceptor;
    const std::shared_ptr<LinkTraffic> m_traffic = std::make_shared<LinkTraffic>();
    LinkTraffic m_reported;
    /// Memory for answers, and for request bodies, that other daemons send.
    const std::shared_ptr<AnswerMemory> m_answerMemory;
    const std::shared_ptr<SharedBodyBudget> m_bodyBudget;
    HeldMemoryReports m_heldMemory {m_kernel,
                                    {{"peer-answers", [this] { return m_answerMemory->held(); }},
                                     {"peer-bodies", [this] { return m_bodyBudget->reserved(); }}}};
    LinkClient m_client;
    std::shared_ptr<LinkServer> m_server;
    TimerId m_timer = 0;
    TimerId m_reportTimer = 0;
    Address<BackendMessage> m_backend;
    Address<CallsMessage> m_calls;
    Address<TelemetryMessage> m_telemetry;
    /// Newest list of members; null before the first one.
    std::shared_ptr<const std::vector<Member>> m_members;
    Mailbox<LinksMessage> m_mailbox;
    Mailbox<MembersChanged> m_membersMailbox;
};

} // namespace

std::unique_ptr<Service> makeLinks(Kernel &kernel, asio::io_context &context,
                                   LinksSettings settings)
{
    return std::make_unique<Links>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
