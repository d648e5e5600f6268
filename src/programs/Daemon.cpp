#include "programs/Daemon.h"

#include "services/Backend.h"
#include "services/Callers.h"
#include "services/Calls.h"
#include "services/ConfigurationService.h"
#include "services/DaemonList.h"
#include "services/Membership.h"
#include "services/Peers.h"
#include "services/Stop.h"
#include "services/Telemetry.h"

namespace Coltsfootwell {

namespace {

constexpr std::uint64_t IncarnationsPerMillisecond = 65'536;

Incarnation newIncarnation(Random &random)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return static_cast<Incarnation>(ms) * IncarnationsPerMillisecond
        + random.below(IncarnationsPerMillisecond);
}

} // namespace

void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, ConfigurationPtr initial, Task left)
{
    const DaemonId id {settings.id, newIncarnation(kernel.random())};
    const Place place {id, settings.region, settings.dataCentre};
    MembershipSettings membership;
    membership.self.id = id;
    membership.self.endpoint = settings.listen;
    membership.self.region = settings.region;
    membership.self.dataCentre = settings.dataCentre;
    membership.seeds = settings.seeds;

    kernel.add(makeStop(kernel, std::move(left)));
    kernel.add(makeTelemetry(kernel, id));
    kernel.add(makeMembership(kernel, context, membership));
    kernel.add(makeConfigurationService(kernel, std::move(initial)));
    kernel.add(makeBackend(kernel, context, place));
    kernel.add(makePeers(kernel, context));
    kernel.add(makeCalls(kernel, place));
    kernel.add(makeDaemonList(kernel));
    kernel.add(makeCallers(kernel, context, {settings.listen, id}));
}

} // namespace Coltsfootwell
