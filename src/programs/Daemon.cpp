#include "programs/Daemon.h"

#include "platform/PlatformInterface.h"
#include "services/Announcements.h"
#include "services/Backend.h"
#include "services/Callers.h"
#include "services/Calls.h"
#include "services/ConfigurationFollower.h"
#include "services/ControlListener.h"
#include "services/CountedStore.h"
#include "services/DaemonList.h"
#include "services/DaemonRecords.h"
#include "services/LeftProcessRecords.h"
#include "services/Links.h"
#include "services/Membership.h"
#include "services/Resources.h"
#include "services/StopCoordinator.h"
#include "services/Telemetry.h"
#include "wire/OwnDialect.h"

#include <sys/resource.h>

#include <algorithm>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// An incarnation is the start time in milliseconds times this number, plus a random number below
/// it.
constexpr std::uint64_t IncarnationsPerMillisecond = 65'536;
/// Maximum of StopCoordinatorSettings::leaveTime, the first phase of a planned stop: callers and
/// peers are notified of the stop while the daemon still accepts calls.
constexpr milliseconds MaxLeaveTime {3000};
/// Maximum leave time as a fraction of DaemonSettings::maxStopDuration.
constexpr double MaxLeaveTimeFraction = 0.45;
/// Margin between the end of a planned stop and DaemonSettings::maxStopDuration, after which the
/// process may be killed.
constexpr milliseconds StopMargin {400};

/// Maximum memory of the requests that callers have sent, of the bodies that other daemons have
/// sent, of the answers of the backend server and of those that other daemons have sent, as
/// fractions of DaemonSettings::memoryMegabytes. The rest is for buffers and everything else. Each
/// budget is separate, since two daemons that send each other bodies and answers could wait for
/// each other with a shared one.
constexpr double CallerRequestFraction = 0.25;
constexpr double PeerBodyFraction = 0.2;
constexpr double ServerLongAnswerFraction = 0.15;
constexpr double ServerShortAnswerFraction = 0.05;
constexpr double PeerLongAnswerFraction = 0.1;
constexpr double PeerShortAnswerFraction = 0.05;
/// Part of the memory for the server's short answers that may be taken by those that have been sent
/// to other daemons.
constexpr double KeptAnswerFraction = 0.5;

std::size_t memoryFraction(const DaemonSettings &settings, double fraction)
{
    constexpr double BytesPerMegabyte = 1 << 20;
    return static_cast<std::size_t>(settings.memoryMegabytes * BytesPerMegabyte * fraction);
}

/// \return maximum number of descriptors that the process may have.
std::size_t descriptorLimit()
{
    rlimit limit {};
    constexpr std::size_t Unknown = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? std::size_t(limit.rlim_cur) : Unknown;
}

AnswerLimits answerLimits(const DaemonSettings &settings, double longFraction, double shortFraction)
{
    const std::size_t longBytes = memoryFraction(settings, longFraction);
    return {longBytes, longBytes, memoryFraction(settings, shortFraction)};
}

milliseconds fractionOf(milliseconds duration, double fraction)
{
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(duration.count()) * fraction));
}

Incarnation newIncarnation(Random &random)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
    return static_cast<Incarnation>(ms) * IncarnationsPerMillisecond
        + random.below(IncarnationsPerMillisecond);
}

void addOwnRegistration(Kernel &kernel, const DaemonSettings &settings)
{
    kernel.add(makeAnnouncements(kernel, settings.listen.address));
}

const DaemonInterface &ownInterface()
{
    static const DaemonInterface interface {
        &ownDialect(), &ownControlFormat(), &makePlatformStore, &addOwnRegistration, false, true
    };
    return interface;
}

} // namespace

const DaemonInterface *findInterface(std::string_view name)
{
    if (name == "own") {
        return &ownInterface();
    }
    return name == "platform" ? &platformInterface() : nullptr;
}

void addDaemonServices(Kernel &kernel, boost::asio::io_context &context,
                       const DaemonSettings &settings, Incarnation minIncarnation,
                       DaemonCallbacks callbacks, const DaemonStrategies &strategies)
{
    const DaemonInterface &interface = *findInterface(settings.interface);
    const DaemonId id {settings.id, std::max(newIncarnation(kernel.random()), minIncarnation)};
    const Locality locality {id, settings.region, settings.dataCentre};
    const auto store = [&]() -> std::shared_ptr<StoreClient> {
        return settings.store
            ? makeCountedStore(kernel, interface.makeStore(kernel, context, *settings.store))
            : nullptr;
    };

    MembershipSettings membership;
    membership.self.id = id;
    membership.listen = settings.peers;
    membership.self.endpoint = settings.advertise;
    membership.self.callerPort = settings.listen.port;
    membership.self.region = settings.region;
    membership.self.dataCentre = settings.dataCentre;
    membership.seeds = settings.seeds;
    membership.onConflict = std::move(callbacks.onConflict);

    // Services stop in reverse order: the callers' connections first, and the services that carry
    // their answers last.
    kernel.add(makeStopCoordinator(
        kernel,
        {std::min(MaxLeaveTime, fractionOf(settings.maxStopDuration, MaxLeaveTimeFraction)),
         settings.maxStopDuration - StopMargin, std::move(callbacks.onStopped)}));
    kernel.add(makeTelemetry(kernel, id));
    kernel.add(makeResources(kernel, memoryFraction(settings, 1)));
    if (settings.admin) {
        kernel.add(makeControlListener(kernel, context, {"admin", *settings.admin}));
    }
    if (settings.ready) {
        kernel.add(makeControlListener(kernel, context, {"ready", *settings.ready}));
    }
    kernel.add(makeMembership(kernel, context, membership));
    kernel.add(
        makeLinks(kernel, context,
                  {settings.peers, locality, memoryFraction(settings, PeerBodyFraction),
                   answerLimits(settings, PeerLongAnswerFraction, PeerShortAnswerFraction),
                   memoryFraction(settings, ServerShortAnswerFraction * KeptAnswerFraction)}));
    kernel.add(makeConfigurationFollower(kernel, store(),
                                         {interface.format, settings.dataCentres,
                                          settings.configurationFile,
                                          strategies.configurationFilter, id.name}));
    if (settings.store) {
        kernel.add(makeDaemonRecords(kernel, store(), id, {settings.advertise, settings.listen}));
    }
    if (settings.store && interface.lastingInstanceIds) {
        kernel.add(makeLeftProcessRecords(kernel, store(), id.name));
    }
    kernel.add(
        makeBackend(kernel, context,
                    {locality, interface.dialect, settings.coldSlack, strategies.guards,
                     answerLimits(settings, ServerLongAnswerFraction, ServerShortAnswerFraction)}));
    interface.addRegistration(kernel, settings);
    if (settings.registration) {
        kernel.add(makeControlListener(kernel, context, {"registration", *settings.registration}));
    }
    kernel.add(
        makeCalls(kernel, {locality, settings.service, settings.retries, strategies.guards}));
    kernel.add(makeDaemonList(kernel, locality));
    kernel.add(makeCallers(kernel, context,
                           {settings.listen, id, interface.dialect, interface.servesControl,
                            memoryFraction(settings, CallerRequestFraction),
                            ConnectionLimit::callerShare(descriptorLimit())}));
}

} // namespace Coltsfootwell
