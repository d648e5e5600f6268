// Guards against new work for a server that drains, also from the queue.
#include "decisions/Admission.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

TEST_CASE("queued and new calls are refused once the server drains")
{
    TimePoint now {};
    Admission admission;
    admission.rulesChanged({});
    admission.announced(1, now);
    Reason reason {};
    CHECK(admission.admit({0, 1}, now + milliseconds(500), now, reason)
          == AdmissionVerdict::Admitted);
    CHECK(admission.admit({0, 2}, now + milliseconds(500), now, reason)
          == AdmissionVerdict::Queued);
    const auto outputs = admission.drainAnnounced(now);
    REQUIRE(outputs.size() == 1);
    CHECK(outputs[0].refusal == Reason::Draining);
    CHECK(admission.finished(RunEnd::Good, milliseconds(5), now).empty());
    CHECK(admission.admit({0, 3}, now + milliseconds(500), now, reason)
          == AdmissionVerdict::Refused);
    CHECK(reason == Reason::Draining);
}

TEST_CASE("a stale report cannot undo an announced drain; a new announcement can")
{
    TimePoint now {};
    Admission admission;
    admission.announced(2, now);
    admission.drainAnnounced(now);
    admission.serverReported(BackendState::Warm, now);
    CHECK(admission.state() == BackendState::Draining);
    admission.announced(2, now);
    CHECK(admission.state() == BackendState::Cold);
}

TEST_CASE("a drain that was only reported ends when the report does")
{
    TimePoint now {};
    Admission admission;
    admission.announced(2, now);
    admission.serverReported(BackendState::Draining, now);
    CHECK(admission.state() == BackendState::Draining);
    admission.serverReported(BackendState::Warm, now);
    CHECK(admission.state() == BackendState::Cold);
}
