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
/// Delay before a store reader requests a newer control state from a peer, since the store usually
/// delivers the same records within this time.
constexpr milliseconds PeerFetchDelay {250};
/// Age at which a call of a store reader is cancelled if a peer is ahead.
constexpr milliseconds StoreCallTimeout {500};
/// Delay after a state request before the next peer is tried.
constexpr milliseconds PeerRetryDelay {300};
/// Minimum time for which a daemon is behind its peers before it falls back to reading the store
/// itself. Up to half of it is added at random, so that many daemons do not read the store at once.
constexpr milliseconds MinFallbackDelay {1'000};
/// Interval of the periodic check, and of state requests to peers before the first configuration.
constexpr milliseconds CheckInterval {300};

std::string positionText(const StorePosition &position)
{
    return "position=" + std::to_string(position.offset)
        + " epoch=" + std::to_string(position.epoch);
}

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

    void handle(const SubscribeStoreEpoch &subscribe)
    {
        if (m_announcedEpoch) {
            subscribe.subscriber.send({*m_announcedEpoch});
        }
        m_epochSubscribers.push_back(subscribe.subscriber);
    }

    void announceEpoch()
    {
        const StoreEpoch epoch = m_replica.position().epoch;
        if (!hasState() || epoch <= m_announcedEpoch) {
            return;
        }
        m_announcedEpoch = epoch;
        for (const Address<StoreEpochChanged> &subscriber : m_epochSubscribers) {
            subscriber.send({epoch});
        }
    }

    /// Activates the current control state.
    void activate(const ConfigurationSource &source)
    {
        const Duration delay
            = m_behindSince ? now() - *m_behindSince : source.transfer.bodyReceiveTime;
        reportState();
        m_activeConfiguration.activate(m_replica.state(), source, delay);
    }

    void reportState()
    {
        if (!m_stateFetch.isBehind(m_replica.state().summary())) {
            m_behindSince.reset();
        }
        m_membership.send(ControlStateChanged {m_replica.state().summary()});
        announceEpoch();
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
        const StoreCall call = m_schedule.nextCall(hasState(), m_fetchPending, now());
        if (const auto *newest = std::get_if<ReadNewest>(&call)) {
            m_newestMaxBytes = newest->maxBytes;
            m_reader->readNewest(m_newestMaxBytes);
        } else if (const auto *fromPosition = std::get_if<ReadFromPosition>(&call)) {
            m_reader->read(m_replica.position().offset,
                           fromPosition->longPoll ? LongPollTimeout : milliseconds(0));
        }
    }

    void handleNewest(const NewestRecords &newest)
    {
        m_schedule.callAnswered();
        reportStoreAccess();
        const StorePosition end {newest.end, epochOf(newest.epoch, newest.end)};
        if (isOutdated(end)) {
            m_reader->pause();
            return;
        }
        if (newest.ec == ServiceError::AnswerTooLarge) {
            logEvent("configuration.long");
            m_schedule.newestTooLarge(hasState(), m_newestMaxBytes);
        } else {
            m_schedule.stateReceived();
            if (end < m_replica.position()) {
                logEvent("store.endBelowPosition", " end=" + std::to_string(end.offset));
            }
            m_replica.applyNewest(newest, end.epoch) ? activate({"store", newest.transfer})
                                                     : reportState();
        }
        startStoreCall();
    }

    void handleRecords(const RecordsRead &read)
    {
        m_schedule.callAnswered();
        reportStoreAccess();
        const StorePosition end {read.end, epochOf(read.epoch, read.end)};
        if (isOutdated(end)) {
            m_reader->pause();
            return;
        }
        if (read.ec == ServiceError::HistoryLost || !continuesPosition(read, end.epoch)) {
            logHistoryLost(read);
            m_schedule.historyLost();
            startStoreCall();
            return;
        }
        if (const unsigned changes = m_replica.applyRecords(read); changes > 0) {
            activate({"store", read.transfer, changes - 1});
        } else {
            reportState();
        }
        if (end > m_replica.position()) {
            m_schedule.moreRecordsAvailable(read.records.size(), read.transfer.bytes);
        }
        startStoreCall();
    }

    void handleReadFailure(StoreCallFailure failure)
    {
        m_schedule.callFailed(failure, hasState(), now());
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
        m_telemetry.send(LogEvent {event, "", positionText(m_replica.position()) + fields});
    }

    void logHistoryLost(const RecordsRead &read)
    {
        logEvent("store.historyLost",
                 " firstRetained=" + numberText(read.firstRetained)
                     + " storeEpoch=" + numberText(read.epoch)
                     + " version=" + std::to_string(m_replica.state().version()));
    }

    bool hasState() const { return m_replica.state().hasPosition(); }

    /// \param named epoch that an answer of the store names.
    /// \param end end offset that the answer names.
    /// \return epoch of the answer; if it names none, that of the position. Logs each new epoch.
    StoreEpoch epochOf(std::optional<StoreEpoch> named, std::uint64_t end)
    {
        if (named && named > m_storeEpoch) {
            logEvent("store.epoch",
                     " storeEpoch=" + numberText(named) + " end=" + std::to_string(end));
            m_storeEpoch = named;
            m_telemetry.send(SetGauge {"store_epoch", "", static_cast<double>(*named)});
        } else if (!named && m_storeEpoch) {
            logEvent("store.epochMissing");
        }
        return named.value_or(m_replica.position().epoch);
    }

    /// \return true if an answer of the store is of an earlier epoch than the position, such as one
    /// that was under way when the store came back from a copy.
    bool isOutdated(const StorePosition &end)
    {
        if (end.epoch >= m_replica.position().epoch) {
            return false;
        }
        logEvent("store.answerOutdated", " storeEpoch=" + std::to_string(end.epoch));
        return true;
    }

    /// \return true if the records follow the position. In a later epoch, other records have the
    /// same offsets; and the position has gone back if the state of an earlier origin was adopted.
    bool continuesPosition(const RecordsRead &read, StoreEpoch epoch) const
    {
        const StorePosition &position = m_replica.position();
        return epoch == position.epoch && read.next - read.records.size() <= position.offset;
    }

    /// Logs that a peer holds a higher version than this daemon, once for each version.
    void logNewerAtPeer(const PeerStateReported &report)
    {
        if (report.state.version <= std::max(m_replica.state().version(), m_loggedPeerVersion)) {
            return;
        }
        m_loggedPeerVersion = report.state.version;
        logEvent("configuration.newerAtPeer",
                 " version=" + std::to_string(m_replica.state().version()) + " peer="
                     + report.peer.name + " peerVersion=" + std::to_string(report.state.version)
                     + " peerPosition=" + std::to_string(report.state.position.offset)
                     + " peerEpoch=" + std::to_string(report.state.position.epoch));
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
        if (!isAhead(report.state, m_replica.state().summary())) {
            return;
        }
        if (!m_behindSince) {
            m_behindSince = now();
            m_fallbackDelay = MinFallbackDelay
                + milliseconds(m_kernel.random().below(MinFallbackDelay.count() / 2));
        }
        m_stateFetch.stateReported(report.endpoint, report.state);
        if (!std::exchange(m_fetchPending, true)) {
            // A store reader usually gets later records from the store shortly afterwards. What a
            // peer holds beyond its position may be lost there.
            const bool isDelivered = m_reader && m_schedule.readsStore(now())
                && report.state.position > m_replica.position();
            scheduleFetch(isDelivered ? Duration(PeerFetchDelay) : Duration());
        }
    }

    void scheduleFetch(Duration delay)
    {
        m_fetchTimer = m_kernel.executor().scheduleAfter(delay, [this] {
            m_fetchPending = false;
            if (!m_stopped && m_stateFetch.isBehind(m_replica.state().summary())) {
                fetchFromPeer();
            }
        });
    }

    /// Requests the control state from a peer that is ahead, and detects a store call that hangs.
    void fetchFromPeer()
    {
        m_fetchPending = true;
        const bool isReceiving = m_reader && m_reader->isReceiving();
        scheduleFetch(isReceiving ? PeerFetchDelay : PeerRetryDelay);
        if (isReceiving) {
            // A request would transfer the same bytes a second time over the same links.
            return;
        }
        const auto endpoint = m_stateFetch.nextPeer(m_replica.state().summary());
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
            m_reader->read(m_replica.position().offset, milliseconds(0));
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
        const StorePosition before = m_replica.position();
        const auto result
            = answer ? m_replica.applyAnswer(*answer) : ControlStateReplica::ApplyResult::Ignored;
        if (result == ControlStateReplica::ApplyResult::Ignored
            || result == ControlStateReplica::ApplyResult::Unusable) {
            return;
        }
        if (result == ControlStateReplica::ApplyResult::Changed) {
            activate({"peer", {bytes.size(), {}}});
        } else {
            reportState();
        }
        if (m_replica.position() == before) {
            return;
        }
        m_schedule.stateReceived();
        if (m_reader && !m_reader->isReceiving()) {
            // The read in flight does not continue from the position.
            m_reader->cancelCall();
            startStoreCall();
        }
    }

    void handleSnapshotRequest(const ControlRequest &request)
    {
        ControlSnapshot snapshot {m_replica.position(),
                                  m_replica.state().availability().outOfService(),
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
    /// When a peer was first ahead; std::nullopt while up to date.
    std::optional<TimePoint> m_behindSince;
    /// Time since m_behindSince after which this daemon reads the store itself.
    Duration m_fallbackDelay {};
    /// Value of the last StoreAccessChanged message.
    bool m_reportedStoreLost = false;
    /// Latest epoch that the store has named; std::nullopt if it has named none.
    std::optional<StoreEpoch> m_storeEpoch;
    /// Epoch that the subscribers know; std::nullopt before the first state.
    std::optional<StoreEpoch> m_announcedEpoch;
    std::vector<Address<StoreEpochChanged>> m_epochSubscribers;
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
