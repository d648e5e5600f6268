#include "performance/MassChange.h"

#include "MembershipSimulation.h"
#include "wire/MembershipCodec.h"

#include <array>
#include <numeric>

namespace Coltsfootwell::Testing {

namespace {

using namespace std::chrono_literals;

/// Size of the IPv4 and UDP headers of a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;
/// Window over which the traffic of one member is averaged.
constexpr std::size_t WindowSeconds = 10;
/// Maximum duration of the start.
constexpr auto MaxStartTime = 60s;
/// Time for which the member lists must be stable.
constexpr auto SettlingTime = 10s;
/// Maximum durations of the loss and of the return of the region.
constexpr auto MaxLossTime = 35s;
constexpr auto MaxReturnTime = 35s;
constexpr std::uint64_t Seed = 17;

enum Kind { PingKind, AckKind, IndirectKind, GossipKind, SyncRequestKind, SyncAnswerKind, Kinds };
constexpr std::array<std::string_view, Kinds> KindNames {"ping",   "ack",         "indirect",
                                                         "gossip", "syncRequest", "syncAnswer"};

/// \brief Bytes sent and received by each member in each second, and in total by kind of message.
class TrafficLog
{
public:
    explicit TrafficLog(std::size_t n) : m_current(n) { }

    void add(const Transfer &transfer)
    {
        std::visit([&](const auto *content) { count(transfer, *content); }, transfer.content);
    }

    void endSecond()
    {
        m_seconds.push_back(m_current);
        std::ranges::fill(m_current, 0);
    }

    /// \return maximum over all seconds of the mean traffic of a member, in bytes/s.
    double peakMean() const
    {
        double peak = 0;
        for (const auto &second : m_seconds) {
            const double sum = std::accumulate(second.begin(), second.end(), 0.0);
            peak = std::max(peak, sum / static_cast<double>(second.size()));
        }
        return peak;
    }

    /// \return maximum traffic of one member, averaged over a window, in bytes/s.
    double peakOfMember() const
    {
        double peak = 0;
        for (std::size_t member = 0; member < m_current.size(); ++member) {
            double sum = 0;
            for (std::size_t i = 0; i < m_seconds.size(); ++i) {
                sum += m_seconds[i][member];
                sum -= i >= WindowSeconds ? m_seconds[i - WindowSeconds][member] : 0;
                peak = std::max(peak, sum / WindowSeconds);
            }
        }
        return peak;
    }

    /// Prints the mean traffic of a member in bytes/s for each kind of message.
    void printKinds() const
    {
        const auto memberSeconds = static_cast<double>(m_current.size() * m_seconds.size());
        for (std::size_t kind = 0; kind < Kinds; ++kind) {
            std::cout << ",\"" << KindNames[kind] << "\":" << m_byKind[kind] / memberSeconds;
        }
    }

private:
    void count(const Transfer &transfer, const Datagram &datagram)
    {
        const std::size_t bytes = encodeDatagram(datagram).size() + DatagramHeaderBytes;
        const std::size_t plain = datagram.records.empty()
            ? bytes
            : encodeDatagram({datagram.from, datagram.body, {}}).size() + DatagramHeaderBytes;
        constexpr std::array<Kind, 4> ByBody {PingKind, AckKind, IndirectKind, IndirectKind};
        add(transfer, ByBody[datagram.body.index()], plain);
        add(transfer, GossipKind, bytes - plain);
    }

    void count(const Transfer &transfer, const SyncRequest &request)
    {
        // To an unreachable member only a handshake is sent, which is not counted.
        add(transfer, SyncRequestKind, transfer.arrives ? encodeSyncRequest(request).size() : 0);
    }

    void count(const Transfer &transfer, const SyncAnswer &answer)
    {
        add(transfer, SyncAnswerKind, encodeSyncAnswer(answer).size());
    }

    void add(const Transfer &transfer, Kind kind, std::size_t bytes)
    {
        const auto amount = static_cast<double>(bytes);
        m_current[transfer.from] += amount;
        m_current[transfer.to] += transfer.arrives ? amount : 0;
        m_byKind[kind] += transfer.arrives ? 2 * amount : amount;
    }

