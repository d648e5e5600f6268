// Random numbers as an injected dependency, so that tests repeat a run from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace Coltsfootwell {

/// \brief Source of random numbers.
class Random
{
public:
    virtual ~Random() = default;

    /// \return 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// \param limit exclusive upper bound, greater than zero.
    /// \return a number from 0 to limit - 1.
    std::uint64_t below(std::uint64_t limit) { return next() % limit; }

    /// \return a number from 0 (included) to 1 (excluded).
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

/// \brief Random numbers that follow from a seed.
class SeededRandom final : public Random
{
public:
    /// \param seed start of the sequence.
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }

    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Coltsfootwell
