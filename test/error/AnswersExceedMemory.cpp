// Guards against several long answers at once that together exceed the memory for answers: one of
// two answers of 30 MB was given up although the call had run.
#include "decisions/AnswerBudget.h"
#include "decisions/BodyBudget.h"
#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"
#include "wire/OwnDialect.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace Coltsfootwell;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t Megabyte = 1 << 20;
constexpr std::size_t LongBytes = 30 * Megabyte;
constexpr std::size_t PartBytes = 64 * 1024;
constexpr std::size_t Unknown = AnswerBudget::MaxBytes;

auto captureError(boost::system::error_code &ec)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, ec);
}

/// Replays answers that arrive in turns, part by part.
struct Replay
{
    struct Answer
    {
        std::uint64_t id = 0;
        std::size_t length = 0;
        bool hasLength = false;
        bool stalls = false;
        std::size_t received = 0;
        bool ended = false;
    };

    /// Offers a part of each answer to the budget.
    /// \return true if any answer went on.
    bool playTurn()
    {
        bool progress = false;
        for (Answer &answer : answers) {
            const std::size_t needed = answer.hasLength ? answer.length : answer.received;
            const std::size_t most
                = answer.hasLength ? answer.length : std::size_t(AnswerBudget::MaxBytes);
            if (answer.ended || !budget.tryGrow(answer.id, needed, most) || answer.stalls) {
                continue;
            }
            progress = true;
            answer.received += std::min(PartBytes, answer.length - answer.received);
            answer.ended = answer.received == answer.length;
            if (answer.ended) {
                budget.answerEnded(answer.id);
            }
            maxReserved = std::max(maxReserved, budget.reserved());
        }
        return progress;
    }

    void play()
    {
        while (playTurn()) { }
    }

    bool allEnded() const { return std::ranges::all_of(answers, &Answer::ended); }

    AnswerBudget budget;
    std::vector<Answer> answers;
    std::size_t maxReserved = 0;
};

/// Sends an answer of the length in the target, "/BYTES" with a Content-Length, "/BYTES/chunked"
/// without one, "/BYTES/stall" without its last byte.
class LongAnswerServer
{
public:
    explicit LongAnswerServer(boost::asio::io_context &context)
        : m_context(context),
          m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code ec;
        std::string request;
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request),
                                               "\r\n\r\n", captureError(ec));
        const std::size_t bytes = std::stoul(request.substr(request.find('/') + 1));
        const bool chunked = request.find("/chunked ") != std::string::npos;
        const bool stalls = request.find("/stall ") != std::string::npos;
        std::string answer = "HTTP/1.1 200 OK\r\n";
        answer += chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                          : "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
        for (std::size_t sent = 0; sent < bytes;) {
            const std::size_t size = std::min(PartBytes, bytes - sent);
            std::array<char, 20> head {};
            std::snprintf(head.data(), head.size(), "%zx\r\n", size);
            answer
                += (chunked ? head.data() : "") + std::string(size, 'a') + (chunked ? "\r\n" : "");
            sent += size;
        }
        answer += chunked ? "0\r\n\r\n" : "";
        answer.resize(answer.size() - (stalls ? 1 : 0));
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer), captureError(ec));
        // Waits until the client closes the connection.
        co_await socket.async_wait(tcp::socket::wait_read, captureError(ec));
    }

    boost::asio::io_context &m_context;
    tcp::acceptor m_acceptor;
};

/// Exchanges with one server at the same time.
struct Exchanges
{
    std::size_t start(std::string target, Duration deadline = 10s, Duration bodyIdleTimeout = {})
    {
        const std::size_t index = outcomes.size();
        outcomes.emplace_back();
        ExchangeRequest request;
        request.method = "GET";
        request.target = std::move(target);
        request.headers = {{"Host", "server"}};
        request.deadline = executor.now() + deadline;
        request.bodyIdleTimeout = bodyIdleTimeout;
        exchanges.push_back(std::make_shared<HttpExchange>(
            context, executor, pool, ownDialect(), std::move(request), [] { return true; },
            [this, index](ExchangeOutcome outcome) { outcomes[index] = std::move(outcome); }));
        exchanges.back()->start();
        return index;
    }

