#include "services/HttpExchange.h"

#include "services/HttpIo.h"
#include "wire/HeaderNames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Coltsfootwell {

namespace Internal {

struct HttpConnection
{
    explicit HttpConnection(asio::io_context &context) : stream(context) { }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    TimePoint lastUsed {};
    bool connected = false;
};

namespace {

/// An idle connection with anything to read was closed by the other side or is out of step.
bool isQuiet(HttpConnection &connection)
{
    boost::system::error_code ec;
    asio::ip::tcp::socket &socket = connection.stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block && connection.buffer.size() == 0;
}

template <typename Body>
http::request<Body> makeRequest(const ExchangeRequest &request)
{
    http::request<Body> message;
    message.version(11);
    message.method_string(request.head->method);
    message.target(request.head->target);
    for (const HeaderField &field : request.headers) {
        message.insert(field.name, field.value);
    }
    return message;
}

} // namespace

} // namespace Internal

using namespace Internal;

HttpPool::HttpPool(asio::io_context &context, Endpoint endpoint)
    : m_context(context), m_endpoint(std::move(endpoint))
{
}

HttpPool::~HttpPool() = default;

std::unique_ptr<HttpConnection> HttpPool::take(Duration maxIdle, TimePoint now)
{
    while (!m_idle.empty()) {
        std::unique_ptr<HttpConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - connection->lastUsed <= maxIdle && isQuiet(*connection)) {
            return connection;
        }
    }
    return std::make_unique<HttpConnection>(m_context);
}

void HttpPool::give(std::unique_ptr<HttpConnection> connection, TimePoint now)
{
    connection->lastUsed = now;
    m_idle.push_back(std::move(connection));
}

void HttpPool::expire(Duration maxIdle, TimePoint now)
{
    while (!m_idle.empty() && now - m_idle.front()->lastUsed > maxIdle) {
        m_idle.pop_front();
    }
}

struct HttpExchange::Task
{
    HttpExchange &self;
    bool sent = false;
    bool bodyTaken = false;

    asio::awaitable<boost::system::error_code> connect()
    {
        boost::system::error_code ec;
        HttpConnection &connection = *self.m_connection;
        if (connection.connected) {
            co_return ec;
        }
        const auto address = asio::ip::make_address(self.m_pool->endpoint().address, ec);
        if (ec) {
            co_return ec;
        }
        connection.stream.expires_after(self.m_request.connectTimeout);
        co_await connection.stream.async_connect(
            asio::ip::tcp::endpoint(address, self.m_pool->endpoint().port),
            asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            connection.connected = true;
            connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        }
        co_return ec;
    }

    asio::awaitable<boost::system::error_code> writeHeldBody()
    {
        boost::system::error_code ec;
        auto message = makeRequest<http::span_body<const char>>(self.m_request);
        static const std::string empty;
        const std::string &bytes = self.m_request.body.bytes ? *self.m_request.body.bytes : empty;
        message.body() = beast::span<const char>(bytes.data(), bytes.size());
        if (!bytes.empty()
            || (message.method() != http::verb::get && message.method() != http::verb::head)) {
            message.content_length(bytes.size());
        }
        self.m_connection->stream.expires_after(self.m_request.progressTimeout);
        sent = true;
        co_await writeHeld<true>(self.m_connection->stream, message, ec);
        co_return ec;
    }

    http::request<http::buffer_body> streamedRequest() const
    {
        auto message = makeRequest<http::buffer_body>(self.m_request);
        if (const auto &length = self.m_request.body.streamLength) {
            message.content_length(*length);
        } else {
            message.chunked(true);
        }
        return message;
    }

