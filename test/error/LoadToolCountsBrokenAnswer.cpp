// Guards against a load tool that counts an answer as complete although its connection was reset
// while the request was being written, or although no answer may have its status: the report then
// shows no broken answer where callers get some.
#include "programs/LoadRun.h"
#include "support/EarlyAnswer.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Sends one upload to a server that reads a part of it, answers with these bytes, and resets the
/// connection when the tool has received them and waits to write the rest.
LoadResult uploadAnsweredWith(std::string answer)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor = listenWithSmallBuffer(context);
    LoadPlan plan;
    LoadCallKind &upload = plan.mix.emplace_back();
    upload.method = "POST";
    upload.path = "/x";
    upload.bodyBytes = UploadBytes;
    plan.targets = {{"127.0.0.1", acceptor.local_endpoint().port()}};
    plan.fixedTargets = true;
    plan.callsPerSecond = 1000;
    plan.duration = 20ms;
    plan.maxInFlight = 1;
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string part(ReadBytes, 0);
        boost::asio::read(socket, boost::asio::buffer(part));
        boost::asio::write(socket, boost::asio::buffer(answer));
        std::this_thread::sleep_for(100ms);
        resetConnection(socket);
        acceptor.close();
    });
    const LoadSummary summary = runLoad(plan);
    server.join();
    for (const LoadResult &result : summary.results) {
        if (result.tries > 0) {
            return result;
        }
    }
    return {};
}

} // namespace

TEST_CASE("the load tool takes no reset for the end of an answer without a length")
{
    const LoadResult result = uploadAnsweredWith("HTTP/1.1 200 OK\r\n\r\na part");
    CHECK(result.status == 200);
    CHECK_FALSE(result.complete);
    CHECK(result.outcome == "broken");
}

TEST_CASE("the load tool counts an answer that is complete by its length, before a reset")
{
    const LoadResult result
        = uploadAnsweredWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    CHECK(result.complete);
    CHECK(result.answerBytes == 5);
}

TEST_CASE("the load tool counts an answer with an invalid status as broken")
{
    for (const std::string status : {"000", "101", "600"}) {
        CAPTURE(status);
        const LoadResult result
            = uploadAnsweredWith("HTTP/1.1 " + status + " x\r\nContent-Length: 5\r\n\r\nwhole");
        CHECK_FALSE(result.complete);
        CHECK(result.outcome == "broken");
    }
}
