// Stand-in for the platform's store, for tests and demonstrations: compacted topics over HTTP, with
// fault injection.
#include "programs/EndpointArgument.h"
#include "services/HttpIo.h"
#include "standin/StoreModel.h"
#include "wire/ParseNumber.h"

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

#include <iostream>
#include <memory>
#include <set>

namespace {

using namespace Coltsfootwell;
using namespace Coltsfootwell::Internal;
using Coltsfootwell::Standin::StoreModel;
using Coltsfootwell::Standin::Topic;
namespace json = boost::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr int ExitBadInput = 2;
/// Maximum time that a read waits for a new record, and time until a request is abandoned during a
/// "silent" outage.
constexpr std::chrono::milliseconds MaxLongPollTimeout {30'000};
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServiceUnavailable = 503;
/// Names the epoch of the store in all its answers.
constexpr std::string_view EpochHeader = "Store-Era";
constexpr std::string_view FaultPath = "/fault";
constexpr std::string_view NewestPath = "/log-newest";

/// Injected faults.
struct StoreFaults
{
    /// "" for no outage, "busy" to answer all requests with 503, "reset" to reset the connections,
    /// or "silent" to answer none.
    std::string outage;
    /// Time by which each request is delayed.
    std::chrono::milliseconds delay {0};
    /// Number of upcoming appends that are executed but not answered; the connection is closed.
    unsigned answersToDrop = 0;
    /// Maximum number of calls of each kind per second; those beyond it are answered with 429. Zero
    /// for no limit.
    unsigned writesPerSecond = 0;
    unsigned readsPerSecond = 0;
    /// IP addresses of the store at which all calls are answered with 503, while those at its other
    /// addresses are served. Daemons on one host are told apart by the address that they use.
    std::set<std::string> refusedAddresses;
};

/// \return the faults that an object names; the others are switched off.
StoreFaults decodeFaults(const json::object &object)
{
    StoreFaults faults;
    boost::system::error_code ec;
    if (const json::value *outage = object.if_contains("down"); outage && outage->is_string()) {
        faults.outage = std::string_view(outage->get_string());
    }
    if (const json::value *delay = object.if_contains("delayMs")) {
        faults.delay = std::chrono::milliseconds(delay->to_number<std::int64_t>(ec));
    }
    if (const json::value *answersToDrop = object.if_contains("loseAnswers")) {
        faults.answersToDrop = answersToDrop->to_number<unsigned>(ec);
    }
    if (const json::value *writes = object.if_contains("writesPerSecond")) {
        faults.writesPerSecond = writes->to_number<unsigned>(ec);
    }
    if (const json::value *reads = object.if_contains("readsPerSecond")) {
        faults.readsPerSecond = reads->to_number<unsigned>(ec);
    }
    if (const json::value *addresses = object.if_contains("refuseAt");
        addresses && addresses->is_array()) {
        for (const json::value &address : addresses->get_array()) {
            if (address.is_string()) {
                faults.refusedAddresses.emplace(std::string_view(address.get_string()));
            }
        }
    }
    return faults;
}

/// How the store returns from its copy.
struct Return
{
    /// Time for which the store is away before.
    std::chrono::milliseconds away {0};
    /// True if calls are not answered while the store is away; false if connections are reset.
    bool isSilent = false;
};

/// \return the return that an object describes; std::nullopt if it is malformed.
std::optional<Return> decodeReturn(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *away = object ? object->if_contains("awayMs") : nullptr;
    const json::value *how = object ? object->if_contains("how") : nullptr;
    if (!away || !how || !how->is_string()) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const std::chrono::milliseconds duration(away->to_number<std::uint32_t>(ec));
    const bool isSilent = how->get_string() == "silent";
    if (ec || !(isSilent || how->get_string() == "reset")) {
        return std::nullopt;
    }
    return Return {duration, isSilent};
}

/// Calls that the store has received, including those that it has not answered.
struct CallCounts
{
    /// Reads of records from an offset on.
    std::uint64_t reads = 0;
    /// Reads of the newest records.
    std::uint64_t newestReads = 0;
    std::uint64_t writes = 0;
};

/// Counts calls of one kind against a limit per second.
class CallRate
{
public:
    /// \return true if the limit of this second is not reached.
    bool allows(unsigned limit)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - m_start >= std::chrono::seconds(1)) {
            m_start = now;
            m_calls = 0;
        }
        return limit == 0 || ++m_calls <= limit;
    }

private:
    std::chrono::steady_clock::time_point m_start;
    unsigned m_calls = 0;
};

