#include "programs/LoadRun.h"

#include "programs/LoadTargets.h"
#include "services/HttpRead.h"
#include "wire/AnswerStatus.h"
#include "wire/EndpointText.h"
#include "wire/HeaderNames.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cmath>
#include <map>
#include <random>

namespace Coltsfootwell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

constexpr std::uint64_t MaxAnswerBytes = 128ULL << 20;
/// Time after the deadline within which a daemon still reports that the call has exceeded it.
constexpr std::chrono::milliseconds AnswerTimeMargin {500};
constexpr std::chrono::seconds DaemonListInterval {1};
/// Maximum idle time of a connection that is reused; daemons close idle connections after 60 s.
constexpr std::chrono::seconds MaxIdleTime {20};
/// Capacity reserved for the read buffer; without a reservation Beast reads at most 512 bytes at
/// once.
constexpr std::size_t ReadBufferBytes = 64 * 1024;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::int64_t nanoseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

std::string headerValueOf(const http::fields &fields, std::string_view key)
{
    return std::string(Internal::stdView(fields[Internal::beastView(key)]));
}

std::string hexDigest(std::string_view bytes)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text.data();
}

struct Connection
{
    explicit Connection(const asio::any_io_executor &executor) : stream(executor)
    {
        buffer.reserve(ReadBufferBytes);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    TimePoint lastUse {};
};

/// Ends the run with the exception of a coroutine.
void rethrow(const std::exception_ptr &error)
{
    if (error) {
        std::rethrow_exception(error);
    }
}

/// State of one request and its answer.
struct Exchange
{
    bool sent = false;
    bool headerRead = false;
    bool complete = false;
    Parser parser;
};

class LoadRun
{
public:
    explicit LoadRun(const LoadPlan &plan)
        : m_plan(plan), m_context(1), m_targets(plan.targets), m_random(plan.seed),
          m_targetRandom(plan.seed + 1), m_runId(std::random_device {}())
    {
    }

    LoadSummary run()
    {
        asio::co_spawn(m_context, sendCalls(), rethrow);
        if (!m_plan.fixedTargets) {
            asio::co_spawn(m_context, refreshTargets(), rethrow);
        }
        m_context.run();
        return std::move(m_summary);
    }

private:
    /// Draws all intervals and kinds from a generator that nothing else uses, so that a seed
    /// reproduces the same load regardless of the answers.
    asio::awaitable<void> sendCalls()
    {
        asio::steady_timer timer(m_context);
        const TimePoint start = now();
        TimePoint intended = start;
        while (true) {
            const double interval = -std::log(1 - m_random.uniform()) / m_plan.callsPerSecond;
            intended
                += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
            if (intended >= start + m_plan.duration) {
                break;
            }
            const LoadCallKind &kind = chooseCallKind(m_plan.mix, m_random.uniform());
            timer.expires_at(intended);
            co_await timer.async_wait(asio::use_awaitable);
            startCall(kind, intended);
        }
        m_sending = false;
        stopWhenDone();
    }

    void startCall(const LoadCallKind &kind, TimePoint intended)
    {
        auto result = std::make_shared<LoadResult>();
        result->call = std::to_string(m_runId) + '-' + std::to_string(++m_summary.planned);
        result->order = result->call;
        result->kind = kind.name;
        result->intendedStart = nanoseconds(intended);
        if (m_inFlight >= m_plan.maxInFlight) {
            result->outcome = "not-sent";
            finishCall(*result);
            return;
        }
        ++m_inFlight;
        asio::co_spawn(m_context, performCall(kind, result, intended),
                       [this, result](std::exception_ptr) {
                           --m_inFlight;
                           finishCall(*result);
                       });
    }

    void finishCall(LoadResult &result)
    {
        result.end = nanoseconds(now());
        m_summary.results.push_back(result);
        if (m_plan.onResult) {
            m_plan.onResult(result);
        }
        stopWhenDone();
    }

    void stopWhenDone()
    {
        if (!m_sending && m_inFlight == 0) {
            m_context.stop();
        }
    }

    asio::awaitable<void> performCall(const LoadCallKind &kind, std::shared_ptr<LoadResult> result,
                                      TimePoint intended)
    {
        Endpoint target;
        for (unsigned i = 0; i <= kind.maxRetries; ++i) {
            target = m_targets.choose(m_targetRandom, now(), i == 0 ? nullptr : &target);
            Request request = requestFor(kind, *result);
            const TimePoint timeout = std::max(intended, now()) + kind.deadline + AnswerTimeMargin;
            Exchange exchange;
            co_await exchangeMessages(target, request, timeout, exchange);
            ++result->tries;
            recordExchange(exchange, target, *result);
            const bool broken = result->outcome == "broken" || result->outcome == "not-sent";
            if (!broken && result->outcome != "unknown") {
                break;
            }
            // A retry might run the call twice, unless nothing was sent.
            if (exchange.sent && kind.method != "GET") {
                break;
            }
        }
    }

