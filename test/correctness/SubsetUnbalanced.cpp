// Guards against subsets that leave some servers without senders or ignore network distance.
#include "PlacementFixture.h"
#include "decisions/RoutingSubset.h"

#include <doctest/doctest.h>

#include <map>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

struct Counts
{
    std::size_t dataCentre = 0;
    std::size_t region = 0;
    std::size_t otherRegions = 0;
};

Counts countsOf(const std::vector<Member> &members, std::span<const std::string> homeRegions = {})
{
    const Locality locality {{"a1-x", 1}, "a", "a1"};
    Counts counts;
    for (const Member *member :
         chooseSubset(locality, "s", homeRegions, members, *configurationFor(members))) {
        if (member->region != locality.region) {
            ++counts.otherRegions;
        } else {
            ++(member->dataCentre == locality.dataCentre ? counts.dataCentre : counts.region);
        }
    }
    return counts;
}

} // namespace

TEST_CASE("a subset has four local members, two of the region and two of other regions")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 10);
    addMembers(members, "a", "a2", "s", 10);
    addMembers(members, "b", "b1", "s", 10);
    const Counts counts = countsOf(members);
    CHECK(counts.dataCentre == 4);
    CHECK(counts.region == 2);
    CHECK(counts.otherRegions == 2);
}

TEST_CASE("gaps are filled from the next tier, and home regions restrict the tiers")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 1);
    addMembers(members, "a", "a2", "s", 10);
    addMembers(members, "b", "b1", "s", 10);
    CHECK(countsOf(members).region == 5);
    CHECK(countsOf(members).otherRegions == 2);
    const std::vector<std::string> homeRegions {"a"};
    CHECK(countsOf(members, homeRegions).otherRegions == 0);
    CHECK(countsOf(members, homeRegions).region == 7);
}

TEST_CASE("every server is in the subset of some senders")
{
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 12);
    addMembers(members, "a", "a2", "s", 12);
    addMembers(members, "a", "a1", "caller", 100);
    addMembers(members, "a", "a2", "caller", 100);
    const ConfigurationPtr configuration = configurationFor(members);
    std::map<std::string, unsigned> senders;
    for (const Member &chooser : members) {
        for (const Member *member : chooseSubset({chooser.id, chooser.region, chooser.dataCentre},
                                                 "s", {}, members, *configuration)) {
            ++senders[member->id.name];
        }
    }
    // 224 senders with 8 targets each give each of 24 servers 75 senders on average.
    CHECK(senders.size() == 24);
    for (const auto &entry : senders) {
        CHECK_MESSAGE(entry.second > 37, entry.first);
        CHECK_MESSAGE(entry.second < 150, entry.first);
    }
}
