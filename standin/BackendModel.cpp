#include "standin/BackendModel.h"

#include <cmath>
#include <numbers>

namespace Coltsfootwell::Standin {

namespace {

/// Time from a crash until the server accepts calls again.
constexpr std::chrono::seconds CrashRecoveryTime {2};
/// Maximum delay of a load report; older load samples are evicted.
constexpr std::chrono::seconds MaxLoadReportDelay {60};
/// Standard deviation of the logarithm of lognormal service times, which makes their p99 about 8
/// times their median.
constexpr double LognormalSigma = 0.9;

/// Number of answers that warm up a server whose options make it start warm, after a fault command
/// has made it cold.
constexpr unsigned DefaultWarmAfter = 20;

/// Draws from the standard normal distribution with the Box-Muller transform.
double standardNormal(Random &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.uniform()));
    return radius * std::cos(2 * std::numbers::pi * random.uniform());
}

/// Draws the service time of a warm server.
double sampleServiceTimeMs(const BackendOptions &options, Random &random)
{
    if (options.distribution == "exponential") {
        return -options.serviceMs * std::log(1 - random.uniform());
    }
    if (options.distribution == "lognormal") {
        // The subtrahend keeps the mean at serviceMs.
        return options.serviceMs
            * std::exp(LognormalSigma * standardNormal(random)
                       - LognormalSigma * LognormalSigma / 2);
    }
    return options.serviceMs;
}

} // namespace

std::string_view serverStateName(ServerState state)
{
    switch (state) {
    case ServerState::Ready:
        return "ready";
    case ServerState::Cold:
        return "cold";
    case ServerState::Crashed:
        return "fallen";
    case ServerState::Draining:
        return "draining";
    }
    return "unknown";
}

BackendModel::BackendModel(const BackendOptions &options)
    : m_options(options), m_cold(options.warmAfter > 0)
{
}

AdmissionVerdict BackendModel::admit(TimePoint now)
{
    if (now < m_crashedUntil) {
        return AdmissionVerdict::Crash;
    }
    if (m_cold && m_inUse >= m_options.coldSlots) {
        m_crashedUntil = now + CrashRecoveryTime;
        m_warmUpAnswers = 0;
        return AdmissionVerdict::Crash;
    }
    if (m_inUse >= m_options.slots || m_draining) {
        return AdmissionVerdict::Shed;
    }
    ++m_inUse;
    recordLoad(now);
    return AdmissionVerdict::Admit;
}

void BackendModel::release(bool answered, TimePoint now)
{
    --m_inUse;
    recordLoad(now);
    const unsigned answersToWarm = m_options.warmAfter > 0 ? m_options.warmAfter : DefaultWarmAfter;
    if (answered && m_cold && ++m_warmUpAnswers >= answersToWarm) {
        m_cold = false;
    }
}

Duration BackendModel::serviceTime(Random &random) const
{
    const double ms = sampleServiceTimeMs(m_options, random) * (m_cold ? m_options.coldFactor : 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms))
        + faults.addedServiceTime;
}

void BackendModel::becomeCold()
{
    m_cold = true;
    m_warmUpAnswers = 0;
}

void BackendModel::drain()
{
    m_draining = true;
}

ServerState BackendModel::state(TimePoint now) const
{
    if (now < m_crashedUntil) {
        return ServerState::Crashed;
    }
    if (m_draining) {
        return ServerState::Draining;
    }
    return m_cold ? ServerState::Cold : ServerState::Ready;
}

unsigned BackendModel::reportedInUse(TimePoint now) const
{
    if (faults.claimedInUse >= 0) {
        return static_cast<unsigned>(faults.claimedInUse);
    }
    unsigned value = faults.loadReportDelay.count() > 0 ? 0 : m_inUse;
    for (const auto &[time, inUse] : m_loadSamples) {
        if (time + faults.loadReportDelay <= now) {
            value = inUse;
        }
    }
    return value;
}

void BackendModel::recordLoad(TimePoint now)
{
    m_loadSamples.emplace_back(now, m_inUse);
    // One sample older than the maximum delay is kept, because its value is still valid at that
    // time.
    while (m_loadSamples.size() > 1 && m_loadSamples[1].first + MaxLoadReportDelay < now) {
        m_loadSamples.pop_front();
    }
}

} // namespace Coltsfootwell::Standin
