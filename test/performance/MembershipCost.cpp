// Measures the cost of the membership protocol for a daemon by the number of members. Prints one
// line of JSON for each number of members. Usage: membership-cost [N...], membership-cost mass-loss
// N or membership-cost mass-start N.
#include "MembershipSimulation.h"
#include "performance/MassChange.h"
#include "wire/MembershipCodec.h"

#include <ctime>
#include <fstream>
#include <malloc.h>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

/// Size of the IPv4 and UDP headers of a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;
/// Duration of the measurement in the steady state.
constexpr auto MeasuredTime = 30s;
/// Time after which the gossip of a start has ended.
constexpr auto SettlingTime = 60s;
/// Maximum time until all members have joined.
constexpr auto MaxJoinTime = 180s;
/// Maximum time until a change has reached all members.
constexpr auto MaxChangeTime = 60s;
constexpr std::uint64_t Seed = 17;

struct Traffic
{
    std::uint64_t datagrams = 0;
    std::uint64_t datagramBytes = 0;
    std::uint64_t syncBytes = 0;
};

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/// Nine data centres in three regions, with names of typical length.
std::pair<std::string, std::string> localityOf(std::size_t index)
{
    const std::string region = "nordeste-region" + std::to_string(index % 3);
    return {region, region.substr(0, 8) + '-' + std::to_string(index % 9)};
}

double secondsOf(std::optional<Duration> time)
{
    return time ? std::chrono::duration<double>(*time).count() : -1.0;
}

/// \return seconds until a change of one member has reached all members; -1 after MaxChangeTime.
double timeOfChange(MembershipSimulation &simulation, std::size_t changed)
{
    const std::string name = simulation.processes()[changed].self.id.name;
    simulation.processes()[changed].membership->setBackend("estoque-consulta",
                                                           BackendState::Draining, 9);
    return secondsOf(simulation.runUntil(
        [&] {
            return std::ranges::all_of(simulation.processes(), [&](const Process &process) {
                return std::ranges::any_of(process.membership->members(), [&](const Member &m) {
                    return m.id.name == name && m.backend == BackendState::Draining;
                });
            });
        },
        MaxChangeTime));
}

/// \return seconds until a killed member is unreachable in all lists; -1 after MaxChangeTime.
double timeOfLoss(MembershipSimulation &simulation, std::size_t killed)
{
    simulation.processes()[killed].running = false;
    const std::string name = simulation.processes()[killed].self.id.name;
    return secondsOf(simulation.runUntil(
        [&] { return simulation.allHaveState(name, MemberState::Unreachable); }, MaxChangeTime));
}

/// \brief Results of a network partition between one region and the others.
struct RegionLoss
{
    /// Seconds until the members of the other side are down in all lists; -1 after MaxChangeTime.
    double lostSeconds = -1;
    /// Seconds until all members are alive in all lists again; -1 after MaxChangeTime.
    double returnSeconds = -1;
    /// Maximum over all seconds of the partition and the return of the mean traffic of a member.
    double peakBytesPerSecond = 0;
};

/// Runs until the lists of all members have the expected number of alive members.
double timeUntilAlive(MembershipSimulation &simulation, const Traffic &traffic, RegionLoss &loss,
                      const std::function<std::size_t(const Process &)> &expected)
{
    const auto hasAliveCount = [&expected](const Process &process) {
        return !process.running
            || std::ranges::count(process.membership->members(), MemberState::Alive, &Member::state)
            == static_cast<std::ptrdiff_t>(expected(process));
    };
    const TimePoint start = simulation.now();
    while (simulation.now() - start < MaxChangeTime) {
        const std::uint64_t before = traffic.datagramBytes + traffic.syncBytes;
        simulation.run(1s);
        const auto sent = static_cast<double>(traffic.datagramBytes + traffic.syncBytes - before);
        const auto members = static_cast<double>(simulation.processes().size());
        loss.peakBytesPerSecond = std::max(loss.peakBytesPerSecond, 2.0 * sent / members);
        if (std::ranges::all_of(simulation.processes(), hasAliveCount)) {
            return secondsOf(simulation.now() - start);
        }
    }
    return -1;
}

RegionLoss loseRegion(MembershipSimulation &simulation, const Traffic &traffic)
{
    RegionLoss loss;
    const std::string lost = localityOf(2).first;
    const auto alive = [&](bool inside) {
        return static_cast<std::size_t>(
            std::ranges::count_if(simulation.processes(), [&](const Process &process) {
                return process.running && (process.self.region == lost) == inside;
            }));
    };
    simulation.isDisconnected = [&lost](const Process &from, const Process &to) {
        return (from.self.region == lost) != (to.self.region == lost);
    };
    loss.lostSeconds = timeUntilAlive(simulation, traffic, loss, [&](const Process &process) {
        return alive(process.self.region == lost);
    });
    simulation.run(60s);
    simulation.isDisconnected = [](const Process &, const Process &) { return false; };
    loss.returnSeconds = timeUntilAlive(
        simulation, traffic, loss, [&](const Process &) { return alive(true) + alive(false); });
    return loss;
}

