#include "services/RequestMemory.h"

#include <utility>

namespace Coltsfootwell {

void RequestMemory::release(const ReservedRequest &reserved)
{
    m_admission.release(reserved);
    memoryReturned();
}

void RequestMemory::memoryReturned()
{
    if (!m_admission.hasWaiting()) {
        return;
    }
    for (const RequestNumber number : m_admission.grantWaiting(m_executor.now())) {
        UnfinishedRequest &request = *m_unfinished.at(number);
        request.m_isWaiting = false;
        request.m_onChanged();
    }
}

void RequestMemory::scheduleCheck()
{
    if (!std::exchange(m_checkScheduled, true)) {
        m_executor.scheduleAfter(RequestAdmission::CheckInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->giveUpStalled();
            }
        });
    }
}

void RequestMemory::giveUpStalled()
{
    m_checkScheduled = false;
    for (const RequestNumber number : m_admission.giveUpStalled(m_executor.now())) {
        UnfinishedRequest &request = *m_unfinished.at(number);
        request.m_isGivenUp = true;
        request.m_onChanged();
    }
    if (m_admission.hasWaiting()) {
        scheduleCheck();
    }
}

RequestReservation &RequestReservation::operator=(RequestReservation &&other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_reserved, other.m_reserved);
    return *this;
}

RequestReservation::~RequestReservation()
{
    if (m_memory) {
        m_memory->release(m_reserved);
    }
}

BodyPtr RequestReservation::makeBody(std::string bytes, RequestReservation reservation)
{
    struct ReservedBody
    {
        std::string bytes;
        RequestReservation reservation;
    };
    auto body
        = std::make_shared<ReservedBody>(ReservedBody {std::move(bytes), std::move(reservation)});
    return BodyPtr(body, &body->bytes);
}

UnfinishedRequest::UnfinishedRequest(std::shared_ptr<RequestMemory> memory,
                                     std::function<void()> onChanged)
    : m_memory(std::move(memory)), m_onChanged(std::move(onChanged)),
      m_number(m_memory->m_admission.begin(m_memory->m_executor.now()))
{
    m_memory->m_unfinished.emplace(m_number, this);
}

UnfinishedRequest::~UnfinishedRequest()
{
    if (m_memory) {
        m_memory->release(removeFromMemory());
    }
}

bool UnfinishedRequest::reserve(const RequestNeed &need, std::uint64_t missingBytes)
{
    m_isWaiting = !m_memory->m_admission.reserve(m_number, need, missingBytes);
    if (m_isWaiting) {
        m_memory->scheduleCheck();
    }
    return !m_isWaiting;
}

void UnfinishedRequest::charge(std::size_t bytes)
{
    m_memory->m_admission.charge(m_number, bytes);
    m_memory->memoryReturned();
}

void UnfinishedRequest::stopWaiting()
{
    m_isWaiting = false;
    m_memory->m_admission.stopWaiting(m_number);
}

void UnfinishedRequest::received(std::size_t bytes)
{
    m_memory->m_admission.received(m_number, bytes, m_memory->m_executor.now());
}

RequestReservation UnfinishedRequest::complete()
{
    const ReservedRequest reserved = removeFromMemory();
    return {std::exchange(m_memory, nullptr), reserved};
}

ReservedRequest UnfinishedRequest::removeFromMemory()
{
    m_memory->m_unfinished.erase(m_number);
    return m_memory->m_admission.remove(m_number);
}

} // namespace Coltsfootwell
