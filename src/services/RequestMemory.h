// Memory of the requests that callers have sent to this daemon. Wakes the requests that wait for
// it.
#pragma once

#include "decisions/RequestAdmission.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Coltsfootwell {

class UnfinishedRequest;

/// \brief The memory that all requests of callers share.
class RequestMemory : public std::enable_shared_from_this<RequestMemory>
{
public:
    /// \param executor runs the checks for stalled requests; must outlive this object.
    /// \param maxBytes see RequestBudget.
    RequestMemory(Executor &executor, std::size_t maxBytes)
        : m_executor(executor), m_admission(maxBytes)
    {
    }

    /// \brief Returns memory, and lets the requests that wait for it go on.
    void release(const ReservedRequest &reserved);

    /// \return number of bytes that all requests have reserved.
    std::size_t reserved() const
    {
        const RequestBudget &budget = m_admission.budget();
        return budget.reserved(RequestShare::Short) + budget.reserved(RequestShare::Long);
    }

    /// \return true if only a nested call might get the memory now.
    bool isScarce(const RequestNeed &need) const { return !m_admission.budget().hasRoom(need); }

private:
    friend class UnfinishedRequest;

    /// Lets requests that wait go on after memory has been returned.
    void memoryReturned();
    void scheduleCheck();
    void giveUpStalled();

    Executor &m_executor;
    RequestAdmission m_admission;
    std::unordered_map<RequestNumber, UnfinishedRequest *> m_unfinished;
    bool m_checkScheduled = false;
};

/// \brief Memory of a complete request; returns it when it is destroyed.
class RequestReservation
{
public:
    /// \brief Reserves nothing.
    RequestReservation() = default;
    /// \param memory memory of all requests.
    /// \param reserved the part of it that belongs to this request.
    RequestReservation(std::shared_ptr<RequestMemory> memory, const ReservedRequest &reserved)
        : m_memory(std::move(memory)), m_reserved(reserved)
    {
    }
    RequestReservation(RequestReservation &&other) noexcept = default;
    RequestReservation &operator=(RequestReservation &&other) noexcept;
    ~RequestReservation();

    /// \brief Makes a shared body that keeps the memory of its request as long as anything holds
    /// it.
    static BodyPtr makeBody(std::string bytes, RequestReservation reservation);

private:
    std::shared_ptr<RequestMemory> m_memory;
    ReservedRequest m_reserved;
};

/// \brief Memory of a request that is being read; returns it when it is destroyed.
class UnfinishedRequest
{
public:
    /// \param memory memory of all requests.
    /// \param onChanged called when the request has got the memory that it waits for, or has been
    /// given up for another one.
    UnfinishedRequest(std::shared_ptr<RequestMemory> memory, std::function<void()> onChanged);
    ~UnfinishedRequest();
    UnfinishedRequest(const UnfinishedRequest &) = delete;
    UnfinishedRequest &operator=(const UnfinishedRequest &) = delete;

    /// \brief See RequestAdmission::reserve().
    bool reserve(const RequestNeed &need, std::uint64_t missingBytes);
    /// \brief See RequestAdmission::charge().
    void charge(std::size_t bytes);
    /// \brief Ends a wait for memory.
    void stopWaiting();
    /// \brief Notes that bytes of the request have arrived.
    void received(std::size_t bytes);

    /// \return true while the request waits for memory.
    bool isWaiting() const { return m_isWaiting; }
    /// \return true if the request has been given up for another one.
    bool isGivenUp() const { return m_isGivenUp; }

    /// \brief Moves the memory of the whole request out. Nothing else may be called afterwards.
    RequestReservation complete();

private:
    friend class RequestMemory;

    ReservedRequest removeFromMemory();

    std::shared_ptr<RequestMemory> m_memory;
    std::function<void()> m_onChanged;
    RequestNumber m_number = 0;
    bool m_isWaiting = false;
    bool m_isGivenUp = false;
};

} // namespace Coltsfootwell
