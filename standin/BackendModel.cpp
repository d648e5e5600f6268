#include "standin/BackendModel.h"

#include <cmath>
#include <numbers>

namespace Coltsfootwell::Standin {

namespace {

constexpr std::chrono::seconds FallenTime {2};
/// Samples older than this are dropped; the longest lag that a report can have.
constexpr std::chrono::seconds LongestLag {60};
/// Shape of the lognormal distribution; its p99 is about 8 times its median.
constexpr double LognormalSigma = 0.9;

/// Answers that warm a server which starts warm and is turned cold later.
constexpr unsigned DefaultWarmAfter = 20;

double normal(Random &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.uniform()));
    return radius * std::cos(2 * std::numbers::pi * random.uniform());
}

double draw(const BackendOptions &options, Random &random)
{
    if (options.distribution == "exponential") {
        return -options.serviceMs * std::log(1 - random.uniform());
    }
    if (options.distribution == "lognormal") {
        // The second term keeps the mean at serviceMs.
        return options.serviceMs
            * std::exp(LognormalSigma * normal(random) - LognormalSigma * LognormalSigma / 2);
    }
    return options.serviceMs;
}

} // namespace

std::string_view conditionName(Condition condition)
{
    switch (condition) {
    case Condition::Ready:
        return "ready";
    case Condition::Cold:
        return "cold";
    case Condition::Fallen:
        return "fallen";
    case Condition::Draining:
        return "draining";
    }
    return "unknown";
}

BackendModel::BackendModel(const BackendOptions &options)
    : m_options(options), m_cold(options.warmAfter > 0)
{
}

Entry BackendModel::enter(TimePoint now)
{
    if (now < m_fallenUntil) {
        return Entry::Fall;
    }
    if (m_cold && m_inUse >= m_options.coldSlots) {
        m_fallenUntil = now + FallenTime;
        m_answers = 0;
        return Entry::Fall;
    }
    if (m_inUse >= m_options.slots || m_draining) {
        return Entry::Shed;
    }
    ++m_inUse;
    sample(now);
    return Entry::Serve;
}

void BackendModel::leave(bool answered, TimePoint now)
{
    --m_inUse;
    sample(now);
    const unsigned needed = m_options.warmAfter > 0 ? m_options.warmAfter : DefaultWarmAfter;
    if (answered && m_cold && ++m_answers >= needed) {
        m_cold = false;
    }
}

Duration BackendModel::serviceTime(Random &random) const
{
    const double ms = draw(m_options, random) * (m_cold ? m_options.coldFactor : 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms))
        + faults.straggle;
}

void BackendModel::turnCold()
{
    m_cold = true;
    m_answers = 0;
}

void BackendModel::drain()
{
    m_draining = true;
}

Condition BackendModel::condition(TimePoint now) const
{
    if (now < m_fallenUntil) {
        return Condition::Fallen;
    }
    if (m_draining) {
        return Condition::Draining;
    }
    return m_cold ? Condition::Cold : Condition::Ready;
}

unsigned BackendModel::reportedInUse(TimePoint now) const
{
    if (faults.loadLie >= 0) {
        return static_cast<unsigned>(faults.loadLie);
    }
    unsigned value = faults.loadLag.count() > 0 ? 0 : m_inUse;
    for (const auto &[time, inUse] : m_samples) {
        if (time + faults.loadLag <= now) {
            value = inUse;
        }
    }
    return value;
}

void BackendModel::sample(TimePoint now)
{
    m_samples.emplace_back(now, m_inUse);
    // The newest sample older than the longest lag stays, since it is the value at that time.
    while (m_samples.size() > 1 && m_samples[1].first + LongestLag < now) {
        m_samples.pop_front();
    }
}

} // namespace Coltsfootwell::Standin
