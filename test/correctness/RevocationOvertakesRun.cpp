// Guards against a run that starts after its sender was promised that it never will.
#include "decisions/RunLedger.h"

#include <doctest/doctest.h>

using namespace Coltsfootwell;

namespace {

const DaemonId Self {"recife-a-1", 7};
const AttemptId First {1, 2};

} // namespace

TEST_CASE("a revocation that overtakes its run keeps it from starting")
{
    RunLedger ledger(Self);
    CHECK(ledger.revoke(First, Self) == RevokeVerdict::NeverStarts);
    CHECK(ledger.run(First, Self) == RunVerdict::Revoked);
}

TEST_CASE("a revocation of a started run says so")
{
    RunLedger ledger(Self);
    CHECK(ledger.run(First, Self) == RunVerdict::Start);
    CHECK(ledger.revoke(First, Self) == RevokeVerdict::Started);
    CHECK(ledger.run(First, Self) == RunVerdict::AlreadyStarted);
}

TEST_CASE("another incarnation promises nothing and runs nothing")
{
    RunLedger ledger(Self);
    CHECK(ledger.run(First, {"recife-a-1", 6}) == RunVerdict::WrongIncarnation);
    CHECK(ledger.revoke(First, {"recife-a-1", 6}) == RevokeVerdict::WrongIncarnation);
}

TEST_CASE("a tombstone lasts for the retention and no longer")
{
    RunLedger ledger(Self);
    ledger.revoke(First, Self);
    for (unsigned i = 1; i < RunLedger::RetentionTicks; ++i) {
        ledger.tick();
    }
    CHECK(ledger.run(First, Self) == RunVerdict::Revoked);
    ledger.tick();
    CHECK(ledger.size() == 0);
}
