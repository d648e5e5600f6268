// Guards against control traffic counted as traffic of calls, which would hide its growth.
#include "services/LinkTraffic.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Internal;

TEST_CASE("bytes of calls and of control traffic are counted separately")
{
    LinkTraffic traffic;
    LinkFrame frame;
    frame.body = RunFrame {};
    traffic.add(frame, 100);
    frame.body = BodyPartFrame {};
    traffic.add(frame, 1'000);
    CHECK(traffic.calls == 1'100);
    CHECK(traffic.control == 0);
    frame.body = LoadUpdateFrame {};
    traffic.add(frame, 20);
    frame.body = ExchangeFrame {};
    traffic.add(frame, 300);
    CHECK(traffic.calls == 1'100);
    CHECK(traffic.control == 320);
}
