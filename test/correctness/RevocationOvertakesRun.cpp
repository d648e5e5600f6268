// Guards against an attempt that starts after its serving daemon has guaranteed that it never will.
#include "decisions/RunLedger.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

constexpr Incarnation Self = 7;
const AttemptId First {1, 2};

} // namespace

TEST_CASE("an attempt that is revoked before it arrives does not start")
{
    RunLedger ledger(Self);
    CHECK(ledger.revoke(First, Self) == RevokeVerdict::NeverStarts);
    CHECK(ledger.tryStart(First) == RunVerdict::Revoked);
}

TEST_CASE("a started attempt is reported as started and does not start twice")
{
    RunLedger ledger(Self);
    CHECK(ledger.tryStart(First) == RunVerdict::Start);
    CHECK(ledger.revoke(First, Self) == RevokeVerdict::Started);
    CHECK(ledger.tryStart(First) == RunVerdict::AlreadyStarted);
}

TEST_CASE("a new process gives no guarantee for attempts sent to the previous process")
{
    RunLedger ledger(Self);
    CHECK(ledger.revoke(First, 6) == RevokeVerdict::CannotRevoke);
    CHECK(ledger.revoke(First, 0) == RevokeVerdict::CannotRevoke);
}

TEST_CASE("a tombstone expires after the retention time")
{
    RunLedger ledger(Self);
    ledger.revoke(First, Self);
    for (unsigned i = 1; i < RunLedger::RetentionTicks; ++i) {
        ledger.tick();
    }
    CHECK(ledger.tryStart(First) == RunVerdict::Revoked);
    ledger.tick();
    CHECK(ledger.size() == 0);
}