    /// Runs until an exchange has ended.
    /// \return its outcome.
    const ExchangeOutcome &wait(std::size_t index)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!outcomes[index] && std::chrono::steady_clock::now() < end) {
            context.run_one_for(50ms);
        }
        REQUIRE(outcomes[index]);
        return *outcomes[index];
    }

    void runUntilBodyStarts(std::size_t index)
    {
        while (!exchanges[index]->isReceivingBody()) {
            context.run_one();
        }
    }

    boost::asio::io_context context;
    AsioExecutor executor {context};
    LongAnswerServer server {context};
    std::shared_ptr<HttpPool> pool = std::make_shared<HttpPool>(context, server.endpoint());
    std::vector<std::optional<ExchangeOutcome>> outcomes;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
};

bool isAnswered(const ExchangeOutcome &outcome, std::size_t bytes)
{
    return outcome.kind == ExchangeOutcome::Kind::Answered && outcome.body.size() == bytes;
}

} // namespace

TEST_CASE("long answers are all received, and never exceed the budget together")
{
    for (const unsigned lengths : {0b0000U, 0b0001U, 0b0110U, 0b1010U, 0b1111U}) {
        CAPTURE(lengths);
        Replay replay;
        for (std::uint64_t id = 0; id < 4; ++id) {
            replay.answers.push_back({id, LongBytes, ((lengths >> id) & 1U) != 0});
        }
        replay.play();
        CHECK(replay.allEnded());
        CHECK(replay.maxReserved <= AnswerBudget::DefaultLimits.incompleteLongBytes);
        CHECK(replay.budget.reserved() == 0);
    }
}

TEST_CASE("answers whose lengths fit are received at the same time")
{
    AnswerBudget budget;
    for (std::uint64_t id = 0; id < 4; ++id) {
        CHECK(budget.tryGrow(id, 10 * Megabyte, 10 * Megabyte));
    }
    CHECK_FALSE(budget.tryGrow(4, 10 * Megabyte, 10 * Megabyte));
}

TEST_CASE("an answer that stalls holds up long ones until it ends, and no small one")
{
    for (const bool hasLength : {false, true}) {
        CAPTURE(hasLength);
        Replay replay;
        replay.answers.push_back({1, LongBytes, hasLength, true, Megabyte});
        replay.answers.push_back({2, LongBytes, true});
        replay.answers.push_back({3, BodyBudget::MaxFreeBytes, true});
        replay.answers.push_back({4, BodyBudget::MaxFreeBytes, false});
        replay.play();
        CHECK_FALSE(replay.answers[1].ended);
        CHECK(replay.answers[2].ended);
        CHECK(replay.answers[3].ended);
        replay.budget.answerEnded(1);
        replay.answers[0].ended = true;
        replay.play();
        CHECK(replay.allEnded());
    }
}

TEST_CASE("medium answers of unknown length go on beside an endless one")
{
    constexpr std::size_t MediumBytes = 500'000;
    Replay replay;
    replay.answers.push_back({0, Unknown, false, true, Megabyte});
    for (std::uint64_t id = 1; id <= 8; ++id) {
        replay.answers.push_back({id, MediumBytes, false});
    }
    replay.play();
    CHECK(std::ranges::count_if(replay.answers, &Replay::Answer::ended) == 8);
}

