// Guards against a data centre that stays out of service after the store has come back from an
// older copy, since no running daemon has read that operators have brought it back.
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

} // namespace

TEST_CASE("an outage that a frozen daemon has seen ends when the store does not list it")
{
    AvailabilityTable frozen = tableFrom({10, 1}, {{"a", 4}}); // a returned later, at 12 in epoch 1
    AvailabilityTable r = tableFrom({30, 2});
    r.merge(frozen.state());
    r.applyNewest({}, {40, 2});
    r.advancePosition({40, 2});
    r.applyNewest({}, {50, 2});
    CHECK(r.outOfService().empty());
}

TEST_CASE("a removal that lies before the records that are repeated counts")
{
    AvailabilityTable t = tableFrom({10, 1});
    t.applyRecord("a", true, {11, 1});
    t.advancePosition({12, 1});
    t.applyNewest({}, {13, 2}); // copy ends at 12, removed at 12
    // moreRecordsAvailable(): the newest records are read instead
    t.applyNewest({}, {14, 2});
    CHECK(t.outOfService().empty());
}
