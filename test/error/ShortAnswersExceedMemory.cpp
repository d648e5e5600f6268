// Guards against any number of short answers that are held at once: they counted against no limit,
// and callers that pipelined requests and read nothing ran a daemon out of memory.
#include "decisions/BodyBudget.h"
#include "services/AnswerMemory.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <vector>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ShortBytes = BodyBudget::MaxFreeBytes;
constexpr std::size_t LongBytes = 10 * ShortBytes;
constexpr AnswerLimits Limits {LongBytes, LongBytes, 4 * ShortBytes};

} // namespace

TEST_CASE("short answers together never exceed their share, whether complete or not")
{
    AnswerBudget budget(Limits);
    CHECK(budget.tryGrow(0, 1000, 1000));
    // Of unknown length.
    CHECK(budget.tryGrow(1, 0, AnswerBudget::MaxBytes));
    CHECK(budget.tryGrow(2, ShortBytes, ShortBytes));
    budget.answerCompleted(2, ShortBytes);
    CHECK(budget.tryGrow(3, ShortBytes, ShortBytes));
    CHECK_FALSE(budget.tryGrow(4, ShortBytes, ShortBytes));
    CHECK(budget.tryGrow(5, 1000, 1000));
    // The rest of an answer that has been admitted.
    CHECK(budget.tryGrow(1, ShortBytes, AnswerBudget::MaxBytes));
    CHECK(budget.shortHeld() <= Limits.shortBytes);
    budget.release(ShortBytes);
    CHECK(budget.tryGrow(4, ShortBytes, ShortBytes));
}

TEST_CASE("short and long answers do not wait for each other")
{
    AnswerBudget budget(Limits);
    REQUIRE(budget.tryGrow(0, LongBytes, LongBytes));
    for (std::uint64_t id = 1; id <= 4; ++id) {
        CHECK(budget.tryGrow(id, ShortBytes, ShortBytes));
    }
    CHECK_FALSE(budget.tryGrow(5, ShortBytes, ShortBytes));
    budget.answerEnded(0);
    CHECK(budget.tryGrow(6, LongBytes, LongBytes));
}

TEST_CASE("an answer that becomes long leaves the share of the short ones")
{
    AnswerBudget budget(Limits);
    REQUIRE(budget.tryGrow(0, 0, AnswerBudget::MaxBytes));
    CHECK(budget.shortHeld() == ShortBytes);
    REQUIRE(budget.tryGrow(0, 2 * ShortBytes, AnswerBudget::MaxBytes));
    CHECK(budget.shortHeld() == 0);
    CHECK(budget.reserved() == 2 * ShortBytes);
}

TEST_CASE("an answer that exceeds its share is received while there is no other")
{
    AnswerBudget budget({LongBytes, LongBytes, ShortBytes / 2});
    CHECK(budget.tryGrow(0, 2 * LongBytes, 2 * LongBytes));
    CHECK_FALSE(budget.tryGrow(1, 2 * LongBytes, 2 * LongBytes));
    CHECK(budget.tryGrow(2, ShortBytes, ShortBytes));
    CHECK_FALSE(budget.tryGrow(3, ShortBytes, ShortBytes));
    budget.answerEnded(0);
    CHECK(budget.tryGrow(1, 2 * LongBytes, 2 * LongBytes));
}

TEST_CASE("a shortage is reported as long as an answer waits")
{
    boost::asio::io_context context;
    const auto memory = std::make_shared<AnswerMemory>(context, Limits);
    std::vector<std::size_t> shortages;
    memory->reportShortage([&](AnswerSize size, std::size_t bytes) {
        CHECK(size == AnswerSize::Short);
        shortages.push_back(bytes);
    });
    std::vector<std::shared_ptr<void>> held;
    while (auto part = memory->tryTake(ShortBytes)) {
        held.push_back(std::move(part));
    }
    CHECK(held.size() == 4);
    std::shared_ptr<void> waiting;
    const std::function<void()> tryAgain = [&] {
        waiting = memory->tryTake(ShortBytes);
        if (!waiting) {
            memory->waitForRelease(ShortBytes, tryAgain);
        }
    };
    tryAgain();
    context.run_for(5 * AnswerMemory::ShortageInterval + AnswerMemory::ShortageInterval / 2);
    CHECK(shortages.size() >= 3);
    CHECK(shortages.back() == ShortBytes);
    held.pop_back();
    context.restart();
    context.run_for(10ms);
    CHECK(waiting);
    const std::size_t reported = shortages.size();
    context.restart();
    context.run_for(3 * AnswerMemory::ShortageInterval);
    CHECK(shortages.size() == reported);
}
