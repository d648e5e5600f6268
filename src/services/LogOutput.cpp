#include "services/LogOutput.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>

namespace Coltsfootwell {

namespace {

namespace log = boost::log;

/// Maximum total size of the lines that are buffered while the reader of standard output is too
/// slow; further lines are dropped.
constexpr std::size_t MaxBufferedBytes = 64 * 1024;

/// Nonzero while the last byte written to standard output is not the end of a line.
volatile std::sig_atomic_t isInsideLine = 0;

/// Polls before each write instead of making the descriptor non-blocking, which would affect the
/// other processes that share it.
bool isOutputWritable()
{
    pollfd entry {STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

/// Writes lines to standard output, and buffers what cannot be written without blocking.
class StandardOutputBackend final
    : public log::sinks::basic_formatted_sink_backend<char, log::sinks::concurrent_feeding>
{
public:
    void consume(const log::record_view &, const string_type &line)
    {
        if (m_buffer.size() + line.size() > MaxBufferedBytes) {
            ++m_dropped;
        } else {
            m_buffer += line;
            m_buffer += '\n';
        }
        flushBuffer();
    }

    std::uint64_t dropped() const { return m_dropped; }

private:
    void flushBuffer()
    {
        while (!m_buffer.empty() && isOutputWritable()) {
            // A writable pipe accepts PIPE_BUF bytes without blocking.
            const std::size_t chunkBytes = std::min<std::size_t>(m_buffer.size(), PIPE_BUF);
            const ssize_t n = ::write(STDOUT_FILENO, m_buffer.data(), chunkBytes);
            if (n <= 0) {
                if (n < 0 && errno == EINTR) {
                    continue;
                }
                // The reader has closed the pipe.
                m_buffer.clear();
                ++m_dropped;
                return;
            }
            isInsideLine = m_buffer[static_cast<std::size_t>(n) - 1] == '\n' ? 0 : 1;
            m_buffer.erase(0, static_cast<std::size_t>(n));
        }
    }

    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

using Sink = log::sinks::unlocked_sink<StandardOutputBackend>;

boost::shared_ptr<StandardOutputBackend> &backend()
{
    static auto instance = boost::make_shared<StandardOutputBackend>();
    return instance;
}

} // namespace

void openLog()
{
    log::core::get()->remove_all_sinks();
    log::core::get()->add_sink(boost::make_shared<Sink>(backend()));
}

std::string formatLogLine(std::string_view daemon, std::string_view event, std::string_view request,
                          std::string_view fields)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    std::string line = "timeMs=" + std::to_string(ms) + " daemon=";
    line += daemon;
    line += " event=";
    line += event;
    if (!request.empty()) {
        line += " request=";
        line += logValue(request);
    }
    if (!fields.empty()) {
        line += ' ';
        line += fields;
    }
    return line;
}

void writeLog(std::string_view line)
{
    static log::sources::logger logger;
    BOOST_LOG(logger) << line;
}

void writeLogUnbuffered(std::string_view line)
{
    if (!isOutputWritable()) {
        return;
    }
    if (isInsideLine != 0 && ::write(STDOUT_FILENO, "\n", 1) != 1) {
        return;
    }
    if (isOutputWritable()) {
        // The reader may be gone, and nothing is left to be done then.
        [[maybe_unused]] const ssize_t n = ::write(STDOUT_FILENO, line.data(), line.size());
    }
}

std::string logValue(std::string_view text)
{
    constexpr std::size_t MaxBytes = 120;
    std::string value(text.substr(0, MaxBytes));
    std::ranges::replace_if(
        value, [](char c) { return c <= ' ' || c > '~'; }, '?');
    return value;
}

std::uint64_t droppedLogLines()
{
    return backend()->dropped();
}

} // namespace Coltsfootwell
