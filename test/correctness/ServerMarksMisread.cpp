// Guards against headers of a backend server that pass for words of a daemon, and against servers
// that are blamed for what callers did.
#include "services/BackendRun.h"
#include "wire/HeaderNames.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using std::chrono::milliseconds;

TEST_CASE("only a 503 that says not-run is a shed call, and the mark is removed in any case")
{
    AnswerHead shed {503, {{"coltsfootwell-outcome", "not-run"}, {"Content-Type", "x"}}, {}};
    CHECK(takeShedMark(shed));
    CHECK(shed.headers.size() == 1);
    AnswerHead good {200,
                     {{std::string(Header::Outcome), "not-run"},
                      {std::string(Header::Load), "0/0/9/2"},
                      {std::string(Header::Attempt), "x"}},
                     {}};
    CHECK_FALSE(takeShedMark(good));
    CHECK(good.headers.empty());
    AnswerHead unknown {503, {{std::string(Header::Outcome), "unknown"}}, {}};
    CHECK_FALSE(takeShedMark(unknown));
}

TEST_CASE("a run that its caller gave up says nothing, unless the server was slow or silent")
{
    const Duration average = milliseconds(5);
    RunRecord record;
    record.deadline = record.began + milliseconds(100);
    record.cancelled = true;
    CHECK(judgeRun(record, false, average, record.began + milliseconds(10)) == RunEnd::Unjudged);
    CHECK(judgeRun(record, false, average, record.began + milliseconds(50)) == RunEnd::Bad);
    CHECK(judgeRun(record, false, average, record.deadline) == RunEnd::Lost);
}

TEST_CASE("a caller that leaves during the answer is no fault of the server, a cut answer is")
{
    RunRecord record;
    record.answered = record.began + milliseconds(1);
    record.status = 200;
    CHECK(judgeRun(record, false, {}, record.began) == RunEnd::Bad);
    record.cancelled = true;
    CHECK(judgeRun(record, false, {}, record.began) == RunEnd::Good);
}
