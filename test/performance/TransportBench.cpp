// Prints one JSON line for each transport: the time of one hop with a body of 1 KiB over loopback,
// all transports in alternating rounds of one run, and the memory of unused connections.
#include "performance/TransportHops.h"
#include "performance/TransportMemory.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

namespace {

using namespace Coltsfootwell::Testing;

constexpr unsigned Rounds = 10;
constexpr unsigned HopsPerRound = 400;
/// The first hops connect and fill caches.
constexpr unsigned WarmUpHops = 200;
/// Rounds that would begin later are left out.
constexpr std::chrono::seconds TimeLimit {12};
constexpr unsigned Connections = 200;

struct Measured
{
    std::unique_ptr<TransportHop> hop;
    std::vector<double> microseconds;
    unsigned failed = 0;
};

double timed(TransportHop &hop, bool &good)
{
    const auto began = std::chrono::steady_clock::now();
    good = hop.run();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began)
        .count();
}

void measureRound(Measured &measured, unsigned hops, bool keep)
{
    for (unsigned i = 0; i < hops; ++i) {
        bool good = false;
        const double took = timed(*measured.hop, good);
        measured.failed += good ? 0 : 1;
        if (good && keep) {
            measured.microseconds.push_back(took);
        }
    }
}

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(n, sorted.size() - 1)];
}

void print(Measured &measured)
{
    std::ranges::sort(measured.microseconds);
    std::printf("{\"case\": \"transport\", \"hop\": \"%s\", \"bodyBytes\": %zu, \"hops\": %zu, "
                "\"failed\": %u, \"p50us\": %.1f, \"p99us\": %.1f}\n",
                measured.hop->name(), HopBodyBytes, measured.microseconds.size(), measured.failed,
                quantile(measured.microseconds, 0.5), quantile(measured.microseconds, 0.99));
}

void print(const char *kind, const ConnectionMemory &memory)
{
    std::printf("{\"case\": \"transport-memory\", \"connections\": \"%s\", \"number\": %u, "
                "\"bytesEach\": %.0f, \"failed\": %u}\n",
                kind, Connections, memory.bytesEach, memory.failed);
}

} // namespace

int main()
{
    const auto end = std::chrono::steady_clock::now() + TimeLimit;
    std::vector<Measured> all;
    for (auto &hop : makeTransportHops()) {
        all.push_back({std::move(hop), {}, 0});
        measureRound(all.back(), WarmUpHops, false);
    }
    for (unsigned i = 0; i < Rounds && std::chrono::steady_clock::now() < end; ++i) {
        for (Measured &measured : all) {
            measureRound(measured, HopsPerRound, true);
        }
    }
    for (Measured &measured : all) {
        print(measured);
    }
    all.clear();
    print("HttpPool", httpPoolMemory(Connections));
    print("gRPC channels", grpcChannelMemory(Connections));
    return 0;
}
