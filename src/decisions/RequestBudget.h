// Limits the memory that the requests of callers take, from their first bytes until nothing holds
// them any more.
//
// Guards against crowds of requests, each of which is allowed, that together exceed the memory of
// the daemon: a few long bodies, or thousands of short requests. Short requests have a share of
// their own, so that they go on beside long ones. The smallest ones may use more of it than others,
// and nested calls more than calls of callers: their parents hold slots until they are answered.
#pragma once

#include <array>
#include <cstddef>

namespace Coltsfootwell {

/// \brief The part of the memory that a request draws on.
enum class RequestShare {
    Short,
    Long,
};

/// \brief Memory that one request has reserved.
struct ReservedRequest
{
    RequestShare share = RequestShare::Short;
    std::size_t bytes = 0;
};

/// \brief Memory that one request needs.
struct RequestNeed
{
    RequestShare share = RequestShare::Short;
    /// Total number of bytes, with those that it has reserved.
    std::size_t bytes = 0;
    /// True for a call that a backend server makes while it runs another.
    bool nested = false;
};

/// \brief Counts the bytes of all requests that one daemon has received from callers.
class RequestBudget
{
public:
    /// Maximum size of a body in the short share.
    static constexpr std::size_t MaxShortBodyBytes = 64 * 1024;
    /// Size up to which a request may use the part of the short share that is kept for small ones.
    static constexpr std::size_t MaxSmallBytes = 8 * 1024;

    /// \param maxBytes maximum number of bytes of all requests together.
    explicit RequestBudget(std::size_t maxBytes);

    /// \brief Changes the bytes that one request has reserved. A long request over the limit is
    /// accepted while there is no other, since the configured size of a body may exceed it.
    /// \param reserved bytes that the request has reserved so far; changed on success.
    /// \return false if the share would be exceeded; nothing is changed then.
    bool tryGrow(ReservedRequest &reserved, const RequestNeed &need);

    /// \brief Counts bytes that are already held, even beyond the limit.
    void add(const ReservedRequest &reserved) { reservedIn(reserved.share) += reserved.bytes; }

    /// \brief Returns bytes that tryGrow() or add() has counted.
    void release(const ReservedRequest &reserved) { reservedIn(reserved.share) -= reserved.bytes; }

    /// \return true if a request that has reserved nothing gets its memory now.
    bool hasRoom(const RequestNeed &need) const
    {
        return reserved(need.share) + need.bytes <= limitOf(need);
    }

    std::size_t reserved(RequestShare share) const { return m_reserved[std::size_t(share)]; }

private:
    std::size_t limitOf(const RequestNeed &need) const;
    std::size_t &reservedIn(RequestShare share) { return m_reserved[std::size_t(share)]; }

    /// Both by RequestShare.
    std::array<std::size_t, 2> m_maxBytes;
    std::array<std::size_t, 2> m_reserved {};
};

} // namespace Coltsfootwell
