// Guards against a server that turns cold without warning and keeps getting its full load.
#include "decisions/Admission.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Usual {5};
constexpr milliseconds ColdAnswer {60};

struct Server
{
    Admission admission;
    TimePoint now {};
    std::uint64_t number = 0;

    Server()
    {
        ServiceRules rules;
        rules.coldStart = {2, 5};
        admission.rulesChanged(rules);
        admission.announced(8, now);
    }

    void answer(RunEnd end, Duration elapsed)
    {
        Reason reason {};
        REQUIRE(admission.admit({0, ++number}, now + milliseconds(1000), now, reason)
                == AdmissionVerdict::Admitted);
        now += elapsed;
        admission.finished(end, elapsed, now);
    }

    void warm()
    {
        for (int i = 0; i < 6 * 5; ++i) {
            answer(RunEnd::Good, Usual);
        }
        REQUIRE(admission.state() == BackendState::Warm);
    }
};

} // namespace

TEST_CASE("a server starts with the initial slots and grows with good answers only")
{
    Server server;
    CHECK(server.admission.report().limit == 2);
    for (int i = 0; i < 5; ++i) {
        server.answer(RunEnd::Good, Usual);
    }
    CHECK(server.admission.report().limit == 3);
    server.answer(RunEnd::Bad, Usual);
    for (int i = 0; i < 4; ++i) {
        server.answer(RunEnd::Good, Usual);
    }
    CHECK(server.admission.report().limit == 3);
}

TEST_CASE("three slow answers in a row take a warm server back to the start")
{
    Server server;
    server.warm();
    const Duration average = server.admission.averageAnswer();
    server.answer(RunEnd::Good, ColdAnswer);
    server.answer(RunEnd::Good, ColdAnswer);
    CHECK(server.admission.state() == BackendState::Warm);
    server.answer(RunEnd::Good, ColdAnswer);
    CHECK(server.admission.state() == BackendState::Cold);
    CHECK(server.admission.report().limit == 2);
    CHECK(server.admission.averageAnswer() == average);
}

TEST_CASE("a cold server does not grow on slow answers")
{
    Server server;
    server.warm();
    for (int i = 0; i < 50; ++i) {
        server.answer(RunEnd::Good, ColdAnswer);
    }
    CHECK(server.admission.report().limit == 2);
    CHECK(server.admission.averageAnswer() == Usual);
}

TEST_CASE("a server that has become slower for good recovers in the end")
{
    Server server;
    server.warm();
    for (int i = 0; i < 300; ++i) {
        server.answer(RunEnd::Good, ColdAnswer);
    }
    CHECK(server.admission.state() == BackendState::Warm);
}

TEST_CASE("answers of a cold server that slow down step by step do not raise its limit")
{
    Server server;
    server.warm();
    for (int i = 0; i < 3; ++i) {
        server.answer(RunEnd::Good, ColdAnswer);
    }
    for (int i = 0; i < 60; ++i) {
        server.answer(RunEnd::Good, milliseconds(14 + i / 2));
    }
    CHECK(server.admission.report().limit == 2);
}

TEST_CASE("a report that says cold is believed, one that says ready does not warm")
{
    Server server;
    server.warm();
    server.admission.serverReported(BackendState::Cold, server.now);
    CHECK(server.admission.report().limit == 2);
    server.admission.serverReported(BackendState::Warm, server.now);
    CHECK(server.admission.state() == BackendState::Cold);
}

TEST_CASE("shed calls lower the limit by one at most once per answer time")
{
    Server server;
    server.warm();
    server.answer(RunEnd::Shed, milliseconds(0));
    server.answer(RunEnd::Shed, milliseconds(0));
    CHECK(server.admission.report().limit == 7);
    server.answer(RunEnd::Shed, Usual);
    CHECK(server.admission.report().limit == 6);
    for (int i = 0; i < 20; ++i) {
        server.answer(RunEnd::Shed, Usual);
    }
    CHECK(server.admission.report().limit == 1);
    for (int i = 0; i < 5; ++i) {
        server.answer(RunEnd::Good, Usual);
    }
    CHECK(server.admission.report().limit == 2);
}

TEST_CASE("lost answers in a row make a server gone until it shows life, and then cold")
{
    Server server;
    server.warm();
    for (int i = 0; i < 3; ++i) {
        server.answer(RunEnd::Lost, Usual);
    }
    CHECK(server.admission.state() == BackendState::Gone);
    Reason reason {};
    CHECK(server.admission.admit({9, 9}, server.now + Usual, server.now, reason)
          == AdmissionVerdict::Refused);
    CHECK(reason == Reason::NoBackendServer);
    server.admission.serverReported(BackendState::Warm, server.now);
    CHECK(server.admission.state() == BackendState::Cold);
    CHECK(server.admission.report().limit == 2);
}
