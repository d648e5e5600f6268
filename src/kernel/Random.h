// Injectable random number source, which makes test runs reproducible from a seed.
#pragma once

#include <cstdint>
#include <random>

namespace Coltsfootwell {

/// \brief Interface of a random number generator.
class Random
{
public:
    virtual ~Random() = default;

    /// \return 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// \param limit exclusive upper bound, greater than zero.
    /// \return an integer from 0 to limit - 1.
    std::uint64_t below(std::uint64_t limit) { return next() % limit; }

    /// \return a uniformly distributed number in [0, 1).
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

/// \brief Deterministic generator that is initialized with a seed.
class SeededRandom final : public Random
{
public:
    /// \param seed determines the sequence.
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }

    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Coltsfootwell
