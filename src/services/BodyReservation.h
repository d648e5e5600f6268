// Bytes of a BodyBudget that belong to one body, from its first part until nothing holds it any
// more.
#pragma once

#include "decisions/BodyBudget.h"
#include "kernel/Executor.h"
#include "services/CallMessages.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief A budget that several bodies share, and what waits for its bytes.
class SharedBodyBudget : public std::enable_shared_from_this<SharedBodyBudget>
{
public:
    /// \param executor runs the waiting tasks.
    /// \param maxBytes see BodyBudget.
    SharedBodyBudget(Executor &executor, std::size_t maxBytes)
        : m_executor(executor), m_budget(maxBytes)
    {
    }

    /// \brief Calls a task once when bytes are released next.
    void waitForRelease(Task task) { m_waiting.push_back(std::move(task)); }

    /// \brief See BodyBudget::tryGrow().
    bool tryGrow(std::size_t held, std::size_t bytes) { return m_budget.tryGrow(held, bytes); }
    /// \return number of bytes that all bodies have reserved.
    std::size_t reserved() const { return m_budget.reserved(); }
    /// \brief Returns bytes, and lets what waits for them try again.
    void release(std::size_t bytes);

private:
    Executor &m_executor;
    BodyBudget m_budget;
    std::list<Task> m_waiting;
};

/// \brief The bytes that one body has reserved; releases them when it is destroyed.
class BodyReservation
{
public:
    explicit BodyReservation(std::shared_ptr<SharedBodyBudget> budget) : m_budget(std::move(budget))
    {
    }
    /// The other one keeps its budget and can grow again.
    BodyReservation(BodyReservation &&other) noexcept;
    BodyReservation &operator=(BodyReservation &&other) noexcept;
    ~BodyReservation();

    /// \brief Reserves further bytes, so that there are enough for a body.
    /// \param bodyBytes size of the body.
    /// \return false if they exceed the budget.
    bool grow(std::size_t bodyBytes);

    /// \brief Makes a shared body that keeps its reservation as long as anything holds it.
    static BodyPtr makeBody(std::string bytes, BodyReservation reservation);

private:
    std::shared_ptr<SharedBodyBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace Coltsfootwell
