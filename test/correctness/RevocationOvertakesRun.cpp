// Guards against a run that starts after its sender was promised that it never will.
#include "decisions/RunLedger.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

constexpr Incarnation Self = 7;
const AttemptId First {1, 2};

} // namespace

TEST_CASE("a question that overtakes its run keeps it from starting")
{
    RunLedger ledger(Self);
    CHECK(ledger.revoke(First, Self) == RevokeVerdict::NeverStarts);
    CHECK(ledger.tryStart(First) == RunVerdict::Revoked);
}

TEST_CASE("a started run is known as started, and does not start twice")
{
    RunLedger ledger(Self);
    CHECK(ledger.tryStart(First) == RunVerdict::Start);
    CHECK(ledger.revoke(First, Self) == RevokeVerdict::Started);
    CHECK(ledger.tryStart(First) == RunVerdict::AlreadyStarted);
}

TEST_CASE("a new process promises nothing about what was sent to the one before")
{
    RunLedger ledger(Self);
    CHECK(ledger.revoke(First, 6) == RevokeVerdict::CannotRevoke);
    CHECK(ledger.revoke(First, 0) == RevokeVerdict::CannotRevoke);
}

TEST_CASE("a tombstone lasts for the retention and no longer")
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
