// A daemon in a process of its own whose only peer is the test, for tests of its whole lifetime.
#pragma once

#include "programs/DaemonMain.h"
#include "wire/EndpointText.h"
#include "wire/MembershipCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Coltsfootwell::Testing {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

/// \brief A daemon without a backend server, and another daemon that sends it datagrams.
class DaemonProcess
{
public:
    /// Id of the daemon.
    static constexpr const char *Name = "daemon-1";

    /// \param listenPort port for callers; 0 for one that no socket has.
    /// \param strategies rules of the daemon.
    /// \param configuration content of its configuration file; empty for none.
    explicit DaemonProcess(std::uint16_t listenPort = 0, const DaemonStrategies &strategies = {},
                           std::string_view configuration = {})
    {
        m_log = std::filesystem::temp_directory_path()
            / ("daemon-" + std::to_string(::getpid()) + ".log");
        m_settings = std::filesystem::temp_directory_path()
            / ("conflict-" + std::to_string(::getpid()) + ".json");
        m_configuration = std::filesystem::temp_directory_path()
            / ("configuration-" + std::to_string(::getpid()) + ".json");
        writeConfiguration(configuration);
        std::ofstream(m_settings) << R"({"id": ")" << Name
                                  << R"(", "region": "r", "dataCentre": "dc", "graceSeconds": 2, )"
                                  << R"("listen": "127.0.0.1:)"
                                  << (listenPort != 0 ? listenPort : freePort(m_context))
                                  << R"(", "peers": ")" << formatEndpoint(m_peers) << '"'
                                  << (configuration.empty() ? ""
                                                            : R"(, "configurationFile": ")"
                                              + m_configuration.string() + '"')
                                  << '}';
        m_socket.non_blocking(true);
        m_process = ::fork();
        REQUIRE(m_process >= 0);
        if (m_process == 0) {
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            std::string settings = m_settings;
            std::string program = "coltsfootd";
            std::string option = "--settings";
            char *arguments[] = {program.data(), option.data(), settings.data(), nullptr};
            ::_exit(daemonMain(3, arguments, strategies));
        }
    }

    ~DaemonProcess()
    {
        if (!m_ended) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
        }
        std::filesystem::remove(m_settings);
        std::filesystem::remove(m_log);
        std::filesystem::remove(m_configuration);
    }

    /// \return the incarnation with which the daemon answers a ping; empty if it ends meanwhile.
    std::optional<Incarnation> awaitAnswer()
    {
        const auto end = std::chrono::steady_clock::now() + AnswerTimeout;
        while (std::chrono::steady_clock::now() < end && !exitCode()) {
            send({});
            std::this_thread::sleep_for(PollInterval);
            std::array<char, Datagram::MaxBytes> buf {};
            boost::system::error_code ec;
            while (const std::size_t n = m_socket.receive(boost::asio::buffer(buf), 0, ec)) {
                std::error_code decodeError;
                const Datagram datagram = decodeDatagram({buf.data(), n}, decodeError);
                const auto *ack = decodeError ? nullptr : std::get_if<Ack>(&datagram.body);
                if (ack && ack->nonce == m_lastNonce) {
                    return datagram.from.member.id.incarnation;
                }
            }
        }
        return {};
    }

    /// \brief Reports a process with the daemon's id and address.
    void claimId(Incarnation incarnation)
    {
        send({{makeMember(Name, incarnation, m_peers), {}, {}, false}});
    }

    /// \brief Replaces the configuration file, which the daemon reads again at SIGHUP.
    void writeConfiguration(std::string_view text) const { std::ofstream(m_configuration) << text; }

    void sendSignal(int number) const { ::kill(m_process, number); }

    /// \return the exit code once the process has ended.
    std::optional<int> exitCode()
    {
        int status = 0;
        if (!m_ended && ::waitpid(m_process, &status, WNOHANG) == m_process) {
            m_ended = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            m_endSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        }
        return m_ended;
    }

    /// \return the signal that has ended the process; 0 if it has not ended, or otherwise.
    int endSignal() const { return m_endSignal; }

    /// \return what the process has written to standard output and standard error.
    std::string log() const
    {
        std::ifstream file(m_log);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /// \return the exit code; empty if the process has not ended within some time.
    std::optional<int> awaitEnd(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (!exitCode() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(PollInterval);
        }
        return exitCode();
    }

private:
    static constexpr std::chrono::seconds AnswerTimeout {5};
    static constexpr std::chrono::milliseconds PollInterval {20};

    /// \return a TCP port of the loopback interface that no socket has.
    static std::uint16_t freePort(boost::asio::io_context &context)
    {
        const tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        return acceptor.local_endpoint().port();
    }

    static Member makeMember(std::string name, Incarnation incarnation, Endpoint endpoint)
    {
        Member member;
        member.id = {std::move(name), incarnation};
        member.endpoint = std::move(endpoint);
        member.region = "r";
        member.dataCentre = "dc";
        return member;
    }

    void send(std::vector<MemberRecord> records)
    {
        const Endpoint own {"127.0.0.1", m_socket.local_endpoint().port()};
        const std::string bytes = encodeDatagram({{makeMember("daemon-0", 1, own), {}, {}, false},
                                                  Ping {++m_lastNonce, false, {}},
                                                  std::move(records)});
        boost::system::error_code ec;
        m_socket.send_to(boost::asio::buffer(bytes),
                         udp::endpoint(boost::asio::ip::address_v4::loopback(), m_peers.port), 0,
                         ec);
    }

    boost::asio::io_context m_context;
    udp::socket m_socket {m_context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    Endpoint m_peers {"127.0.0.1", freePort(m_context)};
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    std::filesystem::path m_configuration;
    ::pid_t m_process = -1;
    std::optional<int> m_ended;
    int m_endSignal = 0;
    std::uint64_t m_lastNonce = 0;
};

} // namespace Coltsfootwell::Testing
