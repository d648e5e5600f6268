#include "services/ConfigurationFollower.h"

#include "decisions/StateFetch.h"
#include "decisions/StoreSchedule.h"
#include "services/ActiveConfiguration.h"
#include "services/CallMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/ControlMessages.h"
#include "services/ControlStateReplica.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "services/TopicReader.h"
#include "wire/ControlSnapshot.h"
#include "wire/StateExchange.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Longest wait of one read. All connections to the store may go silent at the same moment; that of
/// one of the readers is then noticed within a second or two.
constexpr milliseconds ReadWait {2'000};
/// A daemon that reads the store asks one that knows more when the store has not told the same in
/// this time.
constexpr milliseconds PeerLead {250};
/// A call to the store that has not told what others know is given up after this time.
constexpr milliseconds SilenceTime {500};
/// Until the next daemon is asked.
constexpr milliseconds AnswerTime {300};
/// A daemon that only hears of something newer reads the store after this time and up to half of it
/// more, so that many do not read it at the same moment.
constexpr milliseconds FallbackTime {1'000};
/// Between questions to other daemons while nothing is known.
constexpr milliseconds CheckPeriod {300};

class ConfigurationFollower final : public Service
{
public:
    ConfigurationFollower(Kernel &kernel, std::shared_ptr<StoreClient> store,
                          ConfigurationFollowerSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_state(*m_settings.format, m_settings.dataCentres),
          m_schedule(m_settings.self, StoreClient::MaxAnswerBytes), m_inForce(m_settings.filter),
          m_mailbox(kernel.executor(),
                    [this](ConfigurationMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_askMailbox(kernel.executor(),
                       [this](const PeerRequestReceived &ask) { answerPeer(ask); }),
          m_membersMailbox(kernel.executor(),
                           [this](MembersChanged news) { membersChanged(std::move(news)); }),
          m_showMailbox(kernel.executor(), [this](const ControlRequest &request) { show(request); })
    {
        if (store) {
            m_reader = std::make_unique<TopicReader>(
                kernel, std::move(store), m_settings.format->topic(),
                TopicReaderHandlers {[this](const NewestRecords &newest) { newestRead(newest); },
                                     [this](const RecordsRead &read) { recordsRead(read); },
                                     [this](StoreCallFailure failure) { readFailed(failure); },
                                     [this] { readStore(); }});
        }
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::exchange(ExchangeSubject::ControlState),
                                   m_askMailbox.address());
        kernel.directory().publish(ServiceName::control("configuration"), m_showMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Configuration; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        if (!ec) {
            m_links = directory.find<LinksMessage>(ServiceName::Links, ec);
        }
        if (!ec) {
            m_membership = directory.find<MembershipMessage>(ServiceName::Membership, ec);
            m_membership.send(SubscribeMembers {m_membersMailbox.address()});
        }
        if (ec) {
            return ServiceError::MissingService;
        }
        m_state.start(m_telemetry);
        m_inForce.start(m_telemetry);
        readFile();
        if (m_reader) {
            m_schedule.started(now());
            m_reader->start(m_telemetry);
            readStore();
            check();
        }
        return {};
    }

    void stop(Task done) override
    {
        m_stopped = true;
        for (const TimerId timer : {m_checkTimer, m_fetchTimer}) {
            m_kernel.executor().cancel(timer);
        }
        if (m_reader) {
            m_reader->stop();
        }
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    // Subscribers.

    void handle(const SubscribeConfiguration &subscribe)
    {
        m_inForce.subscribe(subscribe.subscriber);
    }

    void handle(const ReloadConfiguration &) { readFile(); }

    /// Puts the present state in force.
    void publish(const ConfigurationSource &origin)
    {
        const Duration waited = m_behindSince ? now() - *m_behindSince : origin.transfer.arrival;
        tellPosition();
        m_inForce.publish(m_state.control(), origin, waited);
    }

    void tellPosition()
    {
        if (!m_fetch.isBehind(m_state.position())) {
            m_behindSince.reset();
        }
        m_membership.send(ConfigurationPositionChanged {m_state.position()});
    }

    // The file.

    void readFile()
    {
        if (m_settings.file.empty()) {
            return;
        }
        std::ifstream in(m_settings.file);
        std::ostringstream text;
        text << in.rdbuf();
        if (!in) {
            m_telemetry.send(LogEvent {"configuration.unreadable", "", "file=" + m_settings.file});
            return;
        }
        if (m_state.applyFile(text.str())) {
            publish({"file", {text.str().size(), {}}});
        }
    }

    // The store.

    /// Begins the next call to the store, if there is to be one.
    void readStore()
    {
        if (m_stopped || !m_reader || m_reader->isBusy()) {
            return;
        }
        const StoreCall call = m_schedule.nextCall(m_state.position(), m_fetching, now());
        if (const auto *newest = std::get_if<ReadNewest>(&call)) {
            m_newestLimit = newest->maxBytes;
            m_reader->readNewest(m_newestLimit);
        } else if (const auto *on = std::get_if<ReadFromPosition>(&call)) {
            m_reader->read(m_state.position(), on->longPoll ? ReadWait : milliseconds(0));
        }
    }

    void newestRead(const NewestRecords &newest)
    {
        m_schedule.callAnswered();
        tellStoreAccess();
        if (newest.ec == ServiceError::AnswerTooLong) {
            tell("configuration.long");
            m_schedule.newestTooLarge(m_state.position(), m_newestLimit);
        } else {
            m_schedule.stateReceived();
            m_state.applyNewest(newest) ? publish({"store", newest.transfer}) : tellPosition();
        }
        readStore();
    }

    void recordsRead(const RecordsRead &read)
    {
        m_schedule.callAnswered();
        tellStoreAccess();
        if (read.ec == ServiceError::HistoryLost) {
            tell("store.historyLost");
            m_schedule.historyLost();
            readStore();
            return;
        }
        if (const unsigned changes = m_state.applyRecords(read); changes > 0) {
            publish({"store", read.transfer, changes - 1});
        } else {
            tellPosition();
        }
        if (read.end > m_state.position()) {
            m_schedule.moreRecordsAvailable(read.records.size(), read.transfer.bytes);
        }
        readStore();
    }

    void readFailed(StoreCallFailure failure)
    {
        m_schedule.callFailed(failure, m_state.position(), now());
        tellStoreAccess();
    }

    /// Tells other daemons when the store stops or begins to answer this one.
    void tellStoreAccess()
    {
        if (const bool lost = m_schedule.storeLost(); std::exchange(m_storeLost, lost) != lost) {
            m_membership.send(StoreAccessChanged {lost});
        }
    }

    /// Logs a change of whether this daemon reads the store for others.
    void tellRole()
    {
        if (const bool reads = m_schedule.readsStore(now());
            std::exchange(m_readsStore, reads) != reads) {
            m_telemetry.send(LogEvent {"configuration.reader", "",
                                       std::string("reads=") + (reads ? "yes" : "no")
                                           + " storeLost=" + (m_storeLost ? "yes" : "no")});
        }
    }

    /// Logs an event with the position that is known.
    void tell(std::string_view event)
    {
        m_telemetry.send(LogEvent {event, "", "position=" + std::to_string(m_state.position())});
    }

    // Other daemons.

    void membersChanged(MembersChanged news)
    {
        m_members = std::move(news.members);
        m_schedule.membersChanged(*m_members);
        tellRole();
        if (m_reader && m_reader->isWaiting()
            && (!m_schedule.mayLongPoll(now()) || m_schedule.needsImmediateRead())) {
            m_reader->drop();
        }
        readStore();
    }

    void handle(const PeerPositionReported &evidence)
    {
        m_schedule.peerReported(now());
        if (evidence.position <= m_state.position()) {
            return;
        }
        if (!m_behindSince) {
            m_behindSince = now();
            m_fallbackAfter
                = FallbackTime + milliseconds(m_kernel.random().below(FallbackTime.count() / 2));
        }
        m_fetch.positionReported(evidence.endpoint, evidence.position);
        if (!std::exchange(m_fetching, true)) {
            // The store usually tells the same a moment later.
            fetchAfter(m_reader && m_schedule.readsStore(now()) ? Duration(PeerLead) : Duration());
        }
    }

    void fetchAfter(Duration delay)
    {
        m_fetchTimer = m_kernel.executor().scheduleAfter(delay, [this] {
            m_fetching = false;
            if (!m_stopped && m_fetch.isBehind(m_state.position())) {
                fetch();
            }
        });
    }

    /// Others know more.
    void fetch()
    {
        m_fetching = true;
        if (m_reader && m_reader->isReceiving()) {
            // Asking now would bring the same bytes a second time over the same links.
            fetchAfter(PeerLead);
            return;
        }
        const auto endpoint = m_fetch.nextPeer(m_state.position());
        if (endpoint) {
            askPeer(*endpoint);
        }
        if (m_reader && m_schedule.readsStore(now()) && m_reader->callAge() >= SilenceTime) {
            // The read that should have told has gone silent.
            tell("store.silent");
            m_reader->drop();
            m_schedule.callAbandoned();
            tellStoreAccess();
            readStore();
        } else if (m_reader && !endpoint && !m_reader->isBusy()
                   && now() - m_behindSince.value_or(now()) >= m_fallbackAfter) {
            tell("configuration.unanswered");
            m_reader->read(m_state.position(), milliseconds(0));
        }
        fetchAfter(AnswerTime);
    }

    /// Looks whether this daemon is on its own, and asks others while nothing is known.
    void check()
    {
        m_checkTimer = m_kernel.executor().scheduleAfter(CheckPeriod, [this] { check(); });
        readStore();
        if (m_inForce.configuration() || !m_members) {
            return;
        }
        std::vector<Endpoint> others;
        for (const Member &member : *m_members) {
            if (member.state == MemberState::Alive && member.id.name != m_settings.self) {
                others.push_back(member.endpoint);
            }
        }
        if (!others.empty()) {
            askPeer(others[m_kernel.random().below(others.size())]);
        }
    }

    void askPeer(const Endpoint &endpoint)
    {
        SendPeerRequest ask;
        ask.endpoint = endpoint;
        ask.subject = ExchangeSubject::ControlState;
        ask.bytes = encodeStateRequest(m_state.question());
        ask.reply = Reply<std::string>(m_kernel.executor(),
                                       [this](const std::optional<std::string> &bytes) {
                                           if (bytes && !m_stopped) {
                                               learnFromPeer(*bytes);
                                           }
                                       });
        m_links.send(std::move(ask));
    }

    void answerPeer(const PeerRequestReceived &ask)
    {
        // A question that cannot be read gets the whole text.
        const auto question = decodeStateRequest(ask.bytes);
        ask.reply(encodeStateAnswer(m_state.answer(question.value_or(StateRequest {}))));
    }

    void learnFromPeer(std::string_view bytes)
    {
        m_telemetry.send(IncrementCounter {"configuration_bytes_total", "peer",
                                           static_cast<double>(bytes.size())});
        const auto answer = decodeStateAnswer(bytes);
        const auto learned
            = answer ? m_state.applyAnswer(*answer) : ControlStateReplica::ApplyResult::Nothing;
        if (learned == ControlStateReplica::ApplyResult::Nothing
            || learned == ControlStateReplica::ApplyResult::Unusable) {
            return;
        }
        m_schedule.stateReceived();
        if (learned == ControlStateReplica::ApplyResult::Change) {
            publish({"peer", {bytes.size(), {}}});
        } else {
            tellPosition();
        }
        if (m_reader && !m_reader->isReceiving()) {
            // What a read in progress would bring is known.
            m_reader->drop();
            readStore();
        }
    }

    void show(const ControlRequest &request)
    {
        ControlSnapshot snapshot {m_state.position(), m_state.control().outOfService(),
                                  m_state.control().activeConfiguration()};
        request.reply(ControlAnswer {m_inForce.configuration() ? 200U : 404U, "application/json",
                                     encodeSnapshot(snapshot)});
    }

    Kernel &m_kernel;
    ConfigurationFollowerSettings m_settings;
    ControlStateReplica m_state;
    StoreSchedule m_schedule;
    StateFetch m_fetch;
    ActiveConfiguration m_inForce;
    std::shared_ptr<const std::vector<Member>> m_members;
    /// Null for a site without a store.
    std::unique_ptr<TopicReader> m_reader;
    /// Length that was wanted of the newest records that were asked for last.
    std::size_t m_newestLimit = 0;
    /// Since another daemon is known to know more.
    std::optional<TimePoint> m_behindSince;
    /// Time after which this daemon then reads the store itself.
    Duration m_fallbackAfter {};
    /// What other daemons were told of the store.
    bool m_storeLost = false;
    /// What the log was told of this daemon's role.
    bool m_readsStore = false;
    /// A look at who knows more is due.
    bool m_fetching = false;
    bool m_stopped = false;
    TimerId m_checkTimer = 0;
    TimerId m_fetchTimer = 0;
    Address<TelemetryMessage> m_telemetry;
    Address<LinksMessage> m_links;
    Address<MembershipMessage> m_membership;
    Mailbox<ConfigurationMessage> m_mailbox;
    Mailbox<PeerRequestReceived> m_askMailbox;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<ControlRequest> m_showMailbox;
};

} // namespace

std::unique_ptr<Service> makeConfigurationFollower(Kernel &kernel,
                                                   std::shared_ptr<StoreClient> store,
                                                   ConfigurationFollowerSettings settings)
{
    return std::make_unique<ConfigurationFollower>(kernel, std::move(store), std::move(settings));
}

} // namespace Coltsfootwell
