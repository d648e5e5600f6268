// Guards against a reader that calls the store again and again without a pause, since the store
// does not have the records from its position on.
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"
#include "services/ServiceError.h"
#include "services/TopicReader.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

/// A store that answers after a millisecond. No read makes progress.
class StoreWithoutProgress final : public StoreClient
{
public:
    StoreWithoutProgress(Executor &executor, RecordsRead answer)
        : m_executor(executor), m_answer(std::move(answer))
    {
    }

    void readNewest(std::string_view, std::string_view, std::size_t,
                    std::function<void(NewestRecords)> done) override
    {
        ++calls;
        m_executor.scheduleAfter(1ms, [done] { done({}); });
    }

    void read(std::string_view, std::uint64_t, std::chrono::milliseconds,
              std::function<void(RecordsRead)> done) override
    {
        ++calls;
        m_executor.scheduleAfter(1ms, [this, done] { done(m_answer); });
    }

    void append(std::string_view, const StoreRecord &, std::optional<std::uint64_t>,
                std::function<void(RecordAppended)>) override
    {
    }

    bool isReceiving() const override { return false; }
    void cancelAll() override { }

    unsigned calls = 0;

private:
    Executor &m_executor;
    RecordsRead m_answer;
};

/// \return calls in ten seconds of a reader that reads the newest records after each answer which
/// makes no progress.
unsigned callsInTenSeconds(const RecordsRead &answer)
{
    ManualExecutor executor;
    SeededRandom random {1};
    Kernel kernel {executor, random};
    Mailbox<TelemetryMessage> telemetry {executor, [](const TelemetryMessage &) {}};
    const auto store = std::make_shared<StoreWithoutProgress>(executor, answer);
    TopicReader *reader = nullptr;
    bool isNewestNext = true;
    const auto startCall = [&] {
        if (reader->isBusy()) {
            return;
        }
        isNewestNext ? reader->readNewest(StoreClient::MaxAnswerBytes) : reader->read(5, 2s);
        isNewestNext = !isNewestNext;
    };
    TopicReader owned(kernel, store, "keyed.t",
                      {[&](const NewestRecords &) { startCall(); },
                       [&](const RecordsRead &) { startCall(); }, [](StoreCallFailure) {},
                       startCall});
    reader = &owned;
    owned.attachTelemetry(telemetry.address());
    startCall();
    executor.advance(10s);
    owned.stop();
    return store->calls;
}

/// Two calls each second, and a few before the pause has reached its maximum.
constexpr unsigned MaxCallsInTenSeconds = 40;

} // namespace

TEST_CASE("a store that has lost the records after the position is asked at most twice a second")
{
    RecordsRead lost;
    lost.ec = ServiceError::HistoryLost;
    CHECK(callsInTenSeconds(lost) <= MaxCallsInTenSeconds);
}

TEST_CASE("a store that names a later end and sends no record is asked at most twice a second")
{
    RecordsRead empty;
    empty.next = 5;
    empty.end = 9;
    CHECK(callsInTenSeconds(empty) <= MaxCallsInTenSeconds);
}
