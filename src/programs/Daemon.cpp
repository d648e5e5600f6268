#include "programs/Daemon.h"

#include "services/Backend.h"
#include "services/Callers.h"
#include "services/Calls.h"
#include "services/Claims.h"
#include "services/ConfigurationService.h"
#include "services/DaemonList.h"
#include "services/LogAccess.h"
#include "services/LogClient.h"
#include "services/LogServer.h"
#include "services/Membership.h"
#include "services/Peers.h"
#include "services/Stop.h"
#include "services/Telemetry.h"

#include <algorithm>

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

ConfigurationSettings configurationSettings(const DaemonSettings &settings, const DaemonId &id,
                                            ConfigurationPtr initial)
{
    ConfigurationSettings configuration;
    configuration.self = id;
    configuration.region = settings.region;
    configuration.dataCentre = settings.dataCentre;
    configuration.endpoint = settings.advertise;
    configuration.initial = std::move(initial);
    configuration.retention = {settings.log.retention, settings.log.retentionRecords};
    return configuration;
}

} // namespace

void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, ConfigurationPtr initial,
                       Incarnation minIncarnation, DaemonEvents events,
                       const DaemonStrategies &strategies)
{
    const DaemonId id {settings.id, std::max(newIncarnation(kernel.random()), minIncarnation)};
    const Place place {id, settings.region, settings.dataCentre};
    MembershipSettings membership;
    membership.self.id = id;
    membership.listen = settings.listen;
    membership.self.endpoint = settings.advertise;
    membership.self.region = settings.region;
    membership.self.dataCentre = settings.dataCentre;
    membership.seeds = settings.seeds;
    membership.conflict = std::move(events.conflict);

    kernel.add(makeStop(kernel, std::move(events.left)));
    kernel.add(makeTelemetry(kernel, id));
    kernel.add(makeMembership(kernel, context, membership));
    if (settings.log.embedded) {
        LogServerSettings log;
        log.listen = settings.log.address;
        log.retention = settings.log.retention;
        log.maxRecords = settings.log.retentionRecords;
        kernel.add(makeLogServer(kernel, log));
    }
    ConfigurationSettings configuration = configurationSettings(settings, id, std::move(initial));
    configuration.filter = strategies.configurationFilter;
    kernel.add(makeConfigurationService(
        kernel, context, configuration,
        settings.log.address.empty() ? nullptr
                                     : makeGrpcLogClient(kernel.executor(), settings.log.address)));
    if (!settings.log.address.empty()) {
        kernel.add(
            makeLogAccess(kernel, makeGrpcLogClient(kernel.executor(), settings.log.address)));
    }
    kernel.add(makeBackend(kernel, context, place, *strategies.guards));
    kernel.add(makePeers(kernel, context));
    kernel.add(makeClaims(kernel, id));
    kernel.add(makeCalls(kernel, place, *strategies.guards));
    kernel.add(makeDaemonList(kernel));
    kernel.add(makeCallers(kernel, context, {settings.listen, id}));
}

} // namespace Coltsfootwell
