// Guards against two owners of one key, when daemons race, the answer to an append is lost, or the
// log cannot be reached.
#include "decisions/ClaimFold.h"
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"
#include "services/ClaimMessages.h"
#include "services/Claims.h"
#include "services/LogMessages.h"
#include "services/ServiceNames.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;

namespace {

struct LogContents
{
    std::map<std::string, std::vector<std::string>> streams;
    bool appendsReach = true;
    bool appendsAnswered = true;
    bool readable = true;
};

/// One daemon with a service "log" that works on contents shared with other daemons.
class Bench
{
public:
    Bench(ManualExecutor &executor, std::string daemon, LogContents &log, bool withLog = true)
        : m_executor(executor), m_random(std::hash<std::string>()(daemon)),
          m_kernel(executor, m_random), m_log(log), m_mailbox(executor, [this](LogMessage message) {
              std::visit([this](auto &&body) { handle(std::move(body)); }, std::move(message));
          })
    {
        if (withLog) {
            m_kernel.directory().publish(ServiceName::Log, m_mailbox.address());
        }
        m_kernel.add(makeClaims(m_kernel, {std::move(daemon), 1}));
        m_kernel.start();
    }

    void claim(const std::string &key, std::optional<KeyClaimed> &result)
    {
        std::error_code ec;
        ClaimKey message {key, {}};
        message.reply = Reply<KeyClaimed>(
            m_executor, [&result](std::optional<KeyClaimed> claimed) { result = claimed; });
        m_kernel.directory().find<ClaimKey>(ServiceName::Claims, ec).send(std::move(message));
    }

private:
    void handle(AppendRecord append)
    {
        if (m_log.appendsReach) {
            m_log.streams[append.stream].push_back(append.bytes);
        }
        if (m_log.appendsAnswered) {
            append.reply(RecordAppended {m_log.appendsReach, 0});
        }
    }

    void handle(ReadRecords read)
    {
        RecordsRead part {m_log.readable, {}};
        const std::vector<std::string> &all = m_log.streams[read.stream];
        // One record for each read, so that a claim is found across reads.
        if (m_log.readable && read.from < all.size()) {
            part.records.push_back({read.from, all[read.from]});
        }
        read.reply(std::move(part));
    }

    ManualExecutor &m_executor;
    SeededRandom m_random;
    Kernel m_kernel;
    LogContents &m_log;
    Mailbox<LogMessage> m_mailbox;
};

} // namespace

TEST_CASE("of two daemons that claim a key at once both learn the same owner")
{
    ManualExecutor executor;
    LogContents log;
    Bench first(executor, "d1", log);
    Bench second(executor, "d2", log);
    std::optional<KeyClaimed> one;
    std::optional<KeyClaimed> two;
    first.claim("key", one);
    second.claim("key", two);
    executor.runReady();
    REQUIRE(one);
    REQUIRE(two);
    REQUIRE(one->owner);
    CHECK(one->owner == two->owner);
    CHECK(one->owner->name == "d1");
}

TEST_CASE("a claim whose answer was lost is found on the log")
{
    ManualExecutor executor;
    LogContents log;
    log.appendsAnswered = false;
    Bench bench(executor, "d1", log);
    std::optional<KeyClaimed> result;
    bench.claim("key", result);
    executor.runReady();
    REQUIRE(result);
    REQUIRE(result->owner);
    CHECK(result->owner->name == "d1");
}

TEST_CASE("nobody owns a key while the log takes no claim, cannot be read or is missing")
{
    for (const int fault : {0, 1, 2}) {
        ManualExecutor executor;
        LogContents log;
        log.appendsReach = fault != 0;
        log.readable = fault != 1;
        Bench bench(executor, "d1", log, fault != 2);
        std::optional<KeyClaimed> result;
        bench.claim("key", result);
        executor.runReady();
        REQUIRE(result);
        CHECK_FALSE(result->owner);
    }
}

TEST_CASE("malformed records are passed over")
{
    ManualExecutor executor;
    LogContents log;
    Bench bench(executor, "d1", log);
    std::optional<KeyClaimed> result;
    bench.claim("key", result);
    executor.runReady();
    auto &records = log.streams.begin()->second;
    records.insert(records.begin(), {"{", "[]", R"({"type":"claim","id":"x"})"});
    Bench other(executor, "d2", log);
    other.claim("key", result);
    executor.runReady();
    REQUIRE(result->owner);
    CHECK(result->owner->name == "d1");
}

TEST_CASE("the first claim for a key stays its owner")
{
    ClaimFold fold("hash");
    fold.add({"1", "other", {"d0", 1}});
    CHECK_FALSE(fold.winner());
    fold.add({"2", "hash", {"d1", 1}});
    fold.add({"3", "hash", {"d2", 1}});
    CHECK(fold.winner()->name == "d1");
}
