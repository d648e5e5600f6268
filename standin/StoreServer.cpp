// Stand-in for the platform's store: keyed topics over HTTP, with faults on command.
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
constexpr std::chrono::milliseconds MaxWait {30'000};
constexpr unsigned BadRequest = 400;
constexpr unsigned Gone = 410;
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned Unavailable = 503;

/// What the store does wrong at present.
struct StoreFaults
{
    /// "", "busy" (answers 503), "reset" or "silent".
    std::string down;
    std::chrono::milliseconds delay {0};
    /// Appends that are carried out and not answered.
    unsigned loseAnswers = 0;
};

std::string base64(std::string_view bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string bigNumber(std::uint64_t number)
{
    std::string bytes(sizeof number, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(bytes.data()), number);
    return bytes;
}

std::string framed(const std::string &content)
{
    std::string bytes(sizeof(std::uint32_t), '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(bytes.data()),
                                 static_cast<std::uint32_t>(content.size()));
    return bytes + content;
}

std::string numberJson(std::string_view key, std::uint64_t number)
{
    json::object body;
    body[json::string_view(key.data(), key.size())] = number;
    return json::serialize(body);
}

std::map<std::string, std::string> queryOf(std::string_view target)
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

class Store
{
public:
    explicit Store(asio::io_context &context) : m_context(context) { }

    asio::awaitable<void> accept(tcp::acceptor &acceptor)
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
        while (open) {
            Request request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                break;
            }
            open = co_await answer(socket, request);
        }
        socket.close(ec);
    }

    asio::awaitable<bool> answer(tcp::socket &socket, const Request &request)
    {
        const std::string_view target = stdView(request.target());
        const std::string_view path = target.substr(0, target.find('?'));
        if (path != "/fault") {
            if (m_faults.delay.count() > 0) {
                co_await wait(m_faults.delay);
            }
            if (m_faults.down == "reset") {
                resetSocket(socket);
                co_return false;
            }
            if (m_faults.down == "silent") {
                co_await wait(MaxWait);
                co_return false;
            }
            if (m_faults.down == "busy") {
                co_return co_await write(socket, request, Unavailable, "");
            }
        }
        const auto query = queryOf(target);
        const auto topic = query.find("topic");
        if (path == "/fault") {
            co_return co_await setFaults(socket, request);
        }
        if (topic == query.end()) {
            co_return co_await write(socket, request, BadRequest, "topic must be given");
        }
        if (path == "/log-append") {
            co_return co_await append(socket, request, topic->second, query);
        }
        if (path == "/log-newest") {
            co_return co_await write(socket, request, 200, newest(topic->second));
        }
        if (path == "/log-read") {
            co_return co_await read(socket, request, topic->second, query);
        }
        co_return co_await write(socket, request, 404, "");
    }

    asio::awaitable<bool> append(tcp::socket &socket, const Request &request,
                                 const std::string &topic,
                                 const std::map<std::string, std::string> &query)
    {
        const std::uint64_t end = m_model.topic(topic).end();
        if (const auto at = query.find("at");
            at != query.end() && parseNumber<std::uint64_t>(at->second) != end) {
            co_return co_await write(socket, request, PreconditionFailed, numberJson("end", end));
        }
        if (!m_model.append(topic, request.body())) {
            co_return co_await write(socket, request, BadRequest, "malformed records");
        }
        wakeReaders();
        if (m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            co_return false;
        }
        json::object body;
        body["offset"] = end;
        body["end"] = m_model.topic(topic).end();
        std::string text = json::serialize(body);
        co_return co_await write(socket, request, 200, std::move(text));
    }

    std::string newest(const std::string &name)
    {
        const Topic &topic = m_model.topic(name);
        json::array items;
        for (const auto &[key, offset] : topic.newest) {
            items.emplace_back(
                json::object {{"key", key},
                              {"value", base64(StoreModel::valueOf(topic.records[offset]))},
                              {"offset", offset}});
        }
        return json::serialize(
            json::object {{"items", items}, {"hasMore", false}, {"end", topic.end()}});
    }

    asio::awaitable<bool> read(tcp::socket &socket, const Request &request, const std::string &name,
                               const std::map<std::string, std::string> &query)
    {
        const auto number = [&query](const char *key) {
            const auto it = query.find(key);
            return it == query.end() ? std::uint64_t(0)
                                     : parseNumber<std::uint64_t>(it->second).value_or(0);
        };
        const std::uint64_t from = number("from");
        const std::chrono::milliseconds limit
            = std::min(MaxWait, std::chrono::milliseconds(number("waitMs")));
        const auto until = std::chrono::steady_clock::now() + limit;
        // The topic is looked up again after each wait.
        while (m_model.topic(name).end() <= from && m_model.topic(name).first <= from
               && std::chrono::steady_clock::now() < until) {
            asio::steady_timer timer(m_context, until);
            m_readers.insert(&timer);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            m_readers.erase(&timer);
        }
        const Topic &topic = m_model.topic(name);
        if (from < topic.first) {
            co_return co_await write(socket, request, Gone, numberJson("first", topic.first));
        }
        std::string body = bigNumber(topic.end()) + bigNumber(topic.first);
        const std::uint64_t maxBytes = number("maxKb") * 1024;
        for (std::uint64_t offset = from; offset < topic.end(); ++offset) {
            const std::string record = framed(topic.records[offset]);
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
            co_return co_await write(socket, request, BadRequest, "must be an object");
        }
        m_faults = {};
        if (const json::value *down = object->if_contains("down"); down && down->is_string()) {
            m_faults.down = std::string_view(down->get_string());
        }
        if (const json::value *delay = object->if_contains("delayMs")) {
            m_faults.delay = std::chrono::milliseconds(delay->to_number<std::int64_t>(ec));
        }
        if (const json::value *lose = object->if_contains("loseAnswers")) {
            m_faults.loseAnswers = lose->to_number<unsigned>(ec);
        }
        if (object->contains("forgetHistory")) {
            m_model.forgetHistory();
        }
        wakeReaders();
        co_return co_await write(socket, request, 200, "{}");
    }

    void wakeReaders()
    {
        for (asio::steady_timer *timer : m_readers) {
            timer->cancel();
        }
    }

    asio::awaitable<void> wait(Duration time)
    {
        asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    static asio::awaitable<bool> write(tcp::socket &socket, const Request &request, unsigned status,
                                       std::string body)
    {
        Response response(http::int_to_status(status), 11);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(body);
        response.prepare_payload();
        boost::system::error_code ec;
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec && request.keep_alive();
    }

    asio::io_context &m_context;
    StoreModel m_model;
    StoreFaults m_faults;
    std::set<asio::steady_timer *> m_readers;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in store for tests and demonstrations.");
    app.footer("POST /fault takes {\"down\": \"\"|\"busy\"|\"reset\"|\"silent\", \"delayMs\": N,\n"
               "\"loseAnswers\": N, \"forgetHistory\": true}; what is left out is switched off.\n"
               "Exit codes: 0 stopped, 2 cannot listen, 100-199 bad command line.");
    app.set_version_flag("--version", COLTSFOOTWELL_VERSION);
    std::string listen = "127.0.0.1:7000";
    app.add_option("--listen", listen, "IP number and port")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto endpoint = parseEndpointArgument(listen);
    if (!endpoint) {
        std::cerr << "coltsfoot-store: --listen \"" << listen << "\" " << EndpointRule << '\n';
        return ExitBadInput;
    }
    try {
        asio::io_context context(1);
        tcp::acceptor acceptor(
            context, tcp::endpoint(asio::ip::make_address(endpoint->address), endpoint->port));
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        Store store(context);
        asio::co_spawn(context, store.accept(acceptor), asio::detached);
        context.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "coltsfoot-store: cannot listen on " << listen << ": "
                  << error.code().message() << '\n';
        return ExitBadInput;
    }
    return 0;
}