std::string base64(std::string_view bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// \return the eight bytes of the number in big-endian order.
std::string bigEndian(std::uint64_t number)
{
    std::string bytes(sizeof number, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(bytes.data()), number);
    return bytes;
}

/// \return the content of a record, prefixed with its length as a 32-bit big-endian number.
std::string lengthPrefixed(const std::string &content)
{
    std::string bytes(sizeof(std::uint32_t), '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(bytes.data()),
                                 static_cast<std::uint32_t>(content.size()));
    return bytes + content;
}

/// \return a JSON object with one number.
std::string numberJson(std::string_view key, std::uint64_t number)
{
    json::object body;
    body[json::string_view(key.data(), key.size())] = number;
    return json::serialize(body);
}

/// \return keys and values of the query of a request target, without percent-decoding.
std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    std::string_view rest = target.substr(std::min(target.find('?') + 1, target.size()));
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view part = rest.substr(0, end);
        const std::size_t equals = std::min(part.find('='), part.size());
        query.emplace(part.substr(0, equals), part.substr(std::min(equals + 1, part.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return query;
}

class StoreServer
{
public:
    explicit StoreServer(asio::io_context &context) : m_context(context) { }

    asio::awaitable<void> acceptConnections(tcp::acceptor &acceptor)
    {
        while (true) {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            boost::system::error_code ec;
            socket.set_option(tcp::no_delay(true), ec);
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

private:
    asio::awaitable<void> serve(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        boost::system::error_code ec;
        bool open = true;
        m_sockets.insert(&socket);
        while (open) {
            Request request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                break;
            }
            open = co_await handleRequest(socket, request);
        }
        m_sockets.erase(&socket);
        socket.close(ec);
    }

    asio::awaitable<bool> handleRequest(tcp::socket &socket, const Request &request)
    {
        const std::string_view target = stdView(request.target());
        const std::string_view path = target.substr(0, target.find('?'));
        if (path != FaultPath) {
            countCall(request.method(), path);
            if (m_faults.delay.count() > 0) {
                co_await sleepFor(m_faults.delay);
            }
            if (std::chrono::steady_clock::now() < m_awayUntil) {
                co_return co_await drop(socket, m_isAwaySilent);
            }
            if (m_faults.outage == "reset" || m_faults.outage == "silent") {
                co_return co_await drop(socket, m_faults.outage == "silent");
            }
            if (m_faults.outage == "busy") {
                co_return co_await write(socket, request, StatusServiceUnavailable, "");
            }
            if (isRefused(socket)) {
                co_return co_await write(socket, request, StatusServiceUnavailable, "");
            }
            const bool isWrite = request.method() == http::verb::post;
            if (!(isWrite ? m_writeRate.allows(m_faults.writesPerSecond)
                          : m_readRate.allows(m_faults.readsPerSecond))) {
                co_return co_await write(socket, request, StatusTooManyRequests, "");
            }
        }
        const auto query = parseQuery(target);
        const auto topic = query.find("topic");
        if (path == FaultPath) {
            if (request.method() == http::verb::get) {
                co_return co_await write(socket, request, 200, statusJson());
            }
            co_return co_await setFaults(socket, request);
        }
        if (topic == query.end()) {
            co_return co_await write(socket, request, StatusBadRequest, "topic must be given");
        }
        if (path == "/log-append") {
            co_return co_await append(socket, request, topic->second, query);
        }
        if (path == "/log-trim") {
            const auto before = query.find("before");
            const auto offset
                = before == query.end() ? std::nullopt : parseNumber<std::uint64_t>(before->second);
            if (!offset) {
                co_return co_await write(socket, request, StatusBadRequest, "before must be given");
            }
            m_model.trim(topic->second, *offset);
            co_return co_await write(socket, request, 200, "{}");
        }
        if (path == NewestPath) {
            co_return co_await write(socket, request, 200, newestRecordsJson(topic->second));
        }
        if (path == "/log-read") {
            co_return co_await readRecords(socket, request, topic->second, query);
        }
        co_return co_await write(socket, request, 404, "");
    }

    void countCall(http::verb method, std::string_view path)
    {
        if (method == http::verb::post) {
            ++m_calls.writes;
        } else {
            ++(path == NewestPath ? m_calls.newestReads : m_calls.reads);
        }
    }

    /// \return the epoch and the calls so far.
    std::string statusJson() const
    {
        return json::serialize(json::object {{"epoch", m_model.epoch()},
                                             {"reads", m_calls.reads},
                                             {"newestReads", m_calls.newestReads},
                                             {"writes", m_calls.writes}});
    }

    /// Ends a call without an answer: resets its connection, or leaves it open for some time.
    asio::awaitable<bool> drop(tcp::socket &socket, bool silently)
    {
        if (silently) {
            co_await sleepFor(MaxLongPollTimeout);
        } else {
            resetSocket(socket);
        }
        co_return false;
    }

    bool isRefused(const tcp::socket &socket) const
    {
        boost::system::error_code ec;
        return m_faults.refusedAddresses.contains(socket.local_endpoint(ec).address().to_string());
    }

    asio::awaitable<bool> append(tcp::socket &socket, const Request &request,
                                 const std::string &topic,
                                 const std::map<std::string, std::string> &query)
    {
        const std::uint64_t end = m_model.topic(topic).end();
        if (const auto expectedEnd = query.find("at");
            expectedEnd != query.end() && parseNumber<std::uint64_t>(expectedEnd->second) != end) {
            co_return co_await write(socket, request, StatusPreconditionFailed,
                                     numberJson("end", end));
        }
        if (!m_model.append(topic, request.body())) {
            co_return co_await write(socket, request, StatusBadRequest, "malformed records");
        }
        wakeLongPolls();
        if (m_faults.answersToDrop > 0) {
            --m_faults.answersToDrop;
            co_return false;
        }
        json::object body;
        body["offset"] = end;
        body["end"] = m_model.topic(topic).end();
        std::string text = json::serialize(body);
        co_return co_await write(socket, request, 200, std::move(text));
    }

    /// \return the newest record of each key as one page.
    std::string newestRecordsJson(const std::string &topicName)
    {
        const Topic &topic = m_model.topic(topicName);
        json::array items;
        for (const auto &[key, offset] : topic.newestOffsets) {
            items.emplace_back(
                json::object {{"key", key},
                              {"value", base64(StoreModel::valueOf(topic.records[offset]))},
                              {"offset", offset}});
        }
        return json::serialize(
            json::object {{"items", items}, {"hasMore", false}, {"end", topic.end()}});
    }

    asio::awaitable<bool> readRecords(tcp::socket &socket, const Request &request,
                                      const std::string &topicName,
                                      const std::map<std::string, std::string> &query)
    {
        const auto number = [&query](const char *key) {
            const auto it = query.find(key);
            return it == query.end() ? std::uint64_t(0)
                                     : parseNumber<std::uint64_t>(it->second).value_or(0);
        };
        const std::uint64_t from = number("from");
        const std::chrono::milliseconds longPollTimeout
            = std::min(MaxLongPollTimeout, std::chrono::milliseconds(number("waitMs")));
        const auto expiry = std::chrono::steady_clock::now() + longPollTimeout;
        const std::uint64_t epoch = m_model.epoch();
        // The topic can change during a wait, so it is looked up again afterwards.
        while (m_model.topic(topicName).end() == from && m_model.topic(topicName).canReadFrom(from)
               && std::chrono::steady_clock::now() < expiry) {
            asio::steady_timer timer(m_context, expiry);
            m_longPollTimers.insert(&timer);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            m_longPollTimers.erase(&timer);
            if (m_model.epoch() != epoch) {
                co_return co_await drop(socket, m_isAwaySilent);
            }
        }
        const Topic &topic = m_model.topic(topicName);
        if (!topic.canReadFrom(from)) {
            co_return co_await write(socket, request, StatusGone,
                                     numberJson("first", topic.firstOffset));
        }
        std::string body = bigEndian(topic.end()) + bigEndian(topic.firstOffset);
        const std::uint64_t maxBytes = number("maxKb") * 1024;
        for (std::uint64_t offset = from; offset < topic.end(); ++offset) {
            const std::string record = lengthPrefixed(topic.records[offset]);
            if (offset > from && maxBytes > 0 && body.size() + record.size() > maxBytes) {
                break;
            }
            body += record;
        }
        co_return co_await write(socket, request, 200, std::move(body));
    }

    asio::awaitable<bool> setFaults(tcp::socket &socket, const Request &request)
    {
        boost::system::error_code ec;
        const json::value document = json::parse(request.body(), ec);
        const json::object *object = ec ? nullptr : document.if_object();
        if (!object) {
            co_return co_await write(socket, request, StatusBadRequest, "must be an object");
        }
        if (const json::value *restoration = object->if_contains("restoreCopy")) {
            const auto wanted = decodeReturn(*restoration);
            if (!wanted || !m_model.restoreCopy()) {
                co_return co_await write(socket, request, StatusBadRequest,
                                         "restoreCopy needs awayMs, how and a copy");
            }
            leave(*wanted, socket);
        }
        m_faults = decodeFaults(*object);
        if (object->contains("takeCopy")) {
            m_model.takeCopy();
        }
        if (object->contains("forgetHistory")) {
            m_model.discardHistory();
        }
        wakeLongPolls();
        co_return co_await write(socket, request, 200, "{}");
    }

    /// Is away for some time. Calls that wait for records end without an answer.
    /// \param caller socket that is not reset.
    void leave(const Return &wanted, const tcp::socket &caller)
    {
        m_awayUntil = std::chrono::steady_clock::now() + wanted.away;
        m_isAwaySilent = wanted.isSilent;
        for (tcp::socket *socket : m_sockets) {
            if (!wanted.isSilent && socket != &caller) {
                resetSocket(*socket);
            }
        }
    }

    void wakeLongPolls()
    {
        for (asio::steady_timer *timer : m_longPollTimers) {
            timer->cancel();
        }
    }

    asio::awaitable<void> sleepFor(Duration duration)
    {
        asio::steady_timer timer(m_context, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<bool> write(tcp::socket &socket, const Request &request, unsigned status,
                                std::string body)
    {
        Response response(http::int_to_status(status), 11);
        response.keep_alive(request.keep_alive());
        if (!request.target().starts_with(FaultPath)) {
            response.set(EpochHeader, std::to_string(m_model.epoch()));
        }
        response.body() = std::move(body);
        response.prepare_payload();
        boost::system::error_code ec;
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec && request.keep_alive();
    }

    asio::io_context &m_context;
    StoreModel m_model;
    StoreFaults m_faults;
    /// End of the time for which the store is away before it returns from its copy.
    std::chrono::steady_clock::time_point m_awayUntil;
    bool m_isAwaySilent = false;
    CallCounts m_calls;
    CallRate m_writeRate;
    CallRate m_readRate;
    /// Timers of the pending long polls.
    std::set<asio::steady_timer *> m_longPollTimers;
    std::set<tcp::socket *> m_sockets;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in store for tests and demonstrations.");
    app.footer("POST /fault takes {\"down\": \"\"|\"busy\"|\"reset\"|\"silent\", \"delayMs\": N,\n"
               "\"loseAnswers\": N, \"writesPerSecond\": N, \"readsPerSecond\": N,\n"
               "\"refuseAt\": [IP, ...], \"forgetHistory\": true}; omitted faults are\n"
               "switched off.\n"
               "{\"takeCopy\": true} takes a copy of all topics, which stays until the next one.\n"
               "{\"restoreCopy\": {\"awayMs\": N, \"how\": \"reset\"|\"silent\"}} replaces all\n"
               "topics with it and starts a new epoch (header Store-Era), after which the store\n"
               "is away for N ms: it resets connections, or does not answer. Other faults do\n"
               "not end this time. Reads beyond the end are answered with 410.\n"
               "GET /fault returns the epoch and the number of calls so far by kind.\n"
               "Exit codes: 0 stopped, 2 cannot listen or invalid address, 100-199 invalid\n"
               "command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    std::vector<std::string> listen {"127.0.0.1:7000"};
    app.add_option("--listen", listen, "IP addresses and ports")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::string current;
    try {
        asio::io_context context(1);
        std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
        for (const std::string &text : listen) {
            current = text;
            const auto endpoint = parseEndpointArgument(text);
            if (!endpoint) {
                std::cerr << "coltsfoot-store: --listen \"" << text << "\" " << EndpointRule
                          << '\n';
                return ExitBadInput;
            }
            acceptors.push_back(std::make_unique<tcp::acceptor>(
                context, tcp::endpoint(asio::ip::make_address(endpoint->address), endpoint->port)));
        }
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        StoreServer server(context);
        for (const auto &acceptor : acceptors) {
            asio::co_spawn(context, server.acceptConnections(*acceptor), asio::detached);
        }
        context.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "coltsfoot-store: cannot listen on " << current << ": "
                  << error.code().message() << '\n';
        return ExitBadInput;
    }
    return 0;
}
