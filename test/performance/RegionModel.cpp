#include "performance/RegionModel.h"

#include "RoutingWorld.h"
#include "decisions/RegionBudget.h"

#include <memory>

namespace Coltsfootwell::Testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t CallBytes = 10'000;
constexpr seconds Length {30};
constexpr milliseconds Step {1};
constexpr unsigned OwnServers = 4;

struct Sender
{
    Sender(std::span<const Member> members, const ConfigurationPtr &configuration, unsigned senders,
           Random &random)
        : routing({{"entry", 1}, "a", "a1"}, random)
    {
        budget.limitsChanged(ModelLinkBytesPerSecond, senders, TimePoint());
        routing.limitRegionsBy(budget);
        routing.membersChanged(members);
        routing.configurationChanged(configuration);
    }

    RegionBudget budget;
    Routing routing;
};

} // namespace

RegionResult runRegionCase(const RegionCase &regionCase)
{
    SeededRandom random(regionCase.seed);
    std::vector<Member> members;
    addMembers(members, "a", "a1", "s", OwnServers);
    std::vector<DaemonId> own;
    for (const Member &member : members) {
        own.push_back(member.id);
    }
    addMembers(members, "b", "b1", "s", OwnServers);
    const ConfigurationPtr configuration = configurationFor(members);
    std::vector<std::unique_ptr<Sender>> senders;
    for (unsigned i = 0; i < regionCase.senders; ++i) {
        senders.push_back(
            std::make_unique<Sender>(members, configuration, regionCase.senders, random));
    }
    const double callsPerStep = regionCase.offeredOfLink * ModelLinkBytesPerSecond / CallBytes
        * std::chrono::duration<double>(Step).count();
    RegionResult result;
    std::vector<double> bytes(static_cast<std::size_t>(Length.count()));
    double due = 0;
    for (TimePoint now {}; now - TimePoint() < Length; now += Step) {
        for (due += callsPerStep; due >= 1; due -= 1) {
            ++result.calls;
            if (random.unit() >= regionCase.shortage) {
                continue;
            }
            Sender &sender = *senders[random.below(senders.size())];
            const auto choice = sender.routing.pick(factsFor("s"), own, now);
            if (std::holds_alternative<Reason>(choice)) {
                ++result.refused;
                continue;
            }
            ++result.sentAway;
            sender.budget.spend(CallBytes, now);
            const auto second = std::chrono::duration_cast<seconds>(now - TimePoint()).count();
            bytes[static_cast<std::size_t>(second)] += CallBytes;
        }
    }
    result.bytesPerSecond
        = static_cast<double>(result.sentAway * CallBytes) / static_cast<double>(Length.count());
    result.peakBytesPerSecond = *std::ranges::max_element(bytes);
    return result;
}

} // namespace Coltsfootwell::Testing
