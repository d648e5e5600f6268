// Stand-in for a backend server: announces itself to the daemon beside it, serves calls with a
// bounded number of slots, shows faults on command, and records each run.
#include "standin/BackendAnnouncer.h"
#include "standin/BackendWorker.h"

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <iostream>

namespace {

using namespace Coltsfootwell;
using namespace Coltsfootwell::Standin;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int ExitCannotListen = 2;
constexpr int ExitBadHistory = 3;
/// A planned stop waits this long for the calls in progress.
constexpr std::chrono::seconds DrainLimit {30};
/// Calls that the daemon admitted before it heard of the drain are still served in this time.
constexpr std::chrono::milliseconds DrainGrace {200};

class Program
{
public:
    Program(asio::io_context &context, const BackendOptions &options, tcp::acceptor acceptor)
        : m_context(context), m_options(options), m_acceptor(std::move(acceptor)),
          m_drainTimer(context), m_signals(context, SIGTERM, SIGINT)
    {
        m_shared.reset(new BackendShared {options,
                                          BackendModel(options),
                                          BackendHistory(options.history, options.service),
                                          SeededRandom(options.seed),
                                          {},
                                          0,
                                          [this] { drain(); },
                                          [this] { stopWhenIdle(); }});
    }

    bool historyGood() const { return m_shared->history.good(); }

    void run()
    {
        const std::uint16_t port = m_acceptor.local_endpoint().port();
        asio::co_spawn(m_context, acceptCalls(m_acceptor, m_shared), asio::detached);
        asio::co_spawn(m_context, keepAnnounced(m_options, port, m_draining), asio::detached);
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (!ec) {
                drain();
            }
        });
        m_context.run();
    }

private:
    /// Tells the daemon first: while it is told, calls that it has admitted still get a slot.
    void drain()
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
                m_drainTimer.expires_after(DrainGrace);
                m_drainTimer.async_wait([this](boost::system::error_code) { finish(); });
            });
    }

    void finish()
    {
        m_finishing = true;
        m_shared->model.drain();
        m_drainTimer.expires_after(DrainLimit);
        m_drainTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec) {
                m_context.stop();
            }
        });
        stopWhenIdle();
    }

    void stopWhenIdle()
    {
        if (m_finishing && m_shared->model.inUse() == 0) {
            // The last answer is still being written.
            m_drainTimer.expires_after(DrainGrace);
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
    std::shared_ptr<BackendShared> m_shared;
    bool m_draining = false;
    bool m_finishing = false;
};

void addOptions(CLI::App &app, BackendOptions &options)
{
    app.add_option("--service", options.service, "name of the service");
    app.add_option("--daemon", options.daemon, "address of the daemon beside it");
    app.add_option("--port", options.port, "port to listen on; 0 takes a free one");
    app.add_option("--slots", options.slots, "calls served at once")
        ->check(CLI::Range(1U, 65'535U));
    app.add_option("--connections", options.connections, "connections it accepts, as announced");
    app.add_option("--service-ms", options.serviceMs, "mean time for one call in ms")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--distribution", options.distribution, "distribution of that time")
        ->check(CLI::IsMember({"fixed", "exponential", "lognormal"}));
    app.add_option("--seed", options.seed, "seed of all random choices");
    app.add_option("--cold-slots", options.coldSlots, "calls a cold server bears at once");
    app.add_option("--cold-factor", options.coldFactor, "how many times slower a cold server is")
        ->check(CLI::Range(1.0, 1000.0));
    app.add_option("--warm-after", options.warmAfter,
                   "answers until a cold server is warm; 0 starts warm");
    app.add_option("--history", options.history, "file for one JSON line per begin and end");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in backend server for tests and demonstrations.");
    app.footer("Control: GET /load, POST /fault, POST /drain. A call's query may hold order=ID,\n"
               "bytes=N, stream=1 and nested=/PATH (a GET through the daemon).\n"
               "Exit codes: 0 stopped, 2 cannot listen, 3 cannot write the history, "
               "100-199 bad command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    BackendOptions options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);

    try {
        asio::io_context context(1);
        (void)endpointFromText(options.daemon);
        tcp::acceptor acceptor(context,
                               tcp::endpoint(asio::ip::make_address("127.0.0.1"), options.port));
        std::cout << "port " << acceptor.local_endpoint().port() << std::endl;
        Program program(context, options, std::move(acceptor));
        if (!program.historyGood()) {
            std::cerr << "coltsfoot-backend: cannot write " << options.history << '\n';
            return ExitBadHistory;
        }
        program.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "coltsfoot-backend: cannot listen on port " << options.port
                  << " beside daemon " << options.daemon << ": " << error.code().message() << '\n';
        return ExitCannotListen;
    } catch (const std::exception &error) {
        std::cerr << "coltsfoot-backend: cannot listen on port " << options.port
                  << " beside daemon " << options.daemon << ": " << error.what() << '\n';
        return ExitCannotListen;
    }
    return 0;
}
