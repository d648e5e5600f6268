// Stand-in backend server for tests and demonstrations: announces itself to the daemon beside it,
// serves calls with a bounded number of slots, injects faults on command, and records each run.
#include "standin/BackendAnnouncer.h"
#include "standin/BackendSession.h"

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <iostream>

namespace {

using namespace Coltsfootwell;
using namespace Coltsfootwell::Standin;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int ExitCannotListen = 2;
constexpr int ExitCannotWriteHistory = 3;
/// Maximum time that a planned stop waits for the calls in flight.
constexpr std::chrono::seconds DrainTimeout {30};
/// Time after the drain announcement in which further calls are served, since the daemon may have
/// admitted them before it received the announcement. Also the time to send the last answer.
constexpr std::chrono::milliseconds DrainGracePeriod {200};

class BackendServer
{
public:
    BackendServer(asio::io_context &context, const BackendOptions &options, tcp::acceptor acceptor)
        : m_context(context), m_options(options), m_acceptor(std::move(acceptor)),
          m_drainTimer(context), m_signals(context, SIGTERM, SIGINT)
    {
        m_shared.reset(new SharedBackendState {options,
                                               BackendModel(options),
                                               BackendHistory(options.history, options.service),
                                               SeededRandom(options.seed),
                                               {},
                                               0,
                                               [this] { startDrain(); },
                                               [this] { stopWhenIdle(); }});
    }

    bool isHistoryWritable() const { return m_shared->history.isWritable(); }

    void run()
    {
        const std::uint16_t port = m_acceptor.local_endpoint().port();
        asio::co_spawn(m_context, acceptConnections(m_acceptor, m_shared), asio::detached);
        asio::co_spawn(m_context, maintainAnnouncement(m_options, port, m_draining),
                       asio::detached);
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (!ec) {
                startDrain();
            }
        });
        m_context.run();
    }

private:
    /// Announces the drain before the server sheds calls, so that calls which the daemon has
    /// already admitted still get a slot.
    void startDrain()
    {
        if (std::exchange(m_draining, true)) {
            return;
        }
        asio::co_spawn(
            m_context,
            [this] {
                return announceOnce(m_options, m_acceptor.local_endpoint().port(),
                                    AnnouncedState::Draining);
            },
            [this](std::exception_ptr, bool) {
                m_drainTimer.expires_after(DrainGracePeriod);
                m_drainTimer.async_wait([this](boost::system::error_code) { stopAdmitting(); });
            });
    }

    void stopAdmitting()
    {
        m_admissionStopped = true;
        m_shared->model.drain();
        m_drainTimer.expires_after(DrainTimeout);
        m_drainTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                m_context.stop();
            }
        });
        stopWhenIdle();
    }

    void stopWhenIdle()
    {
        if (m_admissionStopped && m_shared->model.inUse() == 0) {
            // The last answer may still be in transmission.
            m_drainTimer.expires_after(DrainGracePeriod);
            m_drainTimer.async_wait([this](boost::system::error_code ec) {
                if (!ec) {
                    m_context.stop();
                }
            });
        }
    }

    asio::io_context &m_context;
    const BackendOptions &m_options;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_drainTimer;
    asio::signal_set m_signals;
    std::shared_ptr<SharedBackendState> m_shared;
    bool m_draining = false;
    bool m_admissionStopped = false;
};

void addOptions(CLI::App &app, BackendOptions &options)
{
    app.add_option("--service", options.service, "name of the service");
    app.add_option("--daemon", options.daemon,
                   "address of the daemon beside the server, IP address:port");
    app.add_option("--port", options.port, "port to listen on; 0 selects a free port");
    app.add_option("--slots", options.slots, "maximum number of concurrent calls")
        ->check(CLI::Range(1U, 65'535U));
    app.add_option("--connections", options.connections,
                   "maximum number of connections that is announced");
    app.add_option("--service-ms", options.serviceMs, "mean service time of a call in ms")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--distribution", options.distribution, "distribution of the service time")
        ->check(CLI::IsMember({"fixed", "exponential", "lognormal"}));
    app.add_option("--seed", options.seed, "seed of the random number generator");
    app.add_option("--cold-slots", options.coldSlots,
                   "maximum number of concurrent calls of a cold server; it crashes on one more");
    app.add_option("--cold-factor", options.coldFactor,
                   "service time of a cold server as a multiple of that of a warm one")
        ->check(CLI::Range(1.0, 1000.0));
    app.add_option("--warm-after", options.warmAfter,
                   "number of answers after which a cold server is warm; 0 starts warm");
    app.add_option("--history", options.history,
                   "file to which a JSON line is appended for each begin and end of a run");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in backend server for tests and demonstrations.");
    app.footer(
        "Control requests: GET /load, POST /fault, POST /drain. The query of a call may contain\n"
        "order=ID, bytes=N (size of the answer), stream=1 (chunked answer) and nested=/PATH\n"
        "(a nested GET through the daemon).\n"
        "Exit codes: 0 stopped, 2 cannot listen or invalid daemon address, 3 cannot write the\n"
        "history, 100-199 invalid command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    BackendOptions options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);

    try {
        asio::io_context context(1);
        (void)parseTcpEndpoint(options.daemon);
        tcp::acceptor acceptor(context,
                               tcp::endpoint(asio::ip::make_address("127.0.0.1"), options.port));
        std::cout << "port " << acceptor.local_endpoint().port() << std::endl;
        BackendServer server(context, options, std::move(acceptor));
        if (!server.isHistoryWritable()) {
            std::cerr << "coltsfoot-backend: cannot write the history to " << options.history
                      << '\n';
            return ExitCannotWriteHistory;
        }
        server.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "coltsfoot-backend: cannot start on port " << options.port << " with daemon "
                  << options.daemon << ": " << error.code().message() << '\n';
        return ExitCannotListen;
    } catch (const std::exception &error) {
        std::cerr << "coltsfoot-backend: cannot start on port " << options.port << " with daemon "
                  << options.daemon << ": " << error.what() << '\n';
        return ExitCannotListen;
    }
    return 0;
}
