// An answer whose body arrives over a link in parts, and the memory for it.
#pragma once

#include "services/AnswerMemory.h"
#include "services/CallMessages.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell::Internal {

/// \brief An answer without its body, and what has arrived of that.
class IncomingAnswer
{
public:
    /// \param head the answer, with the length of the body that follows.
    /// \param memory memory for the bodies of answers.
    IncomingAnswer(AnswerFrame head, std::shared_ptr<AnswerMemory> memory)
        : m_head(std::move(head)), m_memory(std::move(memory))
    {
    }

    /// \return length of the body.
    std::size_t bytes() const { return m_head.pendingBodyBytes; }

    /// \brief Reserves memory for the body.
    /// \return false if there is none now.
    bool reserve();

    /// \return true once reserve() has succeeded, and the body may be requested.
    bool isReserved() const { return m_reservation != nullptr; }

    /// \brief Appends a part of the body.
    /// \return false if the body exceeds its announced length, or was not requested.
    bool append(std::string_view part);

    /// \return true once the body is whole.
    bool isWhole() const { return isReserved() && m_body.size() == m_head.pendingBodyBytes; }

    /// \brief Moves the whole answer out; its body holds the memory as long as anything uses it.
    AttemptAnswered take();

    /// Time since which the answer waits for memory; empty if it does not wait.
    std::optional<TimePoint> waitsSince;

private:
    AnswerFrame m_head;
    std::string m_body;
    std::shared_ptr<AnswerMemory> m_memory;
    /// Memory of the body; null until it is reserved.
    std::shared_ptr<void> m_reservation;
};

} // namespace Coltsfootwell::Internal
