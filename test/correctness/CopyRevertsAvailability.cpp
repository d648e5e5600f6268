// Guards against a data centre that returns to service, or leaves it, since the store has come back
// from an older copy of its content.
#include "decisions/AvailabilityTable.h"

#include <doctest/doctest.h>

#include <vector>

using namespace Coltsfootwell;

namespace {

using Names = std::set<std::string>;

/// \return a table that has read the store first at an end.
AvailabilityTable tableFrom(const StorePosition &end, std::vector<ListedDataCentre> listed = {})
{
    AvailabilityTable table;
    table.applyNewest(listed, end);
    return table;
}

} // namespace

TEST_CASE("a data centre stays out of service when the copy lacks its record")
{
    AvailabilityTable table = tableFrom({10, 1});
    CHECK(table.applyRecord("a", true, {12, 1}));
    table.advancePosition({13, 1});
    CHECK_FALSE(table.applyNewest({}, {11, 2}));
    CHECK(table.outOfService() == Names {"a"});
    CHECK(table.state().position == StorePosition {3, 2});
    // The record is written again, with another offset, and removed later.
    CHECK_FALSE(table.applyRecord("a", true, {11, 2}));
    CHECK(table.applyRecord("a", false, {12, 2}));
    CHECK(table.outOfService().empty());
}

TEST_CASE("a data centre returns to service if operators remove its record before the first read")
{
    AvailabilityTable table = tableFrom({10, 1});
    table.applyRecord("a", true, {11, 1});
    table.applyRecord("a", false, {12, 1});
    table.applyRecord("a", true, {14, 1});
    table.advancePosition({15, 1});
    // The copy ends at 13, operators have removed the record at 13.
    CHECK_FALSE(table.applyNewest({}, {14, 2}));
    REQUIRE(table.state().position == StorePosition {6, 2});
    CHECK_FALSE(table.applyRecord("a", true, {11, 2}));
    CHECK_FALSE(table.applyRecord("a", false, {12, 2}));
    CHECK(table.applyRecord("a", false, {13, 2}));
    CHECK(table.outOfService().empty());
}

TEST_CASE("a data centre stays in service when the copy still has the record that took it out")
{
    AvailabilityTable table = tableFrom({10, 1});
    table.applyRecord("a", true, {12, 1});
    table.applyRecord("a", false, {14, 1});
    table.advancePosition({15, 1});
    CHECK_FALSE(table.applyNewest(std::vector<ListedDataCentre> {{"a", 12}}, {13, 2}));
    CHECK(table.outOfService().empty());
    // Further reads of the newest records in the same epoch do not change that.
    CHECK_FALSE(table.applyNewest(std::vector<ListedDataCentre> {{"a", 12}}, {14, 2}));
    CHECK(table.outOfService().empty());
}

TEST_CASE("a record that the copy still has counts as removed when the store lists it no more")
{
    AvailabilityTable table = tableFrom({10, 1});
    table.applyRecord("a", true, {12, 1});
    table.advancePosition({15, 1});
    CHECK_FALSE(table.applyNewest(std::vector<ListedDataCentre> {{"a", 12}}, {13, 2}));
    CHECK(table.applyNewest({}, {20, 2}));
    CHECK(table.outOfService().empty());
}

TEST_CASE("a record that operators have written since the return counts, also at a lost offset")
{
    AvailabilityTable table = tableFrom({10, 1});
    table.applyRecord("b", true, {11, 1});
    table.applyRecord("a", true, {12, 1});
    table.applyRecord("a", false, {14, 1});
    table.advancePosition({15, 1});
    const std::vector<ListedDataCentre> listed {{"a", 13}, {"b", 11}};
    CHECK(table.applyNewest(listed, {14, 2}));
    CHECK(table.outOfService() == Names {"a", "b"});
}

