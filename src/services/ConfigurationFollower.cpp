#include "services/ConfigurationFollower.h"

#include "services/CallMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/ControlMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"
#include "wire/ControlSnapshot.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest wait of one read. A silent connection is noticed by what other daemons know.
constexpr milliseconds ReadWait {20'000};
constexpr milliseconds ShortestRetry {100};
constexpr milliseconds LongestRetry {1'000};
/// A daemon that knows more is asked when the store has not told the same in this time.
constexpr milliseconds PeerLead {250};
/// Between questions to other daemons while nothing is known.
constexpr milliseconds AskPeriod {300};

/// \brief Where a state came from, for the log.
struct StateOrigin
{
    std::string_view source;
    AnswerTransfer transfer;
    /// Versions that came with it and were replaced by later ones.
    unsigned superseded = 0;
};

class ConfigurationFollower final : public Service
{
public:
    ConfigurationFollower(Kernel &kernel, std::shared_ptr<StoreClient> store,
                          ConfigurationSettings settings)
        : m_kernel(kernel), m_store(std::move(store)), m_settings(std::move(settings)),
          m_state(m_settings.dataCentres),
          m_mailbox(kernel.executor(),
                    [this](ConfigurationMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_askMailbox(kernel.executor(), [this](const PeerAsks &ask) { answerPeer(ask); }),
          m_membersMailbox(kernel.executor(),
                           [this](MembersChanged news) { m_members = std::move(news.members); }),
          m_showMailbox(kernel.executor(), [this](const ControlRequest &request) { show(request); })
    {
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
        readFile();
        if (m_store) {
            readNewest("");
            askWhileUnknown();
        }
        return {};
    }

    void stop(Task done) override
    {
        m_stopped = true;
        m_kernel.executor().cancel(m_timer);
        m_kernel.executor().cancel(m_askTimer);
        if (m_store) {
            m_store->stop();
        }
        done();
    }

private:
    // Subscribers.

    void handle(const SubscribeConfiguration &subscribe)
    {
        m_subscribers.push_back(subscribe.subscriber);
        subscribe.subscriber.send(ConfigurationChanged {m_inForce});
    }

    void handle(const ReloadConfiguration &) { readFile(); }

    /// Puts the present state in force.
    void publish(const StateOrigin &origin)
    {
        const Duration waited
            = m_behindSince ? m_kernel.executor().now() - *m_behindSince : origin.transfer.arrival;
        m_behindSince.reset();
        m_telemetry.send(
            ObserveTime {"configuration_delay_seconds", std::string(origin.source), waited});
        m_inForce = filtered(m_state.inForce());
        tellPosition();
        if (!m_inForce) {
            return;
        }
        std::string out;
        for (const std::string &dataCentre : m_state.out()) {
            out += (out.empty() ? "" : ",") + dataCentre;
        }
        m_telemetry.send(LogEvent {
            "configuration.inForce", "",
            "version=" + std::to_string(m_inForce->version)
                + " position=" + std::to_string(m_state.position())
                + " out=" + (out.empty() ? "none" : out) + " source=" + std::string(origin.source)
                + " bytes=" + std::to_string(origin.transfer.bytes)
                + " arrivalMs=" + inMs(origin.transfer.arrival) + " waitedMs=" + inMs(waited)
                + " superseded=" + std::to_string(origin.superseded)});
        m_telemetry.send(
            SetGauge {"configuration_version", "", static_cast<double>(m_inForce->version)});
        for (const auto &subscriber : m_subscribers) {
            subscriber.send(ConfigurationChanged {m_inForce});
        }
    }

    static std::string inMs(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
    }

    void countBytes(std::string_view source, std::size_t bytes)
    {
        m_telemetry.send(CountEvent {"configuration_bytes_total", std::string(source),
                                     static_cast<double>(bytes)});
    }

    ConfigurationPtr filtered(ConfigurationPtr configuration) const
    {
        if (!m_settings.filter || !configuration) {
            return configuration;
        }
        auto changed = std::make_shared<Configuration>(*configuration);
        m_settings.filter(*changed);
        return changed;
    }

    void tellPosition() { m_membership.send(ConfigurationKnown {m_state.position()}); }

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
        if (apply(ownControlFormat().decode(OwnConfigurationKey, text.str()), "file")) {
            publish({"file", {text.str().size(), {}}});
        }
    }

    // The store.

    void readNewest(const std::string &after)
    {
        if (after.empty()) {
            m_newestOut.clear();
        }
        m_store->newest(m_settings.format->topic(), after,
                        [this](const NewestRecords &newest) { newestRead(newest); });
    }

    void newestRead(const NewestRecords &newest)
    {
        if (m_stopped) {
            return;
        }
        if (newest.ec) {
            storeFailed(newest.ec);
            return;
        }
        storeAnswered();
        countBytes("store", newest.transfer.bytes);
        bool changed = false;
        for (const StoreRecord &record : newest.records) {
            ControlRecord decoded = m_settings.format->decode(record.key, record.value);
            if (const auto *out = std::get_if<DataCentreTakenOut>(&decoded)) {
                if (out->out) {
                    m_newestOut.insert(out->dataCentre);
                }
            } else {
                changed = apply(std::move(decoded), record.key) || changed;
            }
        }
        if (newest.hasMore && !newest.records.empty()) {
            m_newestChanged = m_newestChanged || changed;
            readNewest(newest.records.back().key);
            return;
        }
        if (newest.end >= m_state.position()) {
            changed = m_state.replaceOut(m_newestOut) || changed;
        }
        m_state.reached(newest.end);
        m_readFrom = newest.end;
        if (std::exchange(m_newestChanged, false) || changed) {
            publish({"store", newest.transfer});
        } else {
            tellPosition();
        }
        readOn();
    }

    void readOn()
    {
        m_store->read(m_settings.format->topic(), m_readFrom, ReadWait,
                      [this](const RecordsRead &read) { recordsRead(read); });
    }

    void recordsRead(const RecordsRead &read)
    {
        if (m_stopped) {
            return;
        }
        if (read.ec == ServiceError::HistoryLost) {
            m_telemetry.send(
                LogEvent {"store.historyLost", "", "position=" + std::to_string(m_readFrom)});
            readNewest("");
            return;
        }
        if (read.ec) {
            storeFailed(read.ec);
            return;
        }
        storeAnswered();
        countBytes("store", read.transfer.bytes);
        unsigned changes = 0;
        for (const StoreRecord &record : read.records) {
            // A state that another daemon has told may already hold the record.
            if (record.offset >= m_state.position()
                && apply(m_settings.format->decode(record.key, record.value), record.key)) {
                ++changes;
            }
        }
        m_readFrom = std::max(m_readFrom, read.next);
        m_state.reached(read.next);
        if (changes > 0) {
            publish({"store", read.transfer, changes - 1});
        } else {
            tellPosition();
        }
        readOn();
    }

    bool apply(ControlRecord record, std::string_view source)
    {
        if (auto *published = std::get_if<ConfigurationPublished>(&record)) {
            const ConfigurationVersion version = published->configuration->version;
            const bool newer = m_state.published(std::move(published->configuration));
            if (!newer) {
                m_telemetry.send(LogEvent {"configuration.outdated", "",
                                           "version=" + std::to_string(version)
                                               + " inForce=" + std::to_string(m_state.version())});
            }
            return newer;
        }
        if (const auto *out = std::get_if<DataCentreTakenOut>(&record)) {
            return m_state.tookOut(out->dataCentre, out->out);
        }
        if (const auto *malformed = std::get_if<MalformedRecord>(&record)) {
            m_telemetry.send(
                LogEvent {"configuration.malformed", "",
                          "record=" + std::string(source) + " " + faultLine(malformed->fault)});
        }
        return false;
    }

    void storeAnswered()
    {
        m_retry = ShortestRetry;
        if (!std::exchange(m_storeAnswers, true)) {
            m_telemetry.send(LogEvent {"store.regained", "", ""});
        }
    }

    void storeFailed(std::error_code ec)
    {
        m_telemetry.send(CountEvent {"store_failures_total", ec.message()});
        if (std::exchange(m_storeAnswers, false)) {
            m_telemetry.send(LogEvent {"store.lost", "", "error=" + ec.message()});
            tellPosition();
        }
        m_kernel.executor().cancel(m_timer);
        m_timer = m_kernel.executor().after(
            m_retry + milliseconds(m_kernel.random().below(ShortestRetry.count())),
            [this] { readNewest(""); });
        m_retry = std::min(m_retry * 2, LongestRetry);
    }

    // Other daemons.

    /// A peer knows more. The store usually tells the same a moment later.
    void handle(const PeerEvidence &evidence)
    {
        if (evidence.position <= m_state.position()) {
            return;
        }
        if (!m_behindSince) {
            m_behindSince = m_kernel.executor().now();
        }
        if (m_askPending) {
            return;
        }
        m_askPending = true;
        m_kernel.executor().after(PeerLead, [this, evidence] {
            m_askPending = false;
            if (m_stopped || evidence.position <= m_state.position()) {
                return;
            }
            if (m_store && m_store->receiving()) {
                // Asking now would bring the same bytes a second time over the same links.
                handle(evidence);
                return;
            }
            askPeer(evidence.endpoint);
            if (m_store && m_storeAnswers) {
                // The read that should have told has gone silent.
                m_telemetry.send(
                    LogEvent {"store.silent", "",
                              "position=" + std::to_string(m_state.position())
                                  + " peerPosition=" + std::to_string(evidence.position)});
                m_store->stop();
                readNewest("");
            }
        });
    }

    void askWhileUnknown()
    {
        m_askTimer = m_kernel.executor().after(AskPeriod, [this] { askWhileUnknown(); });
        if (m_inForce || !m_members) {
            return;
        }
        std::vector<Endpoint> others;
        for (const Member &member : *m_members) {
            if (member.state == MemberState::Alive) {
                others.push_back(member.endpoint);
            }
        }
        if (!others.empty()) {
            askPeer(others[m_kernel.random().below(others.size())]);
        }
    }

    void askPeer(const Endpoint &endpoint)
    {
        AskPeer ask;
        ask.endpoint = endpoint;
        ask.subject = ExchangeSubject::ControlState;
        ask.reply = Reply<std::string>(m_kernel.executor(),
                                       [this](const std::optional<std::string> &bytes) {
                                           if (bytes && !m_stopped) {
                                               learnFromPeer(*bytes);
                                           }
                                       });
        m_links.send(std::move(ask));
    }

    void answerPeer(const PeerAsks &ask)
    {
        ControlSnapshot snapshot;
        snapshot.position = m_state.position();
        snapshot.out = m_state.out();
        if (const ConfigurationPtr inForce = m_state.inForce()) {
            snapshot.configuration = inForce;
        }
        ask.reply(encodeSnapshot(snapshot));
    }

    void learnFromPeer(std::string_view bytes)
    {
        countBytes("peer", bytes.size());
        const auto snapshot = decodeSnapshot(bytes);
        if (!snapshot || snapshot->position <= m_state.position() || !snapshot->configuration) {
            return;
        }
        const bool newer = m_state.published(snapshot->configuration);
        const bool outChanged = m_state.replaceOut(snapshot->out);
        m_state.reached(snapshot->position);
        if (newer || outChanged) {
            publish({"peer", {bytes.size(), {}}});
        }
    }

    void show(const ControlRequest &request)
    {
        ControlSnapshot snapshot {m_state.position(), m_state.out(), m_state.inForce()};
        request.reply(
            ControlAnswer {m_inForce ? 200U : 404U, "application/json", encodeSnapshot(snapshot)});
    }

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
    ConfigurationSettings m_settings;
    ControlState m_state;
    ConfigurationPtr m_inForce;
    std::vector<Address<ConfigurationChanged>> m_subscribers;
    std::shared_ptr<const std::vector<Member>> m_members;
    /// Data centres that are out, while pages of the newest records are read.
    std::set<std::string> m_newestOut;
    bool m_newestChanged = false;
    std::uint64_t m_readFrom = 0;
    bool m_storeAnswers = false;
    milliseconds m_retry = ShortestRetry;
    TimerId m_timer = 0;
    TimerId m_askTimer = 0;
    bool m_askPending = false;
    /// Since another daemon is known to know more.
    std::optional<TimePoint> m_behindSince;
    bool m_stopped = false;
    Address<TelemetryMessage> m_telemetry;
    Address<LinksMessage> m_links;
    Address<MembershipMessage> m_membership;
    Mailbox<ConfigurationMessage> m_mailbox;
    Mailbox<PeerAsks> m_askMailbox;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<ControlRequest> m_showMailbox;
};

} // namespace

std::unique_ptr<Service> makeConfiguration(Kernel &kernel, std::shared_ptr<StoreClient> store,
                                           ConfigurationSettings settings)
{
    return std::make_unique<ConfigurationFollower>(kernel, std::move(store), std::move(settings));
}

} // namespace Coltsfootwell
