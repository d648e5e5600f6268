// Guards against short answers without limit in the queue of a link whose other end does not read,
// and in the memory for answers that were sent and may have to be sent again.
#include "support/LinkServerFixture.h"
#include "wire/LinkCodec.h"

#include <algorithm>
#include <array>
#include <vector>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

constexpr std::size_t AnswerBytes = BodyBudget::MaxFreeBytes;

AttemptAnswered makeAnswer(std::size_t bytes = AnswerBytes)
{
    return {200, {}, std::make_shared<const std::string>(bytes, 'a'), false, {}};
}

} // namespace

TEST_CASE("short answers are announced when the link of their entry daemon is slow")
{
    constexpr std::uint64_t Answers = 200;
    constexpr std::size_t MaxSentBytes = 4 << 20;
    LinkServerFixture fixture;
    tcp::socket peer(fixture.context);
    peer.open(tcp::v4());
    peer.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
    peer.connect(fixture.acceptor.local_endpoint());
    peer.non_blocking(true);
    std::string runs = encodeFrame({{}, {}, HelloFrame {{"entry", 1}, true}});
    RunFrame run;
    run.deadlineIn = run.startWithin = run.objectiveIn = 10s;
    for (std::uint64_t n = 0; n < Answers; ++n) {
        runs += encodeFrame({{1, n}, {}, run});
    }
    REQUIRE(peer.write_some(boost::asio::buffer(runs)) == runs.size());
    REQUIRE(fixture.runUntil([&] { return fixture.runs.size() == Answers; }));
    for (RunAttempt &attempt : fixture.runs) {
        attempt.reply(makeAnswer());
    }
    fixture.settle();

    std::string inbound;
    std::size_t received = 0;
    std::size_t announced = 0;
    std::size_t whole = 0;
    REQUIRE(fixture.runUntil([&] {
        std::array<char, 16 * 1024> bytes {};
        boost::system::error_code wouldBlock;
        while (!wouldBlock) {
            const std::size_t n = peer.read_some(boost::asio::buffer(bytes), wouldBlock);
            inbound.append(bytes.data(), n);
            received += n;
        }
        std::error_code ec;
        while (const std::size_t size = completeFrameSize(inbound, ec)) {
            const LinkFrame frame = decodeFrame(
                std::string_view(inbound).substr(FrameLengthBytes, size - FrameLengthBytes), ec);
            inbound.erase(0, size);
            if (const auto *answer = std::get_if<AnswerFrame>(&frame.body)) {
                ++(answer->pendingBodyBytes > 0 ? announced : whole);
            }
        }
        return announced + whole == Answers;
    }));
    CHECK(announced > 0);
    CHECK(received < MaxSentBytes);
}

TEST_CASE("a small answer is sent whole over a slow link, too")
{
    LinkServerFixture fixture;
    const auto link = fixture.connect(true);
    for (std::uint64_t n = 0; n < 50; ++n) {
        fixture.sendRun(*link, {1, n});
    }
    for (RunAttempt &attempt : fixture.runs) {
        attempt.reply(makeAnswer(1000));
    }
    REQUIRE(fixture.runUntil([&] { return fixture.count<AnswerFrame>() == 50; }));
    CHECK(std::ranges::none_of(fixture.frames, [](const LinkFrame &frame) {
        const auto *answer = std::get_if<AnswerFrame>(&frame.body);
        return answer && answer->pendingBodyBytes > 0;
    }));
}

TEST_CASE("answers that were sent are kept up to a limit, the newest ones longest")
{
    LinkServerFixture fixture;
    const auto link = fixture.connect(true);
    const std::size_t fitting
        = LinkServerDependencies {fixture.executor, {}, {}, {}, {}, {}}.maxKeptAnswerBytes
        / AnswerBytes;
    std::vector<std::weak_ptr<const std::string>> bodies;
    for (std::uint64_t n = 0; n < 2 * fitting; ++n) {
        fixture.sendRun(*link, {1, n});
        AttemptAnswered answered = makeAnswer();
        bodies.push_back(answered.body);
        fixture.runs.back().reply(std::move(answered));
        REQUIRE(fixture.runUntil([&] { return fixture.count<AnswerFrame>() == n + 1; }));
    }
    const auto kept = std::ranges::count_if(
        bodies, [](const std::weak_ptr<const std::string> &body) { return !body.expired(); });
    CHECK(std::size_t(kept) == fitting);
    CHECK(bodies.front().expired());
    CHECK_FALSE(bodies.back().expired());
}
