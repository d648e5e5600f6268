#include "services/HttpExchange.h"

#include "services/HttpConnection.h"
#include "wire/ParseNumber.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace Coltsfootwell {

using namespace Internal;

namespace {

using std::chrono::seconds;

constexpr std::uint32_t MaxAnswerHeaderBytes = 64 * 1024;
/// Answers to other requests that are passed over on one connection.
constexpr unsigned MaxForeignAnswers = 4;
constexpr unsigned FirstSuccess = 200;

/// \return the time that the server keeps an idle connection, as its answer says.
Duration idleLimitOf(const http::fields &fields)
{
    const std::string_view text = stdView(fields[http::field::keep_alive]);
    constexpr std::string_view Key = "timeout=";
    const std::size_t begin = text.find(Key);
    if (begin == std::string_view::npos) {
        return AssumedIdleLimit;
    }
    const std::string_view digits = text.substr(begin + Key.size());
    const auto n = parseNumber<unsigned>(digits.substr(0, digits.find_first_not_of("0123456789")));
    return n ? Duration(seconds(*n)) : AssumedIdleLimit;
}

} // namespace

struct HttpExchange::Task
{
    HttpExchange &self;
    bool reused = false;
    bool heard = false;
    bool answerTooLong = false;
    TimerId deadlineTimer = 0;

    asio::awaitable<bool> connect()
    {
        boost::system::error_code ec;
        HttpConnection &connection = *self.m_connection;
        reused = connection.connected;
        if (reused) {
            co_return true;
        }
        const Endpoint &endpoint = self.m_pool->endpoint();
        const auto address = asio::ip::make_address(endpoint.address, ec);
        if (!ec) {
            const TimePoint last = std::min(self.m_executor.now() + self.m_request.connectTimeout,
                                            self.m_request.deadline);
            const TimerId timer = closeAt(last);
            co_await connection.socket.async_connect(tcp::endpoint(address, endpoint.port),
                                                     asio::redirect_error(asio::use_awaitable, ec));
            self.m_executor.cancel(timer);
        }
        if (ec) {
            co_return false;
        }
        connection.connected = true;
        configureSocket(connection.socket);
        co_return true;
    }

    TimerId closeAt(TimePoint at)
    {
        return self.m_executor.scheduleAfter(
            at - self.m_executor.now(), [weak = self.weak_from_this()] {
                if (const auto exchange = weak.lock(); exchange && exchange->m_connection) {
                    resetSocket(exchange->m_connection->socket);
                }
            });
    }

    std::string requestBytes() const
    {
        http::request<http::span_body<const char>> message;
        message.version(11);
        message.method_string(beastView(self.m_request.method));
        message.target(beastView(self.m_request.target));
        for (const HeaderField &field : self.m_request.headers) {
            message.insert(field.name, field.value);
        }
        const BodyPtr &body = self.m_request.body;
        if (body && !body->empty()) {
            message.body() = beast::span<const char>(body->data(), body->size());
            message.content_length(body->size());
        } else if (message.method() != http::verb::get && message.method() != http::verb::head) {
            message.content_length(0);
        }
        return serializeMessage(message);
    }

    /// Writes on its own, since the server may answer before it has read a long body.
    void startWriting()
    {
        self.m_connection->writing = true;
        auto bytes = std::make_shared<std::string>(requestBytes());
        asio::async_write(
            self.m_connection->socket, asio::buffer(*bytes),
            [exchange = self.shared_from_this(), bytes](boost::system::error_code, std::size_t) {
                if (exchange->m_connection) {
                    exchange->m_connection->writing = false;
                }
            });
    }

    void renewDeadline()
    {
        if (self.m_request.bodyIdleTimeout > Duration()) {
            self.m_executor.cancel(deadlineTimer);
            deadlineTimer = closeAt(self.m_executor.now() + self.m_request.bodyIdleTimeout);
        }
    }

