// Stand-in for the platform's log, with faults that tests switch on. It keeps records in memory.
#include "services/LogServer.h"
#include "kernel/AsioExecutor.h"
#include "log.grpc.pb.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <grpcpp/grpcpp.h>

#include <csignal>
#include <iostream>

namespace {

namespace rpc = coltsfootwell::logservice;

using namespace Coltsfootwell;

constexpr int ExitFailed = 1;

struct Options
{
    std::string listen = "127.0.0.1:7000";
    unsigned retentionSeconds = 24 * 3600;
    std::size_t retentionRecords = 0;
    unsigned appendDelayMs = 0;
    unsigned readDelayMs = 0;
    unsigned loseAnswers = 0;
    bool unavailable = false;
};

int serve(const Options &options)
{
    boost::asio::io_context context(1);
    AsioExecutor executor(context);
    SeededRandom random(0);
    Kernel kernel(executor, random);
    LogServerSettings settings;
    settings.listen = options.listen;
    settings.retention = std::chrono::seconds(options.retentionSeconds);
    settings.maxRecords = options.retentionRecords;
    settings.faultsAllowed = true;
    settings.faults = {options.unavailable, std::chrono::milliseconds(options.appendDelayMs),
                       std::chrono::milliseconds(options.readDelayMs), options.loseAnswers};
    kernel.add(makeLogServer(kernel, settings));
    if (const std::error_code ec = kernel.start()) {
        std::cerr << "coltsfoot-log: " << options.listen << ": " << ec.message() << '\n';
        return ExitFailed;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](boost::system::error_code, int) { kernel.stop([&context] { context.stop(); }); });
    const auto guard = boost::asio::make_work_guard(context);
    context.run();
    return 0;
}

int setFaults(const Options &options)
{
    const auto stub = rpc::Log::NewStub(
        grpc::CreateChannel(options.listen, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(2));
    rpc::Faults faults;
    faults.set_unavailable(options.unavailable);
    faults.set_append_delay_ms(options.appendDelayMs);
    faults.set_read_delay_ms(options.readDelayMs);
    faults.set_lose_answers(options.loseAnswers);
    rpc::FaultsSet answer;
    const grpc::Status status = stub->SetFaults(&context, faults, &answer);
    if (!status.ok()) {
        std::cerr << "coltsfoot-log: " << options.listen << ": " << status.error_message() << '\n';
    }
    return status.ok() ? 0 : ExitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in log service for tests and demonstrations.");
    app.footer(
        "Exit codes: 0 stopped, or faults set; 1 cannot listen, or the log does not answer;\n"
        "100-199 bad command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    Options options;
    bool faultsOnly = false;
    app.add_option("--listen", options.listen, "IP number and port")->capture_default_str();
    app.add_option("--retention-seconds", options.retentionSeconds, "time that records are kept");
    app.add_option("--retention-records", options.retentionRecords,
                   "records of a stream that are kept; 0 for no limit");
    app.add_option("--append-delay-ms", options.appendDelayMs, "wait before each append");
    app.add_option("--read-delay-ms", options.readDelayMs, "wait before each read");
    app.add_option("--lose-answers", options.loseAnswers,
                   "the answers of the next appends are lost after the effect");
    app.add_flag("--unavailable", options.unavailable, "refuse appends and reads");
    app.add_flag("--set-faults", faultsOnly,
                 "give the delays and faults above to the log that runs at --listen; faults that "
                 "are not named are switched off");
    CLI11_PARSE(app, argc, argv);
    return faultsOnly ? setFaults(options) : serve(options);
}
