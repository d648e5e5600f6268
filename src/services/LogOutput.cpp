#include "services/LogOutput.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace Coltsfootwell {

namespace {

namespace log = boost::log;

/// Lines of a reader that has stopped; more are dropped.
constexpr std::size_t MaxHeldBytes = 64 * 1024;

/// Writes whole lines and holds the rest of a partly written one.
class LineBackend final
    : public log::sinks::basic_formatted_sink_backend<char, log::sinks::concurrent_feeding>
{
public:
    void consume(const log::record_view &, const string_type &line)
    {
        if (m_held.size() + line.size() > MaxHeldBytes) {
            ++m_dropped;
        } else {
            m_held += line;
            m_held += '\n';
        }
        writeHeld();
    }

    std::uint64_t dropped() const { return m_dropped; }

private:
    /// Asks before each write, since the descriptor is shared and must stay as it is.
    static bool isWritable()
    {
        pollfd entry {STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    }

    void writeHeld()
    {
        while (!m_held.empty() && isWritable()) {
            // A pipe that is ready takes this much without waiting.
            const std::size_t most = std::min<std::size_t>(m_held.size(), PIPE_BUF);
            const ssize_t n = ::write(STDOUT_FILENO, m_held.data(), most);
            if (n <= 0) {
                if (n < 0 && errno == EINTR) {
                    continue;
                }
                // Nobody reads any more.
                m_held.clear();
                ++m_dropped;
                return;
            }
            m_held.erase(0, static_cast<std::size_t>(n));
        }
    }

    std::string m_held;
    std::uint64_t m_dropped = 0;
};

using Sink = log::sinks::unlocked_sink<LineBackend>;

boost::shared_ptr<LineBackend> &backend()
{
    static auto instance = boost::make_shared<LineBackend>();
    return instance;
}

} // namespace

void openLog()
{
    log::core::get()->remove_all_sinks();
    log::core::get()->add_sink(boost::make_shared<Sink>(backend()));
}

void writeLog(std::string_view line)
{
    static log::sources::logger logger;
    BOOST_LOG(logger) << line;
}

std::uint64_t droppedLogLines()
{
    return backend()->dropped();
}

} // namespace Coltsfootwell
