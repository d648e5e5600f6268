// Servers that echo bodies of 1 KiB, each on a thread of its own.
// Only for .cpp files: it includes Asio, Beast and gRPC.
#pragma once

#include "log.grpc.pb.h"
#include "performance/TransportHops.h"
#include "services/HttpExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <grpcpp/grpcpp.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Coltsfootwell::Testing {

namespace asio = boost::asio;

/// Ports of the servers. Two servers of a kind never run at once.
constexpr std::uint16_t TcpPort = 19'900;
constexpr std::uint16_t HttpPort = 19'901;
constexpr std::uint16_t UdpPort = 19'902;
constexpr std::uint16_t GrpcPort = 19'903;

using EchoBody = std::array<char, HopBodyBytes>;

/// \brief Runs an io_context on a thread until it is destroyed.
class ServerThread
{
public:
    ServerThread();
    ~ServerThread();

    asio::io_context &context() { return m_context; }

    /// \brief Starts the thread, after the first tasks were spawned.
    void start();

private:
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// \brief Accepts connections and answers with what it reads.
class TcpServer
{
public:
    using Session = std::function<asio::awaitable<void>(asio::ip::tcp::socket)>;

    TcpServer(std::uint16_t port, Session session);

    asio::ip::tcp::endpoint endpoint() const { return m_endpoint; }

private:
    ServerThread m_thread;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_endpoint;
};

/// \brief Echoes frames of HopBodyBytes.
asio::awaitable<void> echoFrames(asio::ip::tcp::socket socket);

/// \brief Echoes the bodies of HTTP requests.
asio::awaitable<void> echoHttp(asio::ip::tcp::socket socket);

/// \brief Echoes datagrams.
class UdpServer
{
public:
    UdpServer();

    asio::ip::udp::endpoint endpoint() const { return m_socket.local_endpoint(); }

private:
    asio::awaitable<void> echo();

    ServerThread m_thread;
    asio::ip::udp::socket m_socket;
};

/// \brief Log service that answers each append with an offset.
class GrpcServer
{
public:
    GrpcServer();
    ~GrpcServer();

    /// \return address and port.
    static std::string address() { return "127.0.0.1:" + std::to_string(GrpcPort); }

private:
    class Service final : public ::coltsfootwell::logservice::Log::Service
    {
    public:
        grpc::Status Append(grpc::ServerContext *,
                            const ::coltsfootwell::logservice::AppendRequest *request,
                            ::coltsfootwell::logservice::AppendAnswer *answer) override;
    };

    Service m_service;
    std::unique_ptr<grpc::Server> m_server;
};

/// \brief Runs HttpExchange to the end on the calling thread.
/// \param context run by this call.
/// \param executor of the same context.
/// \param pool connection to the server.
/// \return true when the whole body came back.
bool exchangeOnce(asio::io_context &context, Executor &executor,
                  const std::shared_ptr<HttpPool> &pool);

/// \return false when the append failed.
bool appendOnce(::coltsfootwell::logservice::Log::Stub &stub);

} // namespace Coltsfootwell::Testing
