#include "services/ConfigurationService.h"

#include "decisions/Freshness.h"
#include "decisions/Rendezvous.h"
#include "services/ConfigurationMessages.h"
#include "services/ControlMessages.h"
#include "services/MemberRecords.h"
#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/SnapshotFetcher.h"
#include "services/TelemetryMessages.h"
#include "wire/ConfigurationRecordJson.h"
#include "wire/StatusJson.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ReadPeriod {250};
constexpr std::chrono::seconds LogTimeout {1};
constexpr std::uint32_t RecordsPerRead = 100;
/// Least frequent report of a log reader to "membership".
constexpr std::chrono::milliseconds EvidencePeriod {100};
/// Ticks of EvidencePeriod between looks at checkpoints, gauges and missing snapshots.
constexpr unsigned TicksPerReview = 10;
constexpr std::chrono::seconds CheckpointRetryDelay {1};
/// Evidence moves with each read and each ping; subscribers need not hear of every step.
constexpr std::chrono::milliseconds FreshUntilStep {200};
/// Peers asked for their snapshots in one review.
constexpr std::size_t PeersPerReview = 2;

class ConfigurationService final : public Service
{
public:
    ConfigurationService(Kernel &kernel, boost::asio::io_context &context,
                         ConfigurationSettings settings, std::unique_ptr<LogClient> log)
        : m_kernel(kernel), m_settings(std::move(settings)), m_log(std::move(log)),
          m_fold(m_settings.retention, kernel.random(), kernel.executor().now()),
          m_freshness(m_settings.self.name, m_settings.region),
          m_fetcher(context, kernel.executor(),
                    [this](const ConfigurationSnapshot &snapshot) {
                        carryOut(m_fold.learn(snapshot));
                        update();
                    }),
          m_mailbox(kernel.executor(),
                    [this](ConfigurationMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_membersMailbox(kernel.executor(),
                           [this](const MembersChanged &news) { handleMembers(news); }),
          m_snapshotMailbox(kernel.executor(),
                            [this](const ControlRequest &request) { sendSnapshot(request); }),
          m_statusMailbox(kernel.executor(),
                          [this](const ControlRequest &request) { sendStatus(request); })
    {
        Directory &directory = kernel.directory();
        directory.publish(name(), m_mailbox.address());
        directory.publish(ServiceName::control("snapshot"), m_snapshotMailbox.address());
        directory.publish(ServiceName::control("status"), m_statusMailbox.address());
        if (m_settings.initial) {
            m_fold.begin(m_settings.initial);
            m_freshness.inForce(*m_settings.initial);
        }
    }

    std::string_view name() const override { return ServiceName::Configuration; }

    std::error_code start() override
    {
        std::error_code ec;
        const Directory &directory = m_kernel.directory();
        m_telemetry = directory.find<TelemetryMessage>(ServiceName::Telemetry, ec);
        m_membership = directory.find<MembershipMessage>(ServiceName::Membership, ec);
        if (ec) {
            return ec;
        }
        m_membership.send(SubscribeMembers {m_membersMailbox.address()});
        if (m_log) {
            startMemberRecords();
            readLog();
        }
        tick();
        return {};
    }

    void stop(Task done) override
    {
        for (const TimerId timer : {m_readTimer, m_tickTimer, m_freshTimer, m_checkpointTimer}) {
            m_kernel.executor().cancel(timer);
        }
        m_fetcher.stop();
        m_memberRecords.reset();
        m_log.reset();
        done();
    }

private:
    TimePoint now() const { return m_kernel.executor().now(); }

    void tell(const Address<ConfigurationChanged> &subscriber, ConfigurationChanged news) const
    {
        if (m_settings.filter) {
            m_settings.filter(news);
        }
        subscriber.send(std::move(news));
    }

    void handle(SubscribeConfiguration subscribe)
    {
        if (const auto &configuration = m_fold.state().configuration) {
            const auto until = freshUntil();
            tell(subscribe.subscriber, {configuration, until.has_value(), until.value_or(now())});
        }
        m_subscribers.push_back(std::move(subscribe.subscriber));
    }

    void handle(const VersionSeen &seen)
    {
        if (seen.version > m_fold.version()) {
            m_fetcher.fetch({seen.address, seen.port});
        }
    }

    void handle(const PeerEvidence &evidence)
    {
        m_freshness.peerAnswered({evidence.peer.name, evidence.region, evidence.asked,
                                  evidence.version, evidence.fresh, evidence.logReachable});
        const bool coversGap = !m_fold.isExact() && evidence.version == m_fold.version();
        if (evidence.version > m_fold.version() || coversGap) {
            m_fetcher.fetch(evidence.endpoint);
        }
        update();
    }

    void handle(const PingEvidence &ping)
    {
        m_freshness.pingEnded(ping.asked, ping.answered);
        update();
    }

    void handleMembers(const MembersChanged &news)
    {
        m_members = news.members;
        m_freshness.membersChanged(*m_members);
        const auto readers = logReaders(*m_members, m_settings.dataCentre);
        const bool wasReader = m_reader;
        m_reader = std::ranges::any_of(readers, [this](const Member *member) {
            return member->id.name == m_settings.self.name;
        });
        if (m_reader && !wasReader) {
            readLog();
        }
        askPeers();
        update();
    }

    void startMemberRecords()
    {
        m_memberRecords = std::make_unique<MemberRecords>(
            m_kernel.executor(), *m_log, MemberRecord {m_settings.self, m_settings.endpoint},
            m_settings.retention.time / 3, [this](std::vector<Endpoint> endpoints) {
                m_membership.send(SeedsLearned {std::move(endpoints)});
            });
        m_memberRecords->start();
    }

    /// Every daemon reads the log once; afterwards only log readers do.
    void readLog()
    {
        if (!m_log || m_reading || (m_readOnce && !m_reader)) {
            return;
        }
        m_reading = true;
        m_asked = now();
        m_kernel.executor().cancel(m_readTimer);
        m_telemetry.send(CountEvent {"log_reads_total", "configuration"});
        m_log->read(ConfigurationStream, m_fold.readOffset(), RecordsPerRead, ReadPeriod,
                    LogTimeout, [this](ReadResult result) { logAnswered(std::move(result)); });
    }

    void logAnswered(ReadResult result)
    {
        m_reading = false;
        if (result.ec) {
            m_freshness.logFailed(m_asked);
            m_telemetry.send(CountEvent {"log_failures_total", "read"});
            readAgainAt(now() + ReadPeriod);
            update();
            return;
        }
        const bool some = !result.part.records.empty();
        std::vector<ConfigurationEntry> entries;
        entries.reserve(result.part.records.size());
        for (const LogRecord &record : result.part.records) {
            entries.push_back({record.offset, decodeRecord(record.content)});
        }
        // The evidence of this read counts for its own records, so subscribers hear of both at
        // once.
        applyAll(m_fold.read({result.part.first, result.part.next, entries}, now()));
        const bool complete = m_fold.readOffset() == result.part.next;
        m_readOnce = m_readOnce || complete;
        m_freshness.logRead(m_asked, complete && m_fold.isExact());
        readAgainAt(some || !complete ? now() : m_asked + ReadPeriod);
        update();
    }

    void readAgainAt(TimePoint time)
    {
        m_readTimer = m_kernel.executor().after(time - now(), [this] { readLog(); });
    }

    /// The caller calls update() once it has stored the evidence for the version that came into
    /// force, since the evidence for the version before no longer counts.
    void carryOut(std::span<const FoldOutput> outputs)
    {
        applyAll(outputs);
        update();
    }

    void applyAll(std::span<const FoldOutput> outputs)
    {
        // The fold reuses the memory of its outputs.
        const std::vector<FoldOutput> kept(outputs.begin(), outputs.end());
        for (const FoldOutput &output : kept) {
            std::visit([this](const auto &body) { apply(body); }, output);
        }
    }

    void apply(const VersionInForce &inForce)
    {
        m_freshness.inForce(*inForce.configuration);
        const std::string version = std::to_string(inForce.configuration->version);
        const std::string author = m_fold.author().empty() ? "" : " by " + m_fold.author();
        m_telemetry.send(StateChanged {name(), "version " + version + " in force" + author});
        reportGauges();
    }

    void apply(const RecordRejected &rejected)
    {
        m_telemetry.send(CountEvent {"configuration_records_rejected_total",
                                     std::string(nameOf(rejected.fault))});
    }

    /// The next read begins at the fold's read offset anyway.
    void apply(const ReadFrom &) { }

    /// The log has lost the stream "members" as well.
    void apply(const LogLost &)
    {
        m_telemetry.send(StateChanged {name(), "the log has lost its records"});
        m_memberRecords->start();
    }

    void apply(const AppendCheckpoint &append)
    {
        if (!m_log) {
            return;
        }
        const std::string id = m_settings.self.name + "/checkpoint/"
            + std::to_string(append.checkpoint.snapshot.version);
        m_log->append(ConfigurationStream, id, encodeRecord(append.checkpoint), LogTimeout,
                      [this, append](AppendResult result) {
                          m_telemetry.send(
                              result.ec ? CountEvent {"log_failures_total", "append"}
                                        : CountEvent {"configuration_checkpoints_total", ""});
                          if (result.ec) {
                              // A second or late checkpoint does no harm.
                              m_checkpointTimer = m_kernel.executor().after(
                                  CheckpointRetryDelay, [this, append] { apply(append); });
                          }
                      });
    }

    /// The version of a daemon without a log is always fresh.
    std::optional<TimePoint> freshUntil() const
    {
        return m_log ? m_freshness.freshUntil(now()) : TimePoint::max();
    }

    bool mustTell(bool fresh, TimePoint until) const
    {
        return fresh != m_toldFresh || m_fold.state().configuration != m_told
            || (fresh && (until < m_toldUntil || until - m_toldUntil >= FreshUntilStep));
    }

    /// Tells subscribers and "membership" what has changed since the last time.
    void update()
    {
        const auto freshEnd = freshUntil();
        const bool fresh = freshEnd.has_value();
        const TimePoint until = freshEnd.value_or(now());
        const ConfigurationPtr &configuration = m_fold.state().configuration;
        if (configuration && mustTell(fresh, until)) {
            if (fresh != m_toldFresh) {
                m_telemetry.send(StateChanged {
                    name(), fresh ? "configuration is fresh" : "configuration is stale"});
            }
            m_toldFresh = fresh;
            m_toldUntil = until;
            m_told = configuration;
            for (const auto &subscriber : m_subscribers) {
                tell(subscriber, {configuration, fresh, until});
            }
        }
        sendEvidence(false);
        m_kernel.executor().cancel(m_freshTimer);
        if (const auto next = m_freshness.nextChange(now()); next && m_log) {
            m_freshTimer = m_kernel.executor().after(*next - now(), [this] { update(); });
        }
    }

    void sendEvidence(bool always)
    {
        const LogEvidence evidence {m_fold.version(), m_freshness.freshAt(),
                                    m_freshness.logReachable(now()), m_freshness.logRegion()};
        if (always || evidence.version != m_evidence.version || evidence.fresh != m_evidence.fresh
            || evidence.logReachable != m_evidence.logReachable
            || evidence.logRegion != m_evidence.logRegion) {
            m_evidence = evidence;
            m_membership.send(evidence);
        }
    }

    void tick()
    {
        sendEvidence(m_reader);
        if (++m_ticks % TicksPerReview == 0) {
            review();
        }
        m_tickTimer = m_kernel.executor().after(EvidencePeriod, [this] { tick(); });
    }

    void review()
    {
        reportGauges();
        if (m_reader && m_readOnce) {
            carryOut(m_fold.tick(now()));
            update();
        }
        askPeers();
    }

    /// Asks some peers while nothing is known, or while a gap keeps publishes from counting.
    void askPeers()
    {
        if (!m_members || m_members->empty() || !m_log
            || (m_fold.state().configuration && m_fold.isExact())) {
            return;
        }
        for (std::size_t i = 0; i < PeersPerReview; ++i) {
            const Member &peer = (*m_members)[m_kernel.random().below(m_members->size())];
            if (peer.id.name != m_settings.self.name && peer.state == MemberState::Alive) {
                m_fetcher.fetch(peer.endpoint);
            }
        }
    }

    std::optional<double> ageSeconds() const
    {
        const auto fresh = m_freshness.freshAt();
        return fresh ? std::optional(std::chrono::duration<double>(now() - *fresh).count())
                     : std::nullopt;
    }

    void reportGauges()
    {
        m_telemetry.send(
            SetGauge {"configuration_version", "", static_cast<double>(m_fold.version())});
        if (const auto age = ageSeconds()) {
            m_telemetry.send(SetGauge {"configuration_age_seconds", "", *age});
        }
    }

    void sendSnapshot(const ControlRequest &request)
    {
        request.reply(ControlAnswer {200, "application/json", encodeSnapshot(m_fold.state())});
    }

    void sendStatus(const ControlRequest &request)
    {
        DaemonStatus status;
        status.id = m_settings.self;
        status.region = m_settings.region;
        status.dataCentre = m_settings.dataCentre;
        status.version = m_fold.version();
        status.fresh = freshUntil().has_value();
        if (const auto fresh = m_freshness.freshAt()) {
            status.age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - *fresh);
        }
        status.logReachable = m_freshness.logReachable(now());
        status.logReader = m_reader;
        request.reply(ControlAnswer {200, "application/json", encodeStatus(status)});
    }

    Kernel &m_kernel;
    ConfigurationSettings m_settings;
    std::unique_ptr<LogClient> m_log;
    ConfigurationFold m_fold;
    Freshness m_freshness;
    SnapshotFetcher m_fetcher;
    std::unique_ptr<MemberRecords> m_memberRecords;
    std::shared_ptr<const std::vector<Member>> m_members;
    std::vector<Address<ConfigurationChanged>> m_subscribers;
    Address<TelemetryMessage> m_telemetry;
    Address<MembershipMessage> m_membership;
    LogEvidence m_evidence;
    ConfigurationPtr m_told;
    bool m_toldFresh = false;
    TimePoint m_toldUntil {};
    bool m_reader = false;
    bool m_readOnce = false;
    bool m_reading = false;
    TimePoint m_asked;
    unsigned m_ticks = 0;
    TimerId m_readTimer = 0;
    TimerId m_tickTimer = 0;
    TimerId m_freshTimer = 0;
    TimerId m_checkpointTimer = 0;
    Mailbox<ConfigurationMessage> m_mailbox;
    Mailbox<MembersChanged> m_membersMailbox;
    Mailbox<ControlRequest> m_snapshotMailbox;
    Mailbox<ControlRequest> m_statusMailbox;
};

} // namespace

std::unique_ptr<Service> makeConfigurationService(Kernel &kernel, boost::asio::io_context &context,
                                                  ConfigurationSettings settings,
                                                  std::unique_ptr<LogClient> log)
{
    return std::make_unique<ConfigurationService>(kernel, context, std::move(settings),
                                                  std::move(log));
}

} // namespace Coltsfootwell