    /// Reads what follows the header of an answer.
    asio::awaitable<boost::system::error_code> readBody(
        http::response_parser<http::string_body> &parser)
    {
        HttpConnection &connection = *self.m_connection;
        const std::uint64_t answer = self.m_pool->answerBegins(self.weak_from_this());
        boost::system::error_code ec;
        self.m_receiving = true;
        self.m_headerRead = self.m_executor.now();
        while (!ec && !parser.is_done()) {
            renewDeadline();
            co_await http::async_read_some(connection.socket, connection.buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            self.m_pool->answerGrows(answer, parser.get().body().size());
        }
        self.m_receiving = false;
        self.m_pool->answerEnds(answer);
        co_return ec;
    }

    /// Reads answers until one belongs to this request.
    asio::awaitable<bool> readOwn(http::response<http::string_body> &message, bool &keep)
    {
        HttpConnection &connection = *self.m_connection;
        for (unsigned n = 0; n < MaxForeignAnswers; ++n) {
            http::response_parser<http::string_body> parser;
            parser.body_limit(self.m_request.maxAnswerBytes);
            parser.header_limit(MaxAnswerHeaderBytes);
            parser.skip(self.m_request.method == "HEAD");
            boost::system::error_code ec;
            co_await http::async_read_header(connection.socket, connection.buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, ec));
            heard = heard || connection.buffer.size() > 0 || !ec;
            if (!ec) {
                ec = co_await readBody(parser);
            }
            answerTooLong = ec == http::error::body_limit;
            if (ec) {
                co_return false;
            }
            keep = parser.get().keep_alive() && !parser.need_eof();
            message = parser.release();
            if (message.result_int() < FirstSuccess) {
                continue;
            }
            const std::vector<HeaderField> fields = endToEndHeaders(message);
            const AnswerEnvelope marks = self.m_dialect.decodeAnswer(message.result_int(), fields);
            if (self.m_request.requestId.empty() || marks.requestId.empty()
                || marks.requestId == self.m_request.requestId) {
                co_return true;
            }
        }
        co_return false;
    }

    ExchangeOutcome answered(http::response<http::string_body> &message) const
    {
        ExchangeOutcome outcome;
        outcome.kind = ExchangeOutcome::Kind::Answered;
        outcome.status = message.result_int();
        outcome.headers = endToEndHeaders(message);
        outcome.marks = self.m_dialect.decodeAnswer(outcome.status, outcome.headers);
        outcome.body = std::move(message.body());
        outcome.bodyReceiveTime = self.m_executor.now() - self.m_headerRead;
        return outcome;
    }

    ExchangeOutcome ended(ExchangeOutcome::Kind kind)
    {
        if (self.m_connection) {
            resetSocket(self.m_connection->socket);
        }
        ExchangeOutcome outcome;
        outcome.kind = kind;
        outcome.answerTooLong = answerTooLong;
        return outcome;
    }

    asio::awaitable<ExchangeOutcome> run()
    {
        using Kind = ExchangeOutcome::Kind;
        self.m_connection = self.m_pool->take(self.m_request.maxIdleTime, self.m_executor.now());
        if (!co_await connect()) {
            co_return ended(self.m_cancelled ? Kind::Unsent : Kind::Unreachable);
        }
        if (self.m_cancelled || !self.m_mayBegin()) {
            co_return ended(Kind::Unsent);
        }
        deadlineTimer = closeAt(self.m_request.deadline);
        startWriting();
        http::response<http::string_body> message;
        bool keep = false;
        const bool whole = co_await readOwn(message, keep);
        self.m_executor.cancel(deadlineTimer);
        if (!whole) {
            co_return ended(reused && !heard && !self.m_cancelled ? Kind::StaleConnection
                                                                  : Kind::Lost);
        }
        HttpConnection &connection = *self.m_connection;
        // Bytes behind the answer belong to no request, and a server that answered early still
        // reads this request's body.
        if (keep && !self.m_cancelled && !connection.writing && connection.buffer.size() == 0) {
            connection.idleLimit = idleLimitOf(message);
            self.m_pool->give(std::move(self.m_connection), self.m_executor.now());
        } else {
            boost::system::error_code ec;
            connection.socket.close(ec);
        }
        co_return answered(message);
    }
};

HttpExchange::HttpExchange(asio::io_context &context, Executor &executor,
                           std::shared_ptr<HttpPool> pool, const HttpDialect &dialect,
                           ExchangeRequest request, std::function<bool()> mayBegin,
                           std::function<void(ExchangeOutcome)> ended)
    : m_context(context), m_executor(executor), m_pool(std::move(pool)), m_dialect(dialect),
      m_request(std::move(request)), m_mayBegin(std::move(mayBegin)), m_ended(std::move(ended))
{
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::start()
{
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() -> asio::awaitable<void> {
            Task task {*self};
            ExchangeOutcome outcome = co_await task.run();
            const auto ended = std::exchange(self->m_ended, nullptr);
            self->m_mayBegin = nullptr;
            ended(std::move(outcome));
        },
        asio::detached);
}

void HttpExchange::cancel()
{
    m_cancelled = true;
    if (m_connection) {
        resetSocket(m_connection->socket);
    }
}

} // namespace Coltsfootwell
