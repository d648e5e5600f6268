#include "decisions/Rendezvous.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

std::uint64_t hashBytes(std::uint64_t hash, std::string_view text)
{
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * FnvPrime;
    }
    return hash;
}

/// Finalizer that spreads the high bits; plain FNV yields similar high bits for short names.
std::uint64_t finalMix(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    // The separator makes ("ab", "c") hash differently from ("a", "bc").
    return finalMix(hashBytes(hashBytes(hashBytes(FnvOffset, key), "\n"), candidate));
}

} // namespace Coltsfootwell