/// Heap bytes per member record in a MemberTable, including its index and queue.
double recordBytes(std::size_t n)
{
    const std::size_t before = heapBytes();
    Member self;
    self.id.name = "daemon-0";
    MemberTable table(self);
    for (std::size_t i = 1; i <= n; ++i) {
        MemberRecord record;
        record.member.id = {"daemon-" + std::to_string(i), 1};
        record.member.endpoint = MembershipSimulation::endpointOf(i);
        std::tie(record.member.region, record.member.dataCentre) = localityOf(i);
        record.member.service = "estoque-consulta";
        table.merge(record, {});
    }
    return static_cast<double>(heapBytes() - before) / static_cast<double>(n);
}

void measure(std::size_t n)
{
    MembershipSimulation simulation(Seed);
    Traffic traffic;
    simulation.onSend = [&traffic](const Datagram &datagram) {
        const std::string bytes = encodeDatagram(datagram);
        ++traffic.datagrams;
        traffic.datagramBytes += bytes.size() + DatagramHeaderBytes;
        std::error_code ec;
        return decodeDatagram(bytes, ec);
    };
    simulation.onTransfer = [&traffic](const Transfer &transfer) {
        if (const auto *request = std::get_if<const SyncRequest *>(&transfer.content)) {
            traffic.syncBytes += encodeSyncRequest(**request).size();
        } else if (const auto *answer = std::get_if<const SyncAnswer *>(&transfer.content)) {
            traffic.syncBytes += encodeSyncAnswer(**answer).size();
        }
    };
    simulation.startMany(n, localityOf);
    for (Process &process : simulation.processes()) {
        process.membership->setBackend("estoque-consulta", BackendState::Warm, 9);
    }
    const auto joined
        = simulation.runUntil([&] { return simulation.allHaveAliveCount(n); }, MaxJoinTime);
    simulation.run(SettlingTime);
    traffic = {};
    const double cpuBefore = cpuSeconds();
    simulation.run(MeasuredTime);
    const double cpu = cpuSeconds() - cpuBefore;
    const Traffic steady = traffic;
    const double change = timeOfChange(simulation, n / 2);
    const double loss = timeOfLoss(simulation, n / 3);
    simulation.run(SettlingTime);
    const RegionLoss region = loseRegion(simulation, traffic);
    const double memberSeconds
        = static_cast<double>(n) * static_cast<double>(std::chrono::seconds(MeasuredTime).count());
    // Each byte counts twice: for its sender and for its receiver.
    std::cout << "{\"members\":" << n << ",\"joinSeconds\":" << secondsOf(joined)
              << ",\"datagramsSentPerSecond\":"
              << static_cast<double>(steady.datagrams) / memberSeconds
              << ",\"datagramBytesSentAndReceivedPerSecond\":"
              << 2.0 * static_cast<double>(steady.datagramBytes) / memberSeconds
              << ",\"syncBytesSentAndReceivedPerSecond\":"
              << 2.0 * static_cast<double>(steady.syncBytes) / memberSeconds
              << ",\"cpuMicrosecondsPerMemberSecond\":" << cpu * 1e6 / memberSeconds
              << ",\"bytesPerMemberRecord\":" << recordBytes(n)
              << ",\"changeToAllSeconds\":" << change << ",\"lossToAllSeconds\":" << loss
              << ",\"regionLostSeconds\":" << region.lostSeconds
              << ",\"regionBackSeconds\":" << region.returnSeconds
              << ",\"regionPeakBytesPerSecond\":" << region.peakBytesPerSecond << "}" << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes {64, 250, 1000};
    if (argc == 3 && std::string_view(argv[1]).starts_with("mass-")) {
        const bool isLoss = std::string_view(argv[1]) == "mass-loss";
        (isLoss ? measureMassLoss : measureMassStart)(std::strtoul(argv[2], nullptr, 10));
        return 0;
    }
    if (argc > 1) {
        sizes.clear();
        for (int i = 1; i < argc; ++i) {
            sizes.push_back(std::strtoul(argv[i], nullptr, 10));
        }
    }
    for (const std::size_t n : sizes) {
        measure(n);
    }
    return 0;
}
