// Messages about the memory for answers.
#pragma once

#include "decisions/AnswerBudget.h"
#include "services/CallMessages.h"

namespace Coltsfootwell {

/// \brief Where an answer was received from; each source has its own memory.
enum class AnswerSource : std::uint8_t {
    /// The backend server beside this daemon.
    Server,
    /// Another daemon.
    Peer,
};

/// \brief An answer whose body is held for a caller until it has been written.
struct HeldAnswer
{
    AnswerSource source = AnswerSource::Server;
    /// Length of the body; 0 if there is none.
    std::size_t bytes = 0;
};

/// \brief To "answer-readers": there is no memory for answers that are to be received.
struct AnswerMemoryShort
{
    AnswerSource source = AnswerSource::Server;
    AnswerSize size = AnswerSize::Short;
    /// Number of bytes that answers wait for.
    std::size_t bytes = 0;
};

} // namespace Coltsfootwell
