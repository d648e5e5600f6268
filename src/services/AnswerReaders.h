// Part of the service "callers": the connections that hold answers which their callers have not
// taken. Closes the slowest ones when memory is short.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "decisions/SlowReaders.h"
#include "kernel/Executor.h"
#include "services/AnswerMessages.h"
#include "services/AnswerWriter.h"
#include "services/PendingAnswers.h"
#include "services/TelemetryMessages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>

namespace Coltsfootwell::Internal {

class AnswerReaders;

/// \brief One connection as the reader of its answers; registered as long as it exists.
class AnswerReaderHandle
{
public:
    /// \param readers all connections; must outlive this object, as well as the following ones.
    /// \param pending answers that have not been handed to the writer.
    /// \param writer answers that are being written.
    /// \param close resets the connection and ends its session.
    AnswerReaderHandle(AnswerReaders &readers, const PendingAnswers &pending,
                       const AnswerWriter &writer, std::function<void()> close);
    ~AnswerReaderHandle();
    AnswerReaderHandle(const AnswerReaderHandle &) = delete;
    AnswerReaderHandle &operator=(const AnswerReaderHandle &) = delete;

private:
    friend class AnswerReaders;

    /// \return number of bytes of the answers that it holds from a source, in a share.
    std::size_t heldBytes(AnswerSource source, AnswerSize size) const;

    AnswerReaders &m_readers;
    const PendingAnswers &m_pending;
    const AnswerWriter &m_writer;
    const std::function<void()> m_close;
    std::uint64_t m_id = 0;
};

/// \brief All connections of callers, as readers of their answers.
class AnswerReaders
{
public:
    explicit AnswerReaders(Executor &executor) : m_executor(executor) { }

    /// \brief Closes connections of callers that make no progress.
    /// \param message the shortage.
    /// \param telemetry receives a log event for each of them.
    void memoryShort(const AnswerMemoryShort &message, const Address<TelemetryMessage> &telemetry);

private:
    friend class AnswerReaderHandle;

    Executor &m_executor;
    std::map<std::uint64_t, AnswerReaderHandle *> m_handles;
    std::uint64_t m_lastId = 0;
    /// By source and size: each shortage is watched by itself.
    std::array<SlowReaders, 4> m_slowReaders;
};

} // namespace Coltsfootwell::Internal
