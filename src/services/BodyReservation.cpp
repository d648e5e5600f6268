#include "services/BodyReservation.h"

#include <utility>

namespace Coltsfootwell {

void SharedBodyBudget::release(std::size_t bytes)
{
    m_budget.release(bytes);
    for (Task &task : std::exchange(m_waiting, {})) {
        m_executor.post(std::move(task));
    }
}

BodyReservation::BodyReservation(BodyReservation &&other) noexcept
    : m_budget(other.m_budget), m_bytes(std::exchange(other.m_bytes, 0))
{
}

BodyReservation &BodyReservation::operator=(BodyReservation &&other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

BodyReservation::~BodyReservation()
{
    if (m_bytes > 0) {
        m_budget->release(m_bytes);
    }
}

bool BodyReservation::grow(std::size_t bodyBytes)
{
    if (bodyBytes <= BodyBudget::MaxFreeBytes || bodyBytes <= m_bytes) {
        return true;
    }
    if (!m_budget->tryGrow(m_bytes, bodyBytes)) {
        return false;
    }
    m_bytes = bodyBytes;
    return true;
}

BodyPtr BodyReservation::makeBody(std::string bytes, BodyReservation reservation)
{
    struct ReservedBody
    {
        std::string bytes;
        BodyReservation reservation;
    };
    auto body
        = std::make_shared<ReservedBody>(ReservedBody {std::move(bytes), std::move(reservation)});
    return BodyPtr(body, &body->bytes);
}

} // namespace Coltsfootwell