    static Request requestFor(const LoadCallKind &kind, const LoadResult &result)
    {
        Request request;
        request.version(11);
        request.method_string(kind.method);
        const char separator = kind.path.find('?') == std::string::npos ? '?' : '&';
        request.target(kind.path + separator + "order=" + result.order);
        request.set(Internal::beastView(Header::Deadline), std::to_string(kind.deadline.count()));
        if (!kind.homeRegions.empty()) {
            request.set(Internal::beastView(Header::HomeRegions), kind.homeRegions);
        }
        if (!kind.customer.empty()) {
            request.set(Internal::beastView(Header::Customer), kind.customer);
        }
        request.set(Internal::beastView(Header::Request), result.order);
        request.body() = std::string(kind.bodyBytes, 'b');
        request.prepare_payload();
        return request;
    }

    /// Overwrites the result of an earlier try, so that the last one determines the outcome.
    static void recordExchange(Exchange &exchange, const Endpoint &target, LoadResult &result)
    {
        result.target = formatEndpoint(target);
        result.complete = exchange.complete;
        result.status = 0;
        result.reason.clear();
        result.servedBy.clear();
        result.outcome = exchange.sent ? "broken" : "not-sent";
        if (!exchange.headerRead) {
            return;
        }
        const auto &answer = exchange.parser.get();
        result.status = answer.result_int();
        result.reason = headerValueOf(answer, Header::Reason);
        result.servedBy = headerValueOf(answer, Header::ServedBy);
        result.answerBytes = answer.body().size();
        result.answerHash = hexDigest(answer.body());
        if (!exchange.complete) {
            return;
        }
        result.outcome = headerValueOf(answer, Header::Outcome);
        if (result.outcome.empty()) {
            result.outcome = "none";
        }
        result.crossed = isCrossed(answer, result.order);
    }

    /// The stand-in backend server echoes the order in the body, or in a header if the call
    /// requests a body of a certain size.
    static bool isCrossed(const http::response<http::string_body> &answer, const std::string &order)
    {
        if (answer.result_int() != 200) {
            return false;
        }
        const std::string header = headerValueOf(answer, "Standin-Echo");
        boost::system::error_code ec;
        const boost::json::value echo
            = boost::json::parse(header.empty() ? answer.body() : header, ec);
        const boost::json::value *found
            = !ec && echo.is_object() ? echo.get_object().if_contains("order") : nullptr;
        return found && found->is_string() && found->get_string() != order;
    }

    asio::awaitable<void> exchangeMessages(const Endpoint &target, const Request &request,
                                           TimePoint timeout, Exchange &exchange)
    {
        boost::system::error_code ec;
        auto connection = acquireConnection(target);
        connection->stream.expires_at(timeout);
        if (!connection->stream.socket().is_open()) {
            const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.address),
                                                   target.port);
            co_await connection->stream.async_connect(
                endpoint, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                m_targets.markUnreachable(target, now());
                co_return;
            }
            connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        }
        exchange.sent = true;
        exchange.parser.body_limit(MaxAnswerBytes);
        co_await http::async_write(connection->stream, request,
                                   asio::redirect_error(asio::use_awaitable, ec));
        // A refusal may arrive before the whole body is sent, so the answer is read even when the
        // write fails.
        ec = co_await Internal::readHeader(connection->stream, connection->buffer, exchange.parser);
        exchange.headerRead = !ec;
        if (!ec) {
            ec = co_await Internal::readMessage(connection->stream, connection->buffer,
                                                exchange.parser);
            if (!ec && Internal::isCutAnswer(exchange.parser, connection->stream.socket())) {
                ec = http::error::partial_message;
            }
        } else {
            m_targets.markUnreachable(target, now());
        }
        exchange.complete = !ec && exchange.parser.is_done()
            && statusClass(exchange.parser.get().result_int()) == StatusClass::Final;
        if (exchange.complete && exchange.parser.get().keep_alive()) {
            connection->lastUse = now();
            m_idle[target].push_back(std::move(connection));
        }
    }

    std::unique_ptr<Connection> acquireConnection(const Endpoint &target)
    {
        auto &idle = m_idle[target];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (Internal::isOpenAndIdle(connection->stream.socket())
                && now() - connection->lastUse < MaxIdleTime) {
                return connection;
            }
        }
        return std::make_unique<Connection>(m_context.get_executor());
    }

    asio::awaitable<void> refreshTargets()
    {
        asio::steady_timer timer(m_context);
        const Request request(http::verb::get, "/coltsfootwell/daemons", 11);
        while (true) {
            Exchange exchange;
            const Endpoint target = m_targets.choose(m_targetRandom, now());
            co_await exchangeMessages(target, request, now() + DaemonListInterval, exchange);
            if (exchange.complete && exchange.parser.get().result_int() == 200) {
                m_targets.setDiscovered(decodeDaemonList(exchange.parser.get().body()));
            }
            timer.expires_after(DaemonListInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    const LoadPlan &m_plan;
    asio::io_context m_context;
    LoadTargets m_targets;
    SeededRandom m_random;
    SeededRandom m_targetRandom;
    /// Makes the order ids of different runs of the tool distinct.
    std::uint32_t m_runId;
    std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
    LoadSummary m_summary;
    unsigned m_inFlight = 0;
    bool m_sending = true;
};

} // namespace

LoadSummary runLoad(const LoadPlan &plan)
{
    return LoadRun(plan).run();
}

} // namespace Coltsfootwell
