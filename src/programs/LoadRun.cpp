#include "programs/LoadRun.h"

#include "programs/LoadTargets.h"
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
/// Time beyond the deadline in which a daemon still answers that the call is late.
constexpr std::chrono::milliseconds AnswerMargin {500};
constexpr std::chrono::seconds ListInterval {1};
/// A daemon closes idle connections after 60 s; older ones here are not used again.
constexpr std::chrono::seconds MaxIdle {20};
/// Beast reads no more at once than the buffer can hold, which is 512 bytes without a reservation.
constexpr std::size_t ReadBufferBytes = 64 * 1024;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::int64_t nanoseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

beast::string_view name(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string valueOf(const http::fields &fields, std::string_view key)
{
    const auto value = fields[name(key)];
    return {value.data(), value.size()};
}

std::string hashText(std::string_view bytes)
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

/// One request and what came back.
struct Exchange
{
    bool sent = false;
    bool headRead = false;
    bool whole = false;
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
        asio::co_spawn(m_context, sendAll(), asio::detached);
        if (!m_plan.fixedTargets) {
            asio::co_spawn(m_context, learnTargets(), asio::detached);
        }
        m_context.run();
        return std::move(m_summary);
    }

private:
    /// Draws all gaps and kinds from one generator that nothing else uses, so that a seed repeats
    /// the same load whatever the answers are.
    asio::awaitable<void> sendAll()
    {
        asio::steady_timer timer(m_context);
        const TimePoint start = now();
        TimePoint at = start;
        while (true) {
            const double gap = -std::log(1 - m_random.uniform()) / m_plan.callsPerSecond;
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
            if (at >= start + m_plan.duration) {
                break;
            }
            const LoadCallKind &call = chooseCallKind(m_plan.mix, m_random.uniform());
            timer.expires_at(at);
            co_await timer.async_wait(asio::use_awaitable);
            begin(call, at);
        }
        m_sending = false;
        stopWhenDone();
    }

    void begin(const LoadCallKind &call, TimePoint intended)
    {
        auto result = std::make_shared<LoadResult>();
        result->call = std::to_string(m_runId) + '-' + std::to_string(++m_summary.planned);
        result->order = result->call;
        result->kind = call.name;
        result->begin = nanoseconds(intended);
        if (m_inProgress >= m_plan.maxInProgress) {
            result->outcome = "not-sent";
            finish(*result);
            return;
        }
        ++m_inProgress;
        asio::co_spawn(m_context, perform(call, result, intended),
                       [this, result](std::exception_ptr) {
                           --m_inProgress;
                           finish(*result);
                       });
    }

    void finish(LoadResult &result)
    {
        result.end = nanoseconds(now());
        m_summary.results.push_back(result);
        if (m_plan.ended) {
            m_plan.ended(result);
        }
        stopWhenDone();
    }

    void stopWhenDone()
    {
        if (!m_sending && m_inProgress == 0) {
            m_context.stop();
        }
    }

    asio::awaitable<void> perform(const LoadCallKind &call, std::shared_ptr<LoadResult> result,
                                  TimePoint intended)
    {
        Endpoint target;
        for (unsigned i = 0; i <= call.repeats; ++i) {
            target = m_targets.choose(m_targetRandom, now(), i == 0 ? nullptr : &target);
            Request request = requestFor(call, *result);
            const TimePoint limit = std::max(intended, now()) + call.deadline + AnswerMargin;
            Exchange exchange;
            co_await send(target, request, limit, exchange);
            ++result->tries;
            record(exchange, target, *result);
            const bool broken = result->outcome == "broken" || result->outcome == "not-sent";
            if (!broken && result->outcome != "unknown") {
                break;
            }
            // A repeat might run the call twice, unless nothing was sent.
            if (exchange.sent && call.method != "GET") {
                break;
            }
        }
    }

    static Request requestFor(const LoadCallKind &call, const LoadResult &result)
    {
        Request request;
        request.version(11);
        request.method_string(call.method);
        const char separator = call.path.find('?') == std::string::npos ? '?' : '&';
        request.target(call.path + separator + "order=" + result.order);
        request.set(name(Header::Deadline), std::to_string(call.deadline.count()));
        if (!call.homeRegions.empty()) {
            request.set(name(Header::HomeRegions), call.homeRegions);
        }
        if (!call.customer.empty()) {
            request.set(name(Header::Customer), call.customer);
        }
        request.set(name(Header::Request), result.order);
        request.body() = std::string(call.bodyBytes, 'b');
        request.prepare_payload();
        return request;
    }

    /// The last try decides the outcome.
    static void record(Exchange &exchange, const Endpoint &target, LoadResult &result)
    {
        result.target = formatEndpoint(target);
        result.whole = exchange.whole;
        result.status = 0;
        result.reason.clear();
        result.servedBy.clear();
        result.outcome = exchange.sent ? "broken" : "not-sent";
        if (!exchange.headRead) {
            return;
        }
        const auto &answer = exchange.parser.get();
        result.status = answer.result_int();
        result.reason = valueOf(answer, Header::Reason);
        result.servedBy = valueOf(answer, Header::ServedBy);
        result.answerBytes = answer.body().size();
        result.answerHash = hashText(answer.body());
        if (!exchange.whole) {
            return;
        }
        result.outcome = valueOf(answer, Header::Outcome);
        if (result.outcome.empty()) {
            result.outcome = "none";
        }
        result.crossed = isCrossed(answer, result.order);
    }

    /// The stand-in backend server echoes the order in the body, or in a header when a size was
    /// asked for.
    static bool isCrossed(const http::response<http::string_body> &answer, const std::string &order)
    {
        if (answer.result_int() != 200) {
            return false;
        }
        const std::string header = valueOf(answer, "Standin-Echo");
        boost::system::error_code ec;
        const boost::json::value echo
            = boost::json::parse(header.empty() ? answer.body() : header, ec);
        const boost::json::value *found
            = !ec && echo.is_object() ? echo.get_object().if_contains("order") : nullptr;
        return found && found->is_string() && found->get_string() != order;
    }

    asio::awaitable<void> send(const Endpoint &target, const Request &request, TimePoint limit,
                               Exchange &exchange)
    {
        boost::system::error_code ec;
        auto connection = take(target);
        connection->stream.expires_at(limit);
        if (!connection->stream.socket().is_open()) {
            const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.address),
                                                   target.port);
            co_await connection->stream.async_connect(
                endpoint, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                m_targets.lost(target, now());
                co_return;
            }
            connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        }
        exchange.sent = true;
        exchange.parser.body_limit(MaxAnswerBytes);
        co_await http::async_write(connection->stream, request,
                                   asio::redirect_error(asio::use_awaitable, ec));
        // A refusal may come before the whole body was sent, so the answer is read in any case.
        co_await http::async_read_header(connection->stream, connection->buffer, exchange.parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        exchange.headRead = !ec;
        if (!ec) {
            co_await http::async_read(connection->stream, connection->buffer, exchange.parser,
                                      asio::redirect_error(asio::use_awaitable, ec));
        } else {
            m_targets.lost(target, now());
        }
        exchange.whole = !ec && exchange.parser.is_done();
        if (exchange.whole && exchange.parser.get().keep_alive()) {
            connection->lastUse = now();
            m_idle[target].push_back(std::move(connection));
        }
    }

    std::unique_ptr<Connection> take(const Endpoint &target)
    {
        auto &idle = m_idle[target];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            // Readable without a request means that the daemon has closed it.
            boost::system::error_code ec;
            char byte = 0;
            connection->stream.socket().non_blocking(true, ec);
            connection->stream.socket().receive(asio::buffer(&byte, 1),
                                                asio::socket_base::message_peek, ec);
            if (ec == asio::error::would_block && now() - connection->lastUse < MaxIdle) {
                return connection;
            }
        }
        return std::make_unique<Connection>(m_context.get_executor());
    }

    asio::awaitable<void> learnTargets()
    {
        asio::steady_timer timer(m_context);
        const Request request(http::verb::get, "/coltsfootwell/daemons", 11);
        while (true) {
            Exchange exchange;
            const Endpoint target = m_targets.choose(m_targetRandom, now());
            co_await send(target, request, now() + ListInterval, exchange);
            if (exchange.whole && exchange.parser.get().result_int() == 200) {
                m_targets.learned(decodeDaemonList(exchange.parser.get().body()));
            }
            timer.expires_after(ListInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    const LoadPlan &m_plan;
    asio::io_context m_context;
    LoadTargets m_targets;
    SeededRandom m_random;
    SeededRandom m_targetRandom;
    /// Keeps order ids of two runs of the tool apart.
    std::uint32_t m_runId;
    std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
    LoadSummary m_summary;
    unsigned m_inProgress = 0;
    bool m_sending = true;
};

} // namespace

LoadSummary runLoad(const LoadPlan &plan)
{
    return LoadRun(plan).run();
}

} // namespace Coltsfootwell
