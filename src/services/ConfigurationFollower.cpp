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

/// Long-poll timeout of reads. All connections to the store may fail silently at the same moment;
/// with this timeout, one of the store readers detects it within one to two seconds.
constexpr milliseconds LongPollTimeout {2'000};
/// Delay before a store reader requests a later control state from a peer, since the store usually
/// delivers the same records within this time.
constexpr milliseconds PeerFetchDelay {250};
/// Age at which a call of a store reader is cancelled if a peer has reported a later position.
constexpr milliseconds StoreCallTimeout {500};
/// Delay after a state request before the next peer is tried.
constexpr milliseconds PeerRetryDelay {300};
/// Minimum time for which a daemon is behind its peers before it falls back to reading the store
/// itself. Up to half of it is added at random, so that many daemons do not read the store at once.
constexpr milliseconds MinFallbackDelay {1'000};
/// Interval of the periodic check, and of state requests to peers before the first configuration.
constexpr milliseconds CheckInterval {300};

std::string numberText(std::optional<std::uint64_t> number)
{
    return number ? std::to_string(*number) : "unknown";
}

class ConfigurationFollower final : public Service
{
public:
    ConfigurationFollower(Kernel &kernel, std::shared_ptr<StoreClient> store,
                          ConfigurationFollowerSettings settings)
        : m_kernel(kernel), m_settings(std::move(settings)),
          m_replica(*m_settings.format, m_settings.dataCentres),
          m_schedule(m_settings.self, StoreClient::MaxAnswerBytes),
          m_activeConfiguration(m_settings.filter),
          m_mailbox(kernel.executor(),
                    [this](ConfigurationMessage &&message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_stateRequestMailbox(
              kernel.executor(),
              [this](const PeerRequestReceived &message) { handleStateRequest(message); }),
          m_membersMailbox(kernel.executor(),
                           [this](MembersChanged message) { membersChanged(std::move(message)); }),
          m_snapshotMailbox(kernel.executor(), [this](const ControlRequest &request) {
              handleSnapshotRequest(request);
          })
    {
        if (store) {
            m_reader = std::make_unique<TopicReader>(
                kernel, std::move(store), m_settings.format->topic(),
                TopicReaderHandlers {
                    [this](const NewestRecords &newest) { handleNewest(newest); },
                    [this](const RecordsRead &read) { handleRecords(read); },
                    [this](StoreCallFailure failure) { handleReadFailure(failure); },
                    [this] { startStoreCall(); }});
        }
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::exchange(ExchangeSubject::ControlState),
                                   m_stateRequestMailbox.address());
        kernel.directory().publish(ServiceName::control("configuration"),
                                   m_snapshotMailbox.address());
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
        m_replica.attachTelemetry(m_telemetry);
        m_activeConfiguration.attachTelemetry(m_telemetry);
        readFile();
        if (m_reader) {
            m_schedule.started(now());
            m_reader->attachTelemetry(m_telemetry);
            startStoreCall();
            runPeriodicCheck();
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

    // Subscriptions and activation.

    void handle(const SubscribeConfiguration &subscribe)
    {
        m_activeConfiguration.subscribe(subscribe.subscriber);
    }

    void handle(const ReloadConfiguration &) { readFile(); }

    /// Activates the current control state.
    void activate(const ConfigurationSource &source)
    {
        const Duration delay
            = m_behindSince ? now() - *m_behindSince : source.transfer.bodyReceiveTime;
        reportPosition();
        m_activeConfiguration.activate(m_replica.state(), source, delay);
    }

    void reportPosition()
    {
        if (!m_stateFetch.isBehind(m_replica.position())) {
            m_behindSince.reset();
        }
        m_membership.send(ControlStateChanged {m_replica.summary()});
    }

    // Configuration file.

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
        if (m_replica.applyFile(text.str())) {
            activate({"file", {text.str().size(), {}}});
        }
    }

    // Store.

    /// Starts the next call to the store, if one is due.
    void startStoreCall()
    {
        if (m_stopped || !m_reader || m_reader->isBusy()) {
            return;
        }
        const StoreCall call = m_schedule.nextCall(m_replica.position(), m_fetchPending, now());
        if (const auto *newest = std::get_if<ReadNewest>(&call)) {
            m_newestMaxBytes = newest->maxBytes;
            m_reader->readNewest(m_newestMaxBytes);
        } else if (const auto *fromPosition = std::get_if<ReadFromPosition>(&call)) {
            m_reader->read(m_replica.position(),
                           fromPosition->longPoll ? LongPollTimeout : milliseconds(0));
        }
    }

    void handleNewest(const NewestRecords &newest)
    {
        noteEpoch(newest.epoch, newest.end);
        m_schedule.callAnswered();
        reportStoreAccess();
        if (newest.ec == ServiceError::AnswerTooLarge) {
            logEvent("configuration.long");
            m_schedule.newestTooLarge(m_replica.position(), m_newestMaxBytes);
        } else {
            m_schedule.stateReceived();
            m_replica.applyNewest(newest) ? activate({"store", newest.transfer}) : reportPosition();
        }
        startStoreCall();
    }

    void handleRecords(const RecordsRead &read)
    {
        noteEpoch(read.epoch, read.end);
        m_schedule.callAnswered();
        reportStoreAccess();
        if (read.ec == ServiceError::HistoryLost) {
            logHistoryLost(read);
            m_schedule.historyLost();
            startStoreCall();
            return;
        }
        if (const unsigned changes = m_replica.applyRecords(read); changes > 0) {
            activate({"store", read.transfer, changes - 1});
        } else {
            reportPosition();
        }
        if (read.end > m_replica.position()) {
            m_schedule.moreRecordsAvailable(read.records.size(), read.transfer.bytes);
        }
        startStoreCall();
    }

    void handleReadFailure(StoreCallFailure failure)
    {
        m_schedule.callFailed(failure, m_replica.position(), now());
        reportStoreAccess();
    }

    /// Reports to the other daemons when this one loses or regains access to the store.
    void reportStoreAccess()
    {
        if (const bool lost = m_schedule.storeLost();
            std::exchange(m_reportedStoreLost, lost) != lost) {
            m_membership.send(StoreAccessChanged {lost});
        }
    }

    /// Logs when this daemon becomes a store reader or ceases to be one.
    void logRoleChange()
    {
        if (const bool readsStore = m_schedule.readsStore(now());
            std::exchange(m_loggedReadsStore, readsStore) != readsStore) {
            m_telemetry.send(LogEvent {"configuration.reader", "",
                                       std::string("reads=") + (readsStore ? "yes" : "no")
                                           + " storeLost=" + (m_reportedStoreLost ? "yes" : "no")});
        }
    }

    /// Logs an event with the current position and further fields.
    void logEvent(std::string_view event, const std::string &fields = "")
    {
        m_telemetry.send(
            LogEvent {event, "", "position=" + std::to_string(m_replica.position()) + fields});
    }

    void logHistoryLost(const RecordsRead &read)
    {
        logEvent("store.historyLost",
                 " firstRetained=" + numberText(read.firstRetained)
                     + " epoch=" + numberText(read.epoch)
                     + " version=" + std::to_string(m_replica.state().version()));
    }

    /// Notes the epoch that an answer of the store names, and logs its changes.
    /// \param end end offset that the answer names.
    void noteEpoch(std::optional<StoreEpoch> epoch, std::uint64_t end)
    {
        if (epoch && std::exchange(m_storeEpoch, epoch) != epoch) {
            logEvent("store.epoch", " epoch=" + numberText(epoch) + " end=" + std::to_string(end));
        }
    }

    /// Logs that a peer holds a higher version than this daemon, once for each version.
    void logNewerAtPeer(const PeerStateReported &report)
    {
        if (report.state.version <= std::max(m_replica.state().version(), m_loggedPeerVersion)) {
            return;
        }
        m_loggedPeerVersion = report.state.version;
        const bool isAhead = report.state.position > m_replica.position();
        logEvent("configuration.newerAtPeer",
                 " version=" + std::to_string(m_replica.state().version()) + " peer="
                     + report.peer.name + " peerVersion=" + std::to_string(report.state.version)
                     + " peerPosition=" + std::to_string(report.state.position)
                     + " fetched=" + (isAhead ? "yes" : "no"));
    }

    // Peers.

    void membersChanged(MembersChanged message)
    {
        m_members = std::move(message.members);
        m_schedule.membersChanged(*m_members);
        logRoleChange();
        if (m_reader && m_reader->isLongPolling()
            && (!m_schedule.mayLongPoll(now()) || m_schedule.needsImmediateRead())) {
            m_reader->cancelCall();
        }
        startStoreCall();
    }

    void handle(const PeerStateReported &report)
    {
        m_schedule.peerReported(now());
        logNewerAtPeer(report);
        if (report.state.position <= m_replica.position()) {
            return;
        }
        if (!m_behindSince) {
            m_behindSince = now();
            m_fallbackDelay = MinFallbackDelay
                + milliseconds(m_kernel.random().below(MinFallbackDelay.count() / 2));
        }
        m_stateFetch.positionReported(report.endpoint, report.state.position);
        if (!std::exchange(m_fetchPending, true)) {
            // A store reader usually gets the same records from the store shortly afterwards.
            scheduleFetch(m_reader && m_schedule.readsStore(now()) ? Duration(PeerFetchDelay)
                                                                   : Duration());
        }
    }

    void scheduleFetch(Duration delay)
    {
        m_fetchTimer = m_kernel.executor().scheduleAfter(delay, [this] {
            m_fetchPending = false;
            if (!m_stopped && m_stateFetch.isBehind(m_replica.position())) {
                fetchFromPeer();
            }
        });
    }

    /// Requests the control state from a peer with a later position, and detects a store call that
    /// hangs.
    void fetchFromPeer()
    {
        m_fetchPending = true;
        const bool isReceiving = m_reader && m_reader->isReceiving();
        scheduleFetch(isReceiving ? PeerFetchDelay : PeerRetryDelay);
        if (isReceiving) {
            // A request would transfer the same bytes a second time over the same links.
            return;
        }
        const auto endpoint = m_stateFetch.nextPeer(m_replica.position());
        if (endpoint) {
            requestState(*endpoint);
        }
        if (m_reader && m_schedule.readsStore(now()) && m_reader->callAge() >= StoreCallTimeout) {
            // The long poll should have delivered these records: its connection has failed
            // silently.
            logEvent("store.silent");
            m_reader->cancelCall();
            m_schedule.callAbandoned();
            reportStoreAccess();
            startStoreCall();
        } else if (m_reader && !endpoint && !m_reader->isBusy()
                   && now() - m_behindSince.value_or(now()) >= m_fallbackDelay) {
            logEvent("configuration.unanswered");
            m_reader->read(m_replica.position(), milliseconds(0));
        }
    }

    /// Lets the schedule detect that this daemon is isolated, and requests the state from a random
    /// member until the first configuration is active.
    void runPeriodicCheck()
    {
        m_checkTimer
            = m_kernel.executor().scheduleAfter(CheckInterval, [this] { runPeriodicCheck(); });
        startStoreCall();
        if (m_activeConfiguration.configuration() || !m_members) {
            return;
        }
        std::vector<Endpoint> others;
        for (const Member &member : *m_members) {
            if (member.state == MemberState::Alive && member.id.name != m_settings.self) {
                others.push_back(member.endpoint);
            }
        }
        if (!others.empty()) {
            requestState(others[m_kernel.random().below(others.size())]);
        }
    }

    void requestState(const Endpoint &endpoint)
    {
        SendPeerRequest message;
        message.endpoint = endpoint;
        message.subject = ExchangeSubject::ControlState;
        message.bytes = encodeStateRequest(m_replica.makeRequest());
        message.reply = Reply<std::string>(m_kernel.executor(),
                                           [this](const std::optional<std::string> &bytes) {
                                               if (bytes && !m_stopped) {
                                                   handleStateAnswer(*bytes);
                                               }
                                           });
        m_links.send(std::move(message));
    }

    void handleStateRequest(const PeerRequestReceived &message)
    {
        // A malformed request is answered with the full text.
        const auto request = decodeStateRequest(message.bytes);
        message.reply(
            encodeStateAnswer(m_replica.answerRequest(request.value_or(StateRequest {}))));
    }

    void handleStateAnswer(std::string_view bytes)
    {
        m_telemetry.send(IncrementCounter {"configuration_bytes_total", "peer",
                                           static_cast<double>(bytes.size())});
        const auto answer = decodeStateAnswer(bytes);
        const auto result
            = answer ? m_replica.applyAnswer(*answer) : ControlStateReplica::ApplyResult::Ignored;
        if (result == ControlStateReplica::ApplyResult::Ignored
            || result == ControlStateReplica::ApplyResult::Unusable) {
            return;
        }
        m_schedule.stateReceived();
        if (result == ControlStateReplica::ApplyResult::Changed) {
            activate({"peer", {bytes.size(), {}}});
        } else {
            reportPosition();
        }
        if (m_reader && !m_reader->isReceiving()) {
            // The read in flight would deliver records that are already applied.
            m_reader->cancelCall();
            startStoreCall();
        }
    }

    void handleSnapshotRequest(const ControlRequest &request)
    {
        ControlSnapshot snapshot {m_replica.position(), m_replica.state().outOfService(),
                                  m_replica.state().activeConfiguration()};
        request.reply(ControlAnswer {m_activeConfiguration.configuration() ? 200U : 404U,
                                     "application/json", encodeSnapshot(snapshot)});
    }

    Kernel &m_kernel;
    ConfigurationFollowerSettings m_settings;
    ControlStateReplica m_replica;
    StoreSchedule m_schedule;
    StateFetch m_stateFetch;
    ActiveConfiguration m_activeConfiguration;
    std::shared_ptr<const std::vector<Member>> m_members;
    /// Null if the daemon has no store.
    std::unique_ptr<TopicReader> m_reader;
    /// Maximum answer size of the last read of newest records, in bytes.
    std::size_t m_newestMaxBytes = 0;
    /// When a peer first reported a later position; std::nullopt while up to date.
    std::optional<TimePoint> m_behindSince;
    /// Time since m_behindSince after which this daemon reads the store itself.
    Duration m_fallbackDelay {};
    /// Value of the last StoreAccessChanged message.
    bool m_reportedStoreLost = false;
    /// Epoch that the store has named last; std::nullopt if it has named none.
    std::optional<StoreEpoch> m_storeEpoch;
    /// Highest version of a peer that was logged.
    ConfigurationVersion m_loggedPeerVersion = 0;
    /// Role that was logged last: true for a store reader.
    bool m_loggedReadsStore = false;
    /// A fetch from a peer is scheduled.
    bool m_fetchPending = false;
    bool m_stopped = false;
    TimerId m_checkTimer = 0;
    TimerId m_fetchTimer = 0;
    Address<TelemetryMessage> m_telemetry;
    Address<LinksMessage> m_links;
    Address<MembershipMessage> m_membership;
    Mailbox<ConfigurationMessage> m_mailbox;
    Mailbox<PeerRequestReceived> m_stateRequestMailbox;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<ControlRequest> m_snapshotMailbox;
};

} // namespace

std::unique_ptr<Service> makeConfigurationFollower(Kernel &kernel,
                                                   std::shared_ptr<StoreClient> store,
                                                   ConfigurationFollowerSettings settings)
{
    return std::make_unique<ConfigurationFollower>(kernel, std::move(store), std::move(settings));
}

} // namespace Coltsfootwell