TEST_CASE("answers that have not been passed on hold up long ones only, until they are released")
{
    constexpr std::size_t MediumBytes = 500'000;
    AnswerBudget budget;
    for (std::uint64_t id = 0; id < 2; ++id) {
        REQUIRE(budget.tryGrow(id, LongBytes, LongBytes));
        budget.answerCompleted(id, LongBytes);
    }
    CHECK_FALSE(budget.tryGrow(2, LongBytes, LongBytes));
    CHECK(budget.tryGrow(3, MediumBytes, Unknown));
    budget.answerCompleted(3, MediumBytes);
    REQUIRE(budget.tryGrow(4, BodyBudget::MaxFreeBytes, BodyBudget::MaxFreeBytes));
    budget.answerCompleted(4, BodyBudget::MaxFreeBytes);
    CHECK(budget.shortHeld() == BodyBudget::MaxFreeBytes);
    CHECK_FALSE(budget.tryGrow(2, LongBytes, LongBytes));
    budget.release(LongBytes);
    CHECK(budget.tryGrow(2, LongBytes, LongBytes));
}

TEST_CASE("an answer goes on when an earlier one has been passed on")
{
    Exchanges exchanges;
    const std::string target = "/" + std::to_string(LongBytes);
    for (std::size_t n = 0; n < 2; ++n) {
        REQUIRE(isAnswered(exchanges.wait(exchanges.start(target)), LongBytes));
    }
    const std::size_t third = exchanges.start(target);
    exchanges.context.run_for(300ms);
    CHECK_FALSE(exchanges.outcomes[third]);
    exchanges.outcomes[0].reset();
    CHECK(isAnswered(exchanges.wait(third), LongBytes));
}

TEST_CASE("two long answers from one server are both received")
{
    for (const std::string_view kind : {"", "/chunked"}) {
        CAPTURE(kind);
        Exchanges exchanges;
        const std::string target = "/" + std::to_string(LongBytes) + std::string(kind);
        const std::size_t first = exchanges.start(target);
        const std::size_t second = exchanges.start(target);
        const std::size_t small = exchanges.start("/1000");
        CHECK(isAnswered(exchanges.wait(small), 1000));
        CHECK(isAnswered(exchanges.wait(first), LongBytes));
        CHECK(isAnswered(exchanges.wait(second), LongBytes));
        CHECK(exchanges.outcomes[first]->memoryWaitTime + exchanges.outcomes[second]->memoryWaitTime
              > Duration());
    }
}

TEST_CASE("an answer that waits for memory ends at its deadline, and when it is cancelled")
{
    Exchanges exchanges;
    const std::size_t stalled = exchanges.start("/" + std::to_string(LongBytes) + "/stall");
    exchanges.runUntilBodyStarts(stalled);
    const TimePoint start = exchanges.executor.now();
    const std::size_t expired = exchanges.start("/" + std::to_string(LongBytes), 300ms);
    const std::size_t cancelled = exchanges.start("/" + std::to_string(LongBytes));
    CHECK(exchanges.wait(expired).kind == ExchangeOutcome::Kind::Lost);
    // The server is not blamed for it.
    CHECK(exchanges.wait(expired).lostInMemoryWait);
    CHECK(exchanges.executor.now() - start < 1s);
    exchanges.runUntilBodyStarts(cancelled);
    exchanges.exchanges[cancelled]->cancel();
    CHECK(exchanges.wait(cancelled).kind == ExchangeOutcome::Kind::Lost);
    CHECK_FALSE(exchanges.outcomes[stalled]);
    exchanges.exchanges[stalled]->cancel();
    CHECK(exchanges.wait(stalled).kind == ExchangeOutcome::Kind::Lost);
    CHECK_FALSE(exchanges.wait(stalled).lostInMemoryWait);
}

TEST_CASE("the wait for memory does not count as silence of the server")
{
    // An answer of unknown length waits after a part of it has been read.
    for (const std::string_view kind : {"", "/chunked"}) {
        CAPTURE(kind);
        Exchanges exchanges;
        const std::string target = "/" + std::to_string(LongBytes);
        const std::size_t stalled = exchanges.start(target + "/stall", 1s);
        exchanges.runUntilBodyStarts(stalled);
        const std::size_t waiting = exchanges.start(target + std::string(kind), 10s, 300ms);
        CHECK(isAnswered(exchanges.wait(waiting), LongBytes));
        CHECK(exchanges.outcomes[waiting]->memoryWaitTime > 300ms);
    }
}