    std::vector<double> m_current;
    std::vector<std::vector<double>> m_seconds;
    std::array<double, Kinds> m_byKind {};
};

/// Nine data centres in three regions, with names of typical length.
std::pair<std::string, std::string> localityOf(std::size_t index)
{
    const std::string region = "nordeste-region" + std::to_string(index % 3);
    return {region, region.substr(0, 8) + '-' + std::to_string(index % 9)};
}

bool isLost(const Process &process)
{
    return process.self.region == localityOf(2).first;
}

bool hasAliveCount(const Process &process, std::size_t alive)
{
    return std::ranges::count(process.membership->members(), MemberState::Alive, &Member::state)
        == static_cast<std::ptrdiff_t>(alive);
}

/// \brief Time at which the lists of a group of processes reached the expected number of alive
/// members and kept it.
struct Settling
{
    /// Seconds since the start of the phase; -1 while not settled.
    double seconds = -1;

    void update(bool all, double at) { seconds = !all ? -1 : seconds < 0 ? at : seconds; }
};

/// Runs until the lists of all processes have had the expected number of alive members for
/// SettlingTime, or until the limit. Prints the settling time of all processes and of those outside
/// the lost region; -1 when they did not settle.
void run(MembershipSimulation &simulation, std::string_view phase, Duration limit,
         const std::function<std::size_t(const Process &)> &expected)
{
    TrafficLog log(simulation.processes().size());
    simulation.onTransfer = [&log](const Transfer &transfer) { log.add(transfer); };
    const TimePoint start = simulation.now();
    Settling all;
    Settling outside;
    const auto isOver = [&] {
        const std::chrono::duration<double> passed = simulation.now() - start;
        const std::chrono::duration<double> settled(all.seconds);
        return passed >= limit || (all.seconds >= 0 && passed >= settled + SettlingTime);
    };
    const auto isSettled
        = [&](const Process &process) { return hasAliveCount(process, expected(process)); };
    while (!isOver()) {
        simulation.run(1s);
        log.endSecond();
        const auto at = std::chrono::duration<double>(simulation.now() - start).count();
        all.update(std::ranges::all_of(simulation.processes(), isSettled), at);
        outside.update(std::ranges::all_of(simulation.processes(),
                                           [&](const Process &process) {
                                               return isLost(process) || isSettled(process);
                                           }),
                       at);
    }
    simulation.onTransfer = [](const Transfer &) {};
    std::cout << "{\"members\":" << simulation.processes().size() << ",\"phase\":\"" << phase
              << "\",\"settledSeconds\":" << all.seconds
              << ",\"settledOutsideSeconds\":" << outside.seconds
              << ",\"peakMeanBytesPerSecond\":" << log.peakMean()
              << ",\"peakMemberBytesPer10s\":" << log.peakOfMember();
    log.printKinds();
    std::cout << "}" << std::endl;
}

void startAll(MembershipSimulation &simulation, std::size_t n)
{
    simulation.startMany(n, localityOf);
    for (Process &process : simulation.processes()) {
        process.membership->setBackend("estoque-consulta", BackendState::Warm, 9);
    }
}

/// Gives every daemon the full list, which is cheaper than the mutual discovery of 1,000 daemons.
void settle(MembershipSimulation &simulation)
{
    SyncAnswer all;
    for (Process &process : simulation.processes()) {
        all.records.push_back({process.membership->members().front(), {}, {}, false});
    }
    for (Process &process : simulation.processes()) {
        process.membership->handleSyncAnswer(all.records, simulation.now());
    }
    simulation.run(SettlingTime);
}

} // namespace

void measureMassStart(std::size_t n)
{
    MembershipSimulation simulation(Seed);
    startAll(simulation, n);
    run(simulation, "start", MaxStartTime, [n](const Process &) { return n; });
}

void measureMassLoss(std::size_t n)
{
    MembershipSimulation simulation(Seed);
    startAll(simulation, n);
    settle(simulation);
    run(simulation, "steady", SettlingTime, [n](const Process &) { return n; });
    const auto lost
        = static_cast<std::size_t>(std::ranges::count_if(simulation.processes(), isLost));
    simulation.isDisconnected
        = [](const Process &from, const Process &to) { return isLost(from) != isLost(to); };
    run(simulation, "loss", MaxLossTime,
        [=](const Process &process) { return isLost(process) ? lost : n - lost; });
    simulation.isDisconnected = [](const Process &, const Process &) { return false; };
    run(simulation, "return", MaxReturnTime, [n](const Process &) { return n; });
}

} // namespace Coltsfootwell::Testing
