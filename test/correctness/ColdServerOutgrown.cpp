// Guards against a limit that grows while the server still reports that it is cold: it answers well
// at the start value and falls over one call above it.
#include "decisions/Admission.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Slots = 8;

ServiceRules eagerRules()
{
    ServiceRules rules;
    rules.coldStart = {2, 3};
    return rules;
}

unsigned limitAfterAnswers(Admission &admission, unsigned answers, TimePoint &now)
{
    std::uint64_t call = 0;
    for (unsigned i = 0; i < answers; ++i) {
        Reason reason {};
        if (admission.admit({1, ++call}, now + 1s, now, reason) == AdmissionVerdict::Admitted) {
            now += 10ms;
            admission.finished(RunEnd::Good, 10ms, now);
        }
    }
    return admission.report().limit;
}

} // namespace

TEST_CASE("good answers do not raise the limit of a server that reports that it is cold")
{
    Admission admission;
    TimePoint now {};
    admission.rulesChanged(eagerRules());
    admission.useReports();
    admission.announced(Slots, now);
    CHECK(limitAfterAnswers(admission, 50, now) == 2);
    admission.serverReported(BackendState::Cold, now);
    CHECK(limitAfterAnswers(admission, 50, now) == 2);
    admission.serverReported(BackendState::Warm, now);
    CHECK(limitAfterAnswers(admission, 50, now) == Slots);
}

TEST_CASE("a report of cold that never ends holds a server that answers well for a minute only")
{
    Admission admission;
    TimePoint now {};
    admission.rulesChanged(eagerRules());
    admission.useReports();
    admission.announced(Slots, now);
    admission.serverReported(BackendState::Cold, now);
    CHECK(limitAfterAnswers(admission, 100, now) == 2);
    now += Admission::MaxReportHold;
    CHECK(limitAfterAnswers(admission, 100, now) == Slots);
}
