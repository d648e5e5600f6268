// Limits the memory that bodies of requests under way take.
//
// Guards against bursts of large bodies, each of which is allowed, that together exceed the memory
// of the daemon: the process would be ended with all calls of other callers.
#pragma once

#include <cstddef>

namespace Coltsfootwell {

/// \brief Counts the bytes of all bodies that one part of the daemon holds.
class BodyBudget
{
public:
    /// Size up to which a body takes nothing of the budget, so that ordinary calls go on beside
    /// large ones. Callers are limited in number by their connections.
    static constexpr std::size_t MaxFreeBytes = 64 * 1024;

    /// \param maxBytes maximum number of bytes of all bodies together.
    explicit BodyBudget(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// \brief Changes the bytes that one body has reserved. A body over the limit is accepted while
    /// there is no other, since the configured size of a single body may exceed it.
    /// \param held bytes that the body has reserved so far.
    /// \param bytes bytes that it needs.
    /// \return false if all bodies together would exceed the limit; nothing is changed then.
    bool tryGrow(std::size_t held, std::size_t bytes);

    /// \brief Returns bytes that tryGrow() has reserved.
    void release(std::size_t bytes) { m_reserved -= bytes; }

    std::size_t reserved() const { return m_reserved; }

private:
    std::size_t m_maxBytes;
    std::size_t m_reserved = 0;
};

} // namespace Coltsfootwell
