#include "performance/TransportHops.h"

#include "kernel/AsioExecutor.h"
#include "performance/TransportServers.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace Coltsfootwell::Testing {

namespace {

using asio::ip::tcp;
using asio::ip::udp;

class GrpcHop final : public TransportHop
{
public:
    const char *name() const override { return "gRPC unary"; }
    bool run() override { return appendOnce(*m_stub); }

private:
    GrpcServer m_server;
    std::unique_ptr<::coltsfootwell::logservice::Log::Stub> m_stub
        = ::coltsfootwell::logservice::Log::NewStub(
            grpc::CreateChannel(GrpcServer::address(), grpc::InsecureChannelCredentials()));
};

class HttpHop final : public TransportHop
{
public:
    const char *name() const override { return "HttpExchange"; }
    bool run() override { return exchangeOnce(m_context, m_executor, m_pool); }

private:
    TcpServer m_server {HttpPort, echoHttp};
    asio::io_context m_context {1};
    AsioExecutor m_executor {m_context};
    std::shared_ptr<HttpPool> m_pool
        = std::make_shared<HttpPool>(m_context, Endpoint {"127.0.0.1", m_server.endpoint().port()});
};

class FrameHop final : public TransportHop
{
public:
    FrameHop()
    {
        m_socket.connect(m_server.endpoint());
        m_socket.set_option(tcp::no_delay(true));
    }

    const char *name() const override { return "frame over TCP"; }

    bool run() override
    {
        boost::system::error_code ec;
        asio::write(m_socket, asio::buffer(m_body), ec);
        return !ec && asio::read(m_socket, asio::buffer(m_body), ec) == HopBodyBytes;
    }

private:
    TcpServer m_server {TcpPort, echoFrames};
    asio::io_context m_context {1};
    tcp::socket m_socket {m_context};
    EchoBody m_body {};
};

class UdpHop final : public TransportHop
{
public:
    UdpHop() { m_socket.connect(m_server.endpoint()); }

    const char *name() const override { return "UDP datagram"; }

    bool run() override
    {
        boost::system::error_code ec;
        m_socket.send(asio::buffer(m_body), 0, ec);
        return !ec && m_socket.receive(asio::buffer(m_body), 0, ec) == HopBodyBytes;
    }

private:
    UdpServer m_server;
    asio::io_context m_context {1};
    udp::socket m_socket {m_context, udp::v4()};
    EchoBody m_body {};
};

} // namespace

std::vector<std::unique_ptr<TransportHop>> makeTransportHops()
{
    std::vector<std::unique_ptr<TransportHop>> hops;
    hops.push_back(std::make_unique<GrpcHop>());
    hops.push_back(std::make_unique<HttpHop>());
    hops.push_back(std::make_unique<FrameHop>());
    hops.push_back(std::make_unique<UdpHop>());
    return hops;
}

} // namespace Coltsfootwell::Testing
