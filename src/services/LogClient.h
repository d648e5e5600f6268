// How services and tools reach the platform's log.
#pragma once

#include "kernel/Executor.h"
#include "services/MemoryLog.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief Outcome of an append.
struct AppendResult
{
    /// LogUnavailable or cleared.
    std::error_code ec;
    /// With an error: false when the record was surely not appended, true when it may have been.
    bool maybeAppended = false;
    std::uint64_t offset = 0;
};

/// \brief Outcome of a read.
struct ReadResult
{
    /// LogUnavailable or cleared.
    std::error_code ec;
    LogPart part;
};

/// \brief Asynchronous access to the log. Handlers are called once, on the caller's executor, and
/// not after the client is destroyed.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// \param stream name of the stream.
    /// \param id unique, to find the record again after a lost answer.
    /// \param content bytes of the record.
    /// \param timeout longest wait for the answer.
    /// \param done gets the outcome.
    virtual void append(std::string_view stream, std::string_view id, std::string_view content,
                        Duration timeout, std::function<void(AppendResult)> done)
        = 0;

    /// \param stream name of the stream.
    /// \param from offset of the first record wanted.
    /// \param max most records to return.
    /// \param wait time that the log waits for a record when there is none yet.
    /// \param timeout longest wait for the answer, beyond `wait`.
    /// \param done gets the outcome.
    virtual void read(std::string_view stream, std::uint64_t from, std::uint32_t max,
                      std::chrono::milliseconds wait, Duration timeout,
                      std::function<void(ReadResult)> done)
        = 0;
};

/// \param executor runs the handlers; outlives the client.
/// \param address "IP number:port" of the log service.
/// \return a client over gRPC; it connects when first used and again after failures.
std::unique_ptr<LogClient> makeGrpcLogClient(Executor &executor, const std::string &address);

} // namespace Coltsfootwell
