// Guards against an acknowledged change of a data centre that is undone after the store has come
// back from an older copy, since a daemon that started shortly before does not know all records of
// the copy, or since daemons with the same position have decided differently.
#include "decisions/AvailabilityTable.h"
#include "decisions/ControlStateSummary.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Coltsfootwell;

namespace {

using Names = std::set<std::string>;
using Listed = std::vector<ListedDataCentre>;

AvailabilityTable tableFrom(const StorePosition &end, const Listed &listed = {})
{
    AvailabilityTable table;
    table.applyNewest(listed, end);
    return table;
}

ControlStateSummary summary(const AvailabilityTable &table)
{
    return {table.state().position, 1, table.state().origin.epoch, table.state().digest()};
}

/// Lets each daemon merge the state of the other while that one is ahead.
void exchange(AvailabilityTable &first, AvailabilityTable &second)
{
    constexpr unsigned MaxExchanges = 3;
    for (unsigned i = 0; i < MaxExchanges; ++i) {
        if (isAhead(summary(first), summary(second))) {
            second.merge(first.state());
        }
        if (isAhead(summary(second), summary(first))) {
            first.merge(second.state());
        }
    }
    CHECK_FALSE(isAhead(summary(first), summary(second)));
    CHECK_FALSE(isAhead(summary(second), summary(first)));
}

} // namespace

TEST_CASE("repeated records do not return a data centre by a removal that the daemon has not seen")
{
    AvailabilityTable t = tableFrom({16, 1}); // started after a: out at 12, in at 14
    t.applyRecord("a", true, {25, 1});
    t.advancePosition({26, 1});
    t.applyNewest({}, {20, 2}); // copy ends at 20
    REQUIRE(t.state().position == StorePosition {12, 2});
    t.applyRecord("a", true, {12, 2});
    t.applyRecord("a", false, {14, 2});
    CHECK(t.outOfService() == Names {"a"});
}

TEST_CASE("a removal that one daemon has not seen does not reach a daemon that has seen it")
{
    AvailabilityTable all = tableFrom({10, 1});
    all.applyRecord("a", true, {12, 1});
    all.applyRecord("a", false, {14, 1});
    all.applyRecord("a", true, {25, 1});
    all.advancePosition({26, 1});
    AvailabilityTable t = tableFrom({16, 1});
    t.applyRecord("a", true, {25, 1});
    t.advancePosition({26, 1});
    t.applyNewest({}, {20, 2});
    t.applyRecord("a", true, {12, 2});
    t.applyRecord("a", false, {14, 2});
    t.advancePosition({20, 2});
    exchange(all, t);
    CHECK(all.outOfService() == Names {"a"});
}

TEST_CASE("a daemon that starts after the end of an outage does not take it from the copy")
{
    AvailabilityTable all = tableFrom({10, 1});
    all.applyRecord("a", true, {12, 1});
    all.applyRecord("a", false, {14, 1});
    all.advancePosition({15, 1});
    AvailabilityTable started = tableFrom({15, 1});
    exchange(all, started);
    const Listed copy {{"a", 12}};
    started.applyNewest(copy, {13, 2});
    CHECK(started.outOfService().empty());
    exchange(all, started);
    CHECK(all.outOfService().empty());
}

TEST_CASE("a merge keeps the records that a copy may contain")
{
    AvailabilityTable all = tableFrom({10, 1});
    all.applyRecord("a", true, {12, 1});
    all.applyRecord("a", false, {14, 1});
    all.advancePosition({15, 1});
    AvailabilityTable started = tableFrom({15, 1});
    started.advancePosition({16, 1}); // reads the next version first
    all.merge(started.state());
    all.applyNewest(Listed {{"a", 12}}, {13, 2});
    CHECK(all.outOfService().empty());
}

TEST_CASE("a lost record that one daemon has not read reaches it, beside a later decision")
{
    AvailabilityTable a = tableFrom({10, 1});
    AvailabilityTable b = a;
    a.applyRecord("a", true, {14, 1});
    a.advancePosition({15, 1});
    b.advancePosition({14, 1}); // frozen reader
    b.applyNewest(Listed {{"b", 11}}, {12, 2});
    a.applyNewest(Listed {{"b", 11}}, {12, 2});
    a.advancePosition({12, 2});
    exchange(a, b);
    CHECK(a.outOfService() == b.outOfService());
}

TEST_CASE("daemons with the same position and different decisions agree")
{
    AvailabilityTable a = tableFrom({10, 1});
    AvailabilityTable b = a;
    a.applyRecord("a", true, {14, 1});
    a.advancePosition({15, 1});
    b.applyNewest(Listed {{"b", 11}}, {12, 2});
    exchange(a, b);
    CHECK(b.outOfService().contains("a"));
}

TEST_CASE("adopting the state of a frozen daemon loses no record of the present epoch")
{
    AvailabilityTable frozen = tableFrom({10, 1});
    AvailabilityTable r = tableFrom({30, 2}, {{"a", 20}});
    REQUIRE(isAhead(summary(frozen), summary(r)));
    r.merge(frozen.state());
    CHECK(r.outOfService() == Names {"a"});
}
