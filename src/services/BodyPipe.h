// Carries the bytes of one body from the task that reads them to the task that writes them on, with
// back-pressure. Both tasks run on the executor's thread.
#pragma once

#include "kernel/Executor.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace Coltsfootwell {

/// \brief What a reader gets.
struct BodyChunk
{
    enum class Kind {
        Bytes,
        /// The body is whole.
        End,
        /// The body is incomplete and nothing more comes.
        Cut,
    };

    Kind kind = Kind::Bytes;
    std::string bytes;
};

/// \brief Bounded queue of chunks between one writer and one reader.
class BodyPipe
{
public:
    static constexpr std::size_t MaxQueuedBytes = 256 * 1024;

    /// \param executor runs the callbacks.
    explicit BodyPipe(Executor &executor);
    ~BodyPipe();

    /// \brief Cuts the body when it grows beyond a limit.
    /// \param bytes most bytes that a writer may add in all.
    void limitTo(std::uint64_t bytes) { m_bytesLeft = bytes; }

    /// \return true when the body was cut at its limit.
    bool overLimit() const { return m_overLimit; }

    /// \brief Writer: adds bytes.
    /// \param bytes moved into the queue.
    /// \param accepted called when there is room for more; false when the reader has gone.
    void write(std::string bytes, std::function<void(bool)> accepted);

    /// \brief Calls a function with the size of what waits in the pipe, and of each later chunk.
    /// \param counter replaces an earlier one.
    void countBytes(std::function<void(std::size_t)> counter);

    /// \brief Writer: the body is whole.
    void finish();

    /// \brief Writer: the body ends before it is whole.
    void cut();

    /// \brief Writer: waits for the first read.
    /// \param wanted called once; false when the reader has gone without reading.
    void waitWanted(std::function<void(bool)> wanted);

    /// \brief Reader: takes the next chunk.
    /// \param handler called once.
    void read(std::function<void(BodyChunk)> handler);

    /// \brief Reader: returns a chunk that it has taken, to be read again.
    /// \param chunk the last chunk read, or several joined.
    void putBack(BodyChunk chunk);

    /// \brief Reader: wants no more; the writer is told.
    void abandon();

    /// \return true once the reader has asked for a chunk.
    bool wasRead() const { return m_wanted; }

    /// \return true once the reader has gone.
    bool wasAbandoned() const { return m_abandoned; }

private:
    void serveReader();
    void serveWriter();

    Executor &m_executor;
    std::deque<BodyChunk> m_chunks;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_bytesLeft = std::numeric_limits<std::uint64_t>::max();
    bool m_overLimit = false;
    std::function<void(BodyChunk)> m_reader;
    std::function<void(bool)> m_writer;
    std::function<void(bool)> m_wantedHandler;
    std::function<void(std::size_t)> m_counter;
    bool m_wanted = false;
    bool m_abandoned = false;
    bool m_ended = false;
};

using BodyPipePtr = std::shared_ptr<BodyPipe>;

} // namespace Coltsfootwell
