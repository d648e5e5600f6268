// Reads a whole body into memory, up to a limit.
#pragma once

#include "services/BodyPipe.h"

#include <functional>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief What was read of a body.
struct CollectedBody
{
    enum class End {
        Whole,
        /// The body ended before it was whole.
        Cut,
        /// The body is longer than the limit; the rest is still in the pipe.
        TooLong,
    };

    End end = End::Whole;
    std::string bytes;
};

/// \param pipe read from; kept alive meanwhile.
/// \param limit most bytes to hold, except for the last chunk.
/// \param done called once.
void collectBody(BodyPipePtr pipe, std::size_t limit, std::function<void(CollectedBody)> done);

/// \param executor runs the callbacks of the pipe.
/// \param bytes the whole body.
/// \return a pipe with that body.
BodyPipePtr pipeOf(Executor &executor, std::string bytes);

} // namespace Coltsfootwell