TEST_CASE("a record that is written after the first read counts, also at the offset of a lost one")
{
    AvailabilityTable table = tableFrom({10, 1});
    table.applyRecord("a", true, {10, 1});
    table.applyRecord("a", false, {11, 1});
    table.advancePosition({12, 1});
    CHECK_FALSE(table.applyNewest({}, {10, 2}));
    CHECK(table.applyRecord("a", true, {10, 2}));
    CHECK(table.outOfService() == Names {"a"});

    AvailabilityTable other = tableFrom({10, 1});
    other.applyRecord("a", true, {10, 1});
    other.applyRecord("a", false, {11, 1});
    other.advancePosition({12, 1});
    other.applyNewest({}, {10, 2});
    CHECK(other.applyNewest(std::vector<ListedDataCentre> {{"a", 10}}, {11, 2}));
    CHECK(other.outOfService() == Names {"a"});
}

TEST_CASE("newest records of the same epoch return a data centre that they do not list")
{
    AvailabilityTable table = tableFrom({10, 1}, {{"a", 4}, {"b", 6}});
    CHECK(table.applyNewest(std::vector<ListedDataCentre> {{"b", 6}}, {20, 1}));
    CHECK(table.outOfService() == Names {"b"});
    // Older records that are still under way are ignored.
    CHECK_FALSE(table.applyRecord("a", true, {11, 1}));
}

TEST_CASE("an end below the position in the same epoch takes nothing back")
{
    AvailabilityTable table = tableFrom({10, 1}, {{"a", 4}});
    CHECK_FALSE(table.applyNewest({}, {8, 1}));
    CHECK(table.outOfService() == Names {"a"});
    CHECK(table.state().position == StorePosition {10, 1});
}

TEST_CASE("a daemon that starts after the return follows one that knew the earlier epoch")
{
    AvailabilityTable longRunning = tableFrom({10, 1});
    longRunning.applyRecord("a", true, {12, 1});
    longRunning.applyRecord("b", true, {13, 1});
    longRunning.applyRecord("b", false, {14, 1});
    longRunning.advancePosition({15, 1});
    const std::vector<ListedDataCentre> copy {{"b", 13}};
    AvailabilityTable restarted = tableFrom({14, 2}, copy);
    REQUIRE(restarted.outOfService() == Names {"b"});

    CHECK_FALSE(longRunning.merge(restarted.state()));
    CHECK(longRunning.state().position == StorePosition {15, 1});
    longRunning.applyNewest(copy, {14, 2});
    CHECK(longRunning.outOfService() == Names {"a"});

    CHECK(restarted.merge(longRunning.state()));
    CHECK(restarted.outOfService() == Names {"a"});
}

TEST_CASE("adopting the state of an earlier origin loses no record that was read since the return")
{
    AvailabilityTable longRunning = tableFrom({10, 1});
    longRunning.applyNewest({}, {8, 2});
    REQUIRE(longRunning.state().position == StorePosition {8, 2});
    // Operators have taken "a" out of service at 9 and "b" at 11.
    AvailabilityTable restarted = tableFrom({10, 2}, {{"a", 9}});
    restarted.applyRecord("b", true, {11, 2});
    restarted.advancePosition({12, 2});
    restarted.merge(longRunning.state());
    CHECK(restarted.outOfService() == Names {"a", "b"});
    CHECK(restarted.state().position == StorePosition {12, 2});
    CHECK(restarted.state().origin.epoch == 1);
}

TEST_CASE("daemons that have read different records before the return agree afterwards")
{
    AvailabilityTable first = tableFrom({10, 1});
    AvailabilityTable second = first;
    first.applyRecord("a", true, {12, 1});
    first.advancePosition({13, 1});
    first.applyNewest({}, {11, 2});
    second.applyNewest({}, {11, 2});
    first.advancePosition({11, 2});
    REQUIRE(first.state().position == second.state().position);
    CHECK(second.merge(first.state()));
    CHECK_FALSE(first.merge(second.state()));
    CHECK(first.outOfService() == second.outOfService());
    CHECK(second.state().digest() == first.state().digest());
}
