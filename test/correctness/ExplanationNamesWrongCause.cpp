// Guards against explanations that name the wrong cause: the words "send" and "end" of the steps of
// a call were mixed up, so that a call whose attempt was still open was explained by its placement,
// and calls whose lines were left out under load counted as failures that nothing explains.
#include "programs/LogExplainer.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace Coltsfootwell;

namespace {

std::string causeOf(const std::string &outcome, const std::string &steps)
{
    LogLine line;
    REQUIRE(parseLogLine("timeMs=1 daemon=a event=call.ended request=r outcome=" + outcome
                             + " elapsedUs=5 steps=" + steps,
                         line));
    return diagnose({line}).cause;
}

} // namespace

TEST_CASE("an attempt that was open at the end had no answer")
{
    CHECK(causeOf("unknown-cancelled", "32:send0:first->h1,expectUs=50500")
          == "unknown-cancelled/no-answer");
    CHECK(causeOf("unknown-deadline",
                  "32:send0:first->h1,expectUs=5;9:end0:refused-overloaded(0+0/6,slow=100);"
                  "10:send1:refusal->h2,expectUs=7")
          == "unknown-deadline/no-answer");
}

TEST_CASE("the last attempt that has ended tells the cause")
{
    CHECK(causeOf("not-run-overloaded",
                  "32:send0:first->h1,expectUs=5;9:end0:refused-cold(0+0/6,slow=100)")
          == "not-run-overloaded/refused-cold");
    CHECK(causeOf("unknown-answer-lost", "32:send0:first->h1,expectUs=5;9:end0:lost")
          == "unknown-answer-lost/lost");
    CHECK(causeOf("not-run-overloaded", "none") == "not-run-overloaded/no-attempt");
}

TEST_CASE("calls whose last line was left out under load are told from those that have none")
{
    std::istringstream in(
        "timeMs=1 daemon=a event=run.answered request=r status=200\n"
        "timeMs=2 daemon=a event=log.omitted of=run.answered weight=routine lines=9\n"
        "timeMs=2 daemon=a event=log.omitted of=call.ended weight=routine lines=3\n"
        "timeMs=3 daemon=b event=log.omitted of=call.ended weight=routine lines=4\n"
        "timeMs=3 daemon=b event=log.omitted of=call.ended weight=important lines=2\n");
    LogExplainer explain;
    explain.read(in, "log");
    std::ostringstream out;
    explain.summary(out);
    CHECK(out.str()
          == "0 answered in time\n1 no-entry-line\n"
             "2 important lines call.ended were left out by daemons under load\n"
             "7 routine lines call.ended were left out by daemons under load\n");
}
