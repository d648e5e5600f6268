#include "programs/OperatorSession.h"

#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"
#include "services/HttpFetch.h"
#include "services/LogClient.h"
#include "services/MemberRecords.h"
#include "services/ServiceError.h"
#include "wire/ConfigurationRecordJson.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <random>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::seconds LogTimeout {2};
constexpr std::uint32_t RecordsPerRead = 200;
/// Reads that look for a record whose append was not answered.
constexpr unsigned LookTries = 10;
constexpr std::chrono::milliseconds LookPause {300};

std::uint64_t seedFromDevice()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string idOf(const ConfigurationRecord &record)
{
    if (const auto *publish = std::get_if<PublishRecord>(&record)) {
        return publish->id;
    }
    const auto *checkpoint = std::get_if<CheckpointRecord>(&record);
    return checkpoint ? checkpoint->id : std::string();
}

ConfigurationVersion versionOf(const ConfigurationRecord &record)
{
    if (const auto *publish = std::get_if<PublishRecord>(&record)) {
        return publish->version;
    }
    const auto *checkpoint = std::get_if<CheckpointRecord>(&record);
    return checkpoint ? checkpoint->snapshot.version : 0;
}

} // namespace

struct OperatorSession::Runtime
{
    explicit Runtime(const std::string &address)
        : random(seedFromDevice()), log(makeGrpcLogClient(executor, address))
    {
    }

    /// Runs handlers until one of them gives the value.
    template <typename Value>
    Value wait(const std::function<void(std::function<void(Value)>)> &start)
    {
        auto result = std::make_shared<std::optional<Value>>();
        start([result](Value value) { *result = std::move(value); });
        while (!*result) {
            context.run_one();
        }
        return std::move(**result);
    }

    boost::asio::io_context context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard
        = boost::asio::make_work_guard(context);
    AsioExecutor executor {context};
    SeededRandom random;
    std::unique_ptr<LogClient> log;
};

OperatorSession::OperatorSession(const std::string &logAddress)
    : m_runtime(std::make_unique<Runtime>(logAddress)),
      m_fold({}, m_runtime->random, m_runtime->executor.now())
{
}

OperatorSession::~OperatorSession() = default;

void OperatorSession::fold(std::error_code &ec)
{
    while (foldOnce(ec) && !ec) { }
    if (!ec && !m_fold.isExact()) {
        learnFromDaemons();
        while (foldOnce(ec) && !ec) { }
    }
}

/// \return true when there is more to read.
bool OperatorSession::foldOnce(std::error_code &ec)
{
    Runtime &runtime = *m_runtime;
    const ReadResult result = runtime.wait<ReadResult>([&](std::function<void(ReadResult)> done) {
        runtime.log->read(ConfigurationStream, m_fold.readOffset(), RecordsPerRead,
                          std::chrono::milliseconds(0), LogTimeout, std::move(done));
    });
    ec = result.ec;
    if (ec) {
        return false;
    }
    std::vector<ConfigurationEntry> entries;
    for (const LogRecord &record : result.part.records) {
        entries.push_back({record.offset, decodeRecord(record.content)});
        m_highest = std::max(m_highest, versionOf(entries.back().record));
        m_wantedSeen
            = m_wantedSeen || (!m_wantedId.empty() && idOf(entries.back().record) == m_wantedId);
    }
    const auto outputs
        = m_fold.read({result.part.first, result.part.next, entries}, runtime.executor.now());
    for (const FoldOutput &output : outputs) {
        const auto *rejected = std::get_if<RecordRejected>(&output);
        if (rejected && !m_wantedId.empty() && rejected->id == m_wantedId) {
            m_wantedRejected = *rejected;
        }
    }
    return m_fold.readOffset() < result.part.next;
}

void OperatorSession::learnFromDaemons()
{
    Runtime &runtime = *m_runtime;
    std::error_code ec;
    const std::vector<Endpoint> endpoints = daemons(ec);
    for (const Endpoint &endpoint : endpoints) {
        const auto text = runtime.wait<std::optional<std::string>>(
            [&](std::function<void(std::optional<std::string>)> done) {
                fetchControl(runtime.context, runtime.executor, endpoint, "snapshot",
                             std::move(done));
            });
        if (const auto snapshot = text ? decodeSnapshot(*text) : std::nullopt) {
            m_highest = std::max(m_highest, snapshot->version);
            m_fold.learn(*snapshot);
        }
        if (m_fold.isExact()) {
            return;
        }
    }
}

RecordOutcome OperatorSession::append(const std::string &id, const std::string &content,
                                      std::error_code &ec)
{
    Runtime &runtime = *m_runtime;
    const AppendResult result
        = runtime.wait<AppendResult>([&](std::function<void(AppendResult)> done) {
              runtime.log->append(ConfigurationStream, id, content, LogTimeout, std::move(done));
          });
    ec = result.ec;
    if (ec && !result.maybeAppended) {
        return {};
    }
    m_wantedId = id;
    m_wantedSeen = false;
    m_wantedRejected.reset();
    for (unsigned i = 0; i < LookTries && !m_wantedSeen; ++i) {
        while (foldOnce(ec) && !ec) { }
        if (!m_wantedSeen) {
            pause(LookPause);
        }
    }
    if (!m_wantedSeen) {
        ec = ServiceError::LogUnavailable;
        return {};
    }
    ec.clear();
    return {!m_wantedRejected, m_wantedRejected ? m_wantedRejected->text : std::string()};
}

std::string OperatorSession::newId()
{
    return std::to_string(m_runtime->random.next()) + '-'
        + std::to_string(m_runtime->random.next());
}

std::vector<Endpoint> OperatorSession::daemons(std::error_code &ec)
{
    Runtime &runtime = *m_runtime;
    auto [error, endpoints] = runtime.wait<std::pair<std::error_code, std::vector<Endpoint>>>(
        [&](const std::function<void(std::pair<std::error_code, std::vector<Endpoint>>)> &done) {
            readMembers(*runtime.log, LogTimeout,
                        [done](std::error_code error, const MemberTable &members) {
                            std::vector<Endpoint> found;
                            for (const auto &[name, member] : members) {
                                found.push_back(member.endpoint);
                            }
                            done({error, std::move(found)});
                        });
        });
    ec = error;
    return endpoints;
}

std::vector<DaemonAnswer> OperatorSession::ask(std::span<const Endpoint> endpoints)
{
    Runtime &runtime = *m_runtime;
    const auto answers = std::make_shared<std::vector<DaemonAnswer>>();
    const auto waiting = std::make_shared<std::size_t>(endpoints.size());
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        answers->push_back({endpoints[i], std::nullopt});
        fetchControl(runtime.context, runtime.executor, endpoints[i], "status",
                     [answers, waiting, i](std::optional<std::string> text) {
                         --*waiting;
                         (*answers)[i].status = text ? decodeStatus(*text) : std::nullopt;
                     });
    }
    while (*waiting > 0) {
        runtime.context.run_one();
    }
    return *answers;
}

void OperatorSession::pause(Duration delay)
{
    m_runtime->wait<bool>([&](std::function<void(bool)> done) {
        m_runtime->executor.after(delay, [done = std::move(done)] { done(true); });
    });
}

} // namespace Coltsfootwell
