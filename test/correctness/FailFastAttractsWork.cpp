// Guards against a server that fails fast, looks idle, and so draws calls to itself.
#include "RoutingWorld.h"
#include "decisions/Admission.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using std::chrono::milliseconds;

TEST_CASE("routing sends few calls to a server that fails fast, and tries it now and then")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 8);
    SeededRandom random(3);
    Routing routing({{"a1-x", 1}, "a", "a1"}, random);
    routing.membersChanged(members);
    routing.configurationChanged(configurationFor(members));
    TimePoint now {};
    unsigned failed = 0;
    constexpr unsigned Calls = 15'000;
    for (unsigned i = 0; i < Calls; ++i) {
        now += milliseconds(7);
        const DaemonId target = std::get<Target>(routing.pick(factsFor("s"), {}, now)).daemon;
        routing.sent(target, now);
        const bool fails = target == members[0].id;
        failed += fails ? 1 : 0;
        routing.finished(target, {!fails, milliseconds(fails ? 0 : 5)}, now);
    }
    CHECK(failed < Calls / 100);
    CHECK(failed > 0);
}

TEST_CASE("a cold server that only fails is tried by single calls, and serves again after one good")
{
    TimePoint now {};
    Admission admission;
    ServiceRules rules;
    rules.coldStart = {4, 1};
    admission.rulesChanged(rules);
    admission.announced(4, now);
    Reason reason {};
    unsigned started = 0;
    for (unsigned i = 0; i < 1000; ++i) {
        now += milliseconds(1);
        if (admission.admit({0, i}, now + milliseconds(50), now, reason)
            == AdmissionVerdict::Admitted) {
            ++started;
            admission.finished(RunEnd::Bad, milliseconds(0), now);
        }
    }
    CHECK(started < 20);
    now += Admission::ProbationPeriod;
    REQUIRE(admission.admit({1, 0}, now + milliseconds(50), now, reason)
            == AdmissionVerdict::Admitted);
    admission.finished(RunEnd::Good, milliseconds(2), now);
    CHECK(admission.admit({1, 1}, now + milliseconds(50), now, reason)
          == AdmissionVerdict::Admitted);
    CHECK(admission.admit({1, 2}, now + milliseconds(50), now, reason)
          == AdmissionVerdict::Admitted);
}
