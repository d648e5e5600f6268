// Decides which unfinished requests of callers get memory, which wait for it and which are given
// up.
//
// Guards against callers that stop short of the end of their requests, or send a byte now and then,
// and thereby keep the memory from all others for as long as their connections stay open. While a
// request waits for memory, the unfinished ones that receive less than a minimum rate are given up,
// those with the least progress first. A request that arrives at that rate is never given up for
// another one, and without a waiting request none is.
#pragma once

#include "decisions/RequestBudget.h"
#include "kernel/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Coltsfootwell {

/// Identifies an unfinished request.
using RequestNumber = std::uint64_t;

/// \brief Memory of the unfinished requests of one daemon, and a queue for it.
class RequestAdmission
{
public:
    /// Time within which an unfinished request must receive MinProgressBytes, or it may be given
    /// up.
    static constexpr std::chrono::milliseconds StallTime {250};
    static constexpr std::size_t MinProgressBytes = 8 * 1024;
    /// Interval between calls of giveUpStalled() while a request waits.
    static constexpr std::chrono::milliseconds CheckInterval {50};

    /// \param maxBytes see RequestBudget.
    explicit RequestAdmission(std::size_t maxBytes) : m_budget(maxBytes) { }

    /// \brief Adds a request whose first bytes have arrived.
    RequestNumber begin(TimePoint now);

    /// \brief Reserves memory for a request.
    /// \param need what it needs now.
    /// \param missingBytes number of bytes of the request that have not arrived. Of the long
    /// requests, the one with the fewest gets memory first; of the short ones, the smallest one.
    /// \return false if the request waits until it is in the result of grantWaiting().
    bool reserve(RequestNumber number, const RequestNeed &need, std::uint64_t missingBytes);

    /// \brief Counts memory that the request holds already.
    void charge(RequestNumber number, std::size_t bytes);

    /// \brief Ends the wait of a request without memory.
    void stopWaiting(RequestNumber number);

    /// \brief Notes that bytes of a request have arrived.
    void received(RequestNumber number, std::size_t bytes, TimePoint now);

    /// \brief Removes a request that is complete, or is not read any further.
    /// \return its memory, for release().
    ReservedRequest remove(RequestNumber number);

    /// \brief Returns memory.
    void release(const ReservedRequest &reserved) { m_budget.release(reserved); }

    /// \brief Gives free memory to waiting requests.
    /// \return the requests that have got it.
    std::vector<RequestNumber> grantWaiting(TimePoint now);

    /// \brief Chooses requests that are given up for those that wait; call it every CheckInterval
    /// while hasWaiting().
    /// \return the requests, which must be removed soon.
    std::vector<RequestNumber> giveUpStalled(TimePoint now);

    bool hasWaiting() const { return !m_waiting.empty(); }

    const RequestBudget &budget() const { return m_budget; }

private:
    /// Order in which waiting requests get memory.
    struct Turn
    {
        RequestShare share = RequestShare::Short;
        bool callOfCaller = false;
        std::uint64_t rank = 0;
        RequestNumber number = 0;

        auto operator<=>(const Turn &) const = default;
    };

    struct Unfinished
    {
        ReservedRequest reserved;
        /// Time at which the last MinProgressBytes had arrived, or the request had begun.
        TimePoint progressAt;
        /// Number of bytes that have arrived since then.
        std::size_t bytesSince = 0;
        /// True if the last check has found too little progress.
        bool stalled = false;
        bool givenUp = false;
        bool waiting = false;
        Turn turn;
    };

    /// Makes the stalled requests of a share release the bytes that others wait for.
    void giveUpStalled(RequestShare share, std::vector<RequestNumber> &givenUp, TimePoint now);
    /// \return number of bytes that the waiting requests of a share lack.
    std::size_t lackingBytes(RequestShare share) const;
    bool isStalled(Unfinished &request, TimePoint now);
    void giveUp(RequestNumber number, std::vector<RequestNumber> &givenUp);

    RequestBudget m_budget;
    std::map<RequestNumber, Unfinished> m_unfinished;
    std::map<Turn, RequestNeed> m_waiting;
    RequestNumber m_lastNumber = 0;
};

} // namespace Coltsfootwell
