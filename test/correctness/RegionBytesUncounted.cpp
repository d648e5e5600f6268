// Guards against calls to other regions whose bytes are not counted, and against senders that do
// not tell the daemons which share the link with them.
#include "RoutingWorld.h"
#include "kernel/ManualExecutor.h"
#include "services/RegionLink.h"

#include <doctest/doctest.h>

#include <memory>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;

namespace {

struct World
{
    ManualExecutor executor;
    std::shared_ptr<RegionLink> link
        = std::make_shared<RegionLink>(executor, Place {{"a1-x", 1}, "a", "a1"});
    std::vector<bool> told;
    Mailbox<MembershipMessage> membership {executor, [this](MembershipMessage message) {
                                               if (const auto *active
                                                   = std::get_if<CrossRegionActive>(&message)) {
                                                   told.push_back(active->active);
                                               }
                                           }};
    Configuration configuration;

    World()
    {
        configuration.limits.regionLinkBytesPerSecond = 100'000;
        link->tell(membership.address());
        link->configurationChanged(configuration);
    }

    RunAttempt call(const std::string &region, std::size_t bytes) const
    {
        RunAttempt run;
        run.target.region = region;
        run.head = std::make_shared<CallHead>();
        run.body.bytes = std::make_shared<const std::string>(bytes, 'x');
        return run;
    }
};

} // namespace

TEST_CASE("only calls to other regions are counted, and the sender says when it begins and ends")
{
    World world;
    world.link->sending(world.call("a", 1'000'000));
    CHECK(world.link->allows(world.executor.now()));
    world.link->sending(world.call("b", 30'000));
    CHECK_FALSE(world.link->allows(world.executor.now()));
    world.executor.advance(std::chrono::seconds(1));
    CHECK(world.link->allows(world.executor.now()));
    CHECK(world.told == std::vector<bool> {true});
    world.executor.advance(RegionLink::SenderLifetime);
    CHECK(world.told == std::vector<bool> {true, false});
}

TEST_CASE("streamed answers are counted, also what came before the counter")
{
    World world;
    auto pipe = std::make_shared<BodyPipe>(world.executor);
    pipe->write(std::string(15'000, 'x'), [](bool) {});
    world.link->receiving(world.call("b", 0).target, {{}, pipe, std::nullopt});
    CHECK(world.link->allows(world.executor.now()));
    pipe->write(std::string(15'000, 'x'), [](bool) {});
    CHECK_FALSE(world.link->allows(world.executor.now()));
}

TEST_CASE("the share shrinks with the number of senders in the region")
{
    World world;
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", 3);
    addMembers(members, "b", "b1", "s", 3);
    for (Member &member : members) {
        member.crossRegion = true;
    }
    world.link->membersChanged(members);
    // Four senders share 80,000 bytes/s, so this debt takes a second to pay.
    world.link->sending(world.call("b", 25'000));
    world.executor.advance(std::chrono::milliseconds(900));
    CHECK_FALSE(world.link->allows(world.executor.now()));
    world.executor.advance(std::chrono::milliseconds(200));
    CHECK(world.link->allows(world.executor.now()));
}