    /// Sends the header and waits for the receiver's agreement or its refusal.
    asio::awaitable<boost::system::error_code> askBeforeBody(
        http::request<http::buffer_body> &message, http::response_parser<http::buffer_body> &parser,
        bool &agreed)
    {
        boost::system::error_code ec;
        HttpConnection &connection = *self.m_connection;
        message.set(http::field::expect, "100-continue");
        http::request_serializer<http::buffer_body> serializer(message);
        connection.stream.expires_after(self.m_request.progressTimeout);
        sent = true;
        co_await http::async_write_header(connection.stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            co_await http::async_read_header(connection.stream, connection.buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, ec));
        }
        agreed = !ec && parser.get().result() == http::status::continue_;
        co_return ec;
    }

    /// Sends the chunks of a body whose header has been written.
    asio::awaitable<boost::system::error_code> writeBodyOnly(
        http::request<http::buffer_body> &message)
    {
        boost::system::error_code ec;
        BodyPipe &pipe = *self.m_request.body.stream;
        // The serializer starts at the header, which is on the wire already, so the header goes to
        // a sink and only the body to the socket.
        http::request_serializer<http::buffer_body> serializer(message);
        message.body().data = nullptr;
        message.body().size = 0;
        message.body().more = true;
        serializer.split(true);
        while (!serializer.is_header_done()) {
            boost::system::error_code skip;
            serializer.next(skip, [&serializer](boost::system::error_code &, const auto &buffers) {
                serializer.consume(beast::buffer_bytes(buffers));
            });
            if (skip) {
                co_return skip;
            }
        }
        while (true) {
            BodyChunk chunk = co_await readChunk(pipe);
            bodyTaken = true;
            if (chunk.kind == BodyChunk::Kind::Cut) {
                co_return asio::error::operation_aborted;
            }
            const bool more = chunk.kind == BodyChunk::Kind::Bytes;
            message.body().data = more ? chunk.bytes.data() : nullptr;
            message.body().size = chunk.bytes.size();
            message.body().more = more;
            self.m_connection->stream.expires_after(self.m_request.progressTimeout);
            co_await http::async_write(self.m_connection->stream, serializer,
                                       asio::redirect_error(asio::use_awaitable, ec));
            if (ec == http::error::need_buffer) {
                ec = {};
            }
            if (ec || !more) {
                co_return ec;
            }
        }
    }

    asio::awaitable<boost::system::error_code> writeStreamedBody()
    {
        boost::system::error_code ec;
        auto message = streamedRequest();
        BodyPipe &pipe = *self.m_request.body.stream;
        BodyChunk first = co_await readChunk(pipe);
        bodyTaken = true;
        sent = true;
        co_await writeFromPipe(self.m_connection->stream, message, std::move(first), pipe,
                               self.m_request.progressTimeout, ec);
        co_return ec;
    }

    static AnswerHead headOf(const http::response<http::buffer_body> &message)
    {
        AnswerHead head;
        head.status = message.result_int();
        head.headers = passedHeaders(message);
        return head;
    }

    bool echoMatches(const http::response<http::buffer_body> &message) const
    {
        if (self.m_request.echo.empty()) {
            return true;
        }
        const auto it
            = message.find(beast::string_view(Header::Attempt.data(), Header::Attempt.size()));
        return it != message.end() && it->value() == self.m_request.echo;
    }

    /// Passes the answer on. The connection is kept only after a whole answer.
    asio::awaitable<void> deliver(http::response_parser<http::buffer_body> &parser)
    {
        HttpConnection &connection = *self.m_connection;
        if (!echoMatches(parser.get())) {
            fail();
            co_return;
        }
        AnswerHead head = headOf(parser.get());
        if (const auto length = parser.content_length()) {
            head.length = *length;
        } else if (!parser.chunked() && !parser.need_eof()) {
            head.length = 0;
        }
        const bool keep = parser.get().keep_alive() && !parser.need_eof();
        auto pipe = std::make_shared<BodyPipe>(self.m_executor);
        self.m_handlers.answered(std::move(head), pipe);
        boost::system::error_code ec;
        const bool whole = co_await pumpBody<false>(connection.stream, connection.buffer, parser,
                                                    *pipe, self.m_request.progressTimeout, ec);
        if (whole && keep && !self.m_cancelled) {
            connection.stream.expires_never();
            self.m_pool->give(std::move(self.m_connection), self.m_executor.now());
        } else if (!whole) {
            resetStream(connection.stream);
        }
        self.m_handlers.ended(whole);
    }

    void fail()
    {
        resetStream(self.m_connection->stream);
        self.m_handlers.lost({sent, bodyTaken});
        self.m_handlers.ended(false);
    }

    asio::awaitable<void> run()
    {
        self.m_connection = self.m_pool->take(self.m_request.maxIdle, self.m_executor.now());
        if (co_await connect() || self.m_cancelled || !self.m_handlers.mayBegin()) {
            fail();
            co_return;
        }
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        parser.header_limit(MaxHeaderBytes);
        parser.skip(self.m_request.head->method == "HEAD");
        boost::system::error_code ec;
        const bool streamed = self.m_request.body.stream != nullptr;
        bool agreed = true;
        std::optional<http::response_parser<http::buffer_body>> interim;
        if (streamed && self.m_request.askBeforeBody) {
            auto message = streamedRequest();
            interim.emplace();
            interim->body_limit(boost::none);
            interim->header_limit(MaxHeaderBytes);
            ec = co_await askBeforeBody(message, *interim, agreed);
            if (!ec && agreed) {
                message.erase(http::field::expect);
                ec = co_await writeBodyOnly(message);
            }
        } else if (streamed) {
            ec = co_await writeStreamedBody();
        } else {
            ec = co_await writeHeldBody();
        }
        if (ec) {
            fail();
            co_return;
        }
        if (!agreed) {
            co_await deliver(*interim);
            co_return;
        }
        HttpConnection &connection = *self.m_connection;
        connection.stream.expires_after(self.m_request.progressTimeout);
        co_await http::async_read_header(connection.stream, connection.buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            fail();
            co_return;
        }
        co_await deliver(parser);
    }
};

HttpExchange::HttpExchange(asio::io_context &context, Executor &executor,
                           std::shared_ptr<HttpPool> pool, ExchangeRequest request,
                           ExchangeHandlers handlers)
    : m_context(context), m_executor(executor), m_pool(std::move(pool)),
      m_request(std::move(request)), m_handlers(std::move(handlers))
{
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::start()
{
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() -> asio::awaitable<void> {
            Task task {*self};
            co_await task.run();
        },
        asio::detached);
}

void HttpExchange::cancel()
{
    m_cancelled = true;
    if (m_connection) {
        resetStream(m_connection->stream);
    }
}

} // namespace Coltsfootwell
