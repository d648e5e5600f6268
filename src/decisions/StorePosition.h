// Position in a topic of the store.
//
// The store may come back from an older copy of its content. What was appended since the copy is
// lost then, and its offsets are given out again. Therefore offsets of different epochs cannot be
// compared.
#pragma once

#include <compare>
#include <cstdint>

namespace Coltsfootwell {

/// Number of times that the store has come back from an older copy; 0 if it names none.
using StoreEpoch = std::uint64_t;

/// \brief Offset in a topic, with the epoch of the store that has given it out.
struct StorePosition
{
    std::uint64_t offset = 0;
    StoreEpoch epoch = 0;

    bool operator==(const StorePosition &) const = default;

    /// Any position of a later epoch comes after all of an earlier one.
    friend std::strong_ordering operator<=>(const StorePosition &left, const StorePosition &right)
    {
        const auto order = left.epoch <=> right.epoch;
        return order != 0 ? order : left.offset <=> right.offset;
    }
};

} // namespace Coltsfootwell
