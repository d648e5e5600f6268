// Guards against a daemon that asks another one for its state again and again, since that one is of
// an older build and does not tell its version.
#include "decisions/ControlStateSummary.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

TEST_CASE("a daemon that tells no version is not ahead")
{
    const ControlStateSummary older {{20, 0}, 0, 0, 0};
    const ControlStateSummary own {{20, 1}, 5, 1, 0};
    CHECK_FALSE(isAhead(older, own));
    CHECK_FALSE(isAhead(older, {}));
}
