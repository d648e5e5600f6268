#include "performance/TransportServers.h"

#include "services/HttpIo.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace Coltsfootwell::Testing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::chrono::seconds StepLimit {2};

asio::awaitable<void> acceptAll(tcp::acceptor &acceptor, TcpServer::Session session)
{
    boost::system::error_code ec;
    while (!ec) {
        tcp::socket socket
            = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            socket.set_option(tcp::no_delay(true));
            co_spawn(acceptor.get_executor(), session(std::move(socket)), asio::detached);
        }
    }
}

std::shared_ptr<const CallHead> echoHead()
{
    auto head = std::make_shared<CallHead>();
    head->method = "POST";
    head->target = "/echo";
    return head;
}

/// Counts the body of the answer.
void readAll(const BodyPipePtr &pipe, std::size_t &bytes)
{
    pipe->read([pipe, &bytes](const BodyChunk &chunk) {
        if (chunk.kind == BodyChunk::Kind::Bytes) {
            bytes += chunk.bytes.size();
            readAll(pipe, bytes);
        }
    });
}

} // namespace

ServerThread::ServerThread() : m_work(asio::make_work_guard(m_context))
{
}

ServerThread::~ServerThread()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ServerThread::start()
{
    m_thread = std::thread([this] { m_context.run(); });
}

TcpServer::TcpServer(std::uint16_t port, Session session)
    : m_acceptor(m_thread.context(), {asio::ip::address_v4::loopback(), port}),
      m_endpoint(m_acceptor.local_endpoint())
{
    co_spawn(m_thread.context(), acceptAll(m_acceptor, std::move(session)), asio::detached);
    m_thread.start();
}

asio::awaitable<void> echoFrames(tcp::socket socket)
{
    EchoBody body {};
    boost::system::error_code ec;
    while (!ec) {
        co_await asio::async_read(socket, asio::buffer(body),
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            co_await asio::async_write(socket, asio::buffer(body),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

asio::awaitable<void> echoHttp(tcp::socket socket)
{
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    while (!ec) {
        http::request<http::string_body> request;
        co_await http::async_read(socket, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            http::response<http::string_body> answer(http::status::ok, request.version());
            answer.body() = std::move(request.body());
            answer.prepare_payload();
            co_await http::async_write(socket, answer,
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

UdpServer::UdpServer() : m_socket(m_thread.context(), {asio::ip::address_v4::loopback(), UdpPort})
{
    co_spawn(m_thread.context(), echo(), asio::detached);
    m_thread.start();
}

asio::awaitable<void> UdpServer::echo()
{
    EchoBody body {};
    boost::system::error_code ec;
    while (!ec) {
        udp::endpoint from;
        const std::size_t n = co_await m_socket.async_receive_from(
            asio::buffer(body), from, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            co_await m_socket.async_send_to(asio::buffer(body, n), from,
                                            asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

grpc::Status GrpcServer::Service::Append(grpc::ServerContext *,
                                         const ::coltsfootwell::logservice::AppendRequest *request,
                                         ::coltsfootwell::logservice::AppendAnswer *answer)
{
    answer->set_offset(request->content().size());
    return grpc::Status::OK;
}

GrpcServer::GrpcServer()
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address(), grpc::InsecureServerCredentials());
    builder.RegisterService(&m_service);
    m_server = builder.BuildAndStart();
}

GrpcServer::~GrpcServer()
{
    m_server->Shutdown();
}

bool exchangeOnce(asio::io_context &context, Executor &executor,
                  const std::shared_ptr<HttpPool> &pool)
{
    static const auto head = echoHead();
    static const auto body = std::make_shared<const std::string>(HopBodyBytes, 'x');
    ExchangeRequest request;
    request.head = head;
    request.headers = {{"Host", pool->endpoint().address}};
    request.body.bytes = body;
    request.connectTimeout = StepLimit;
    request.progressTimeout = StepLimit;
    request.maxIdle = StepLimit;
    std::size_t bytes = 0;
    bool isWhole = false;
    ExchangeHandlers handlers;
    handlers.mayBegin = [] { return true; };
    handlers.answered
        = [&bytes](const AnswerHead &, const BodyPipePtr &pipe) { readAll(pipe, bytes); };
    handlers.lost = [](AttemptLost) {};
    handlers.ended = [&isWhole](bool whole) { isWhole = whole; };
    const auto exchange = std::make_shared<HttpExchange>(context, executor, pool,
                                                         std::move(request), std::move(handlers));
    exchange->start();
    context.restart();
    context.run();
    return isWhole && bytes == HopBodyBytes;
}

bool appendOnce(::coltsfootwell::logservice::Log::Stub &stub)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + StepLimit);
    ::coltsfootwell::logservice::AppendRequest request;
    request.set_content(std::string(HopBodyBytes, 'x'));
    ::coltsfootwell::logservice::AppendAnswer answer;
    return stub.Append(&context, request, &answer).ok() && answer.offset() == HopBodyBytes;
}

} // namespace Coltsfootwell::Testing
