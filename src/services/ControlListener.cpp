#include "services/ControlListener.h"

#include "services/Acceptor.h"
#include "services/ControlMessages.h"
#include "services/HttpRead.h"
#include "services/ReportFailure.h"
#include "services/ServiceNames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace Coltsfootwell {

namespace {

using namespace Internal;

constexpr std::uint64_t MaxBodyBytes = 1 << 20;
constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::chrono::seconds IdleTimeout {60};

class ControlListener final : public Service
{
public:
    ControlListener(Kernel &kernel, asio::io_context &context, ControlListenerSettings settings)
        : m_kernel(kernel), m_context(context), m_settings(std::move(settings)),
          m_acceptor(kernel, context, m_settings.name,
                     {[this](tcp::socket socket) { startServing(std::move(socket)); }})
    {
    }

    std::string_view name() const override { return m_settings.name; }

    std::error_code start() override { return m_acceptor.listen(m_settings.listen); }

    void stop(Task done) override
    {
        m_acceptor.close();
        done();
    }

private:
    void startServing(tcp::socket socket)
    {
        asio::co_spawn(m_context, serve(m_kernel, std::move(socket)),
                       reportFailure(m_kernel.executor()));
    }

    static asio::awaitable<void> serve(Kernel &kernel, tcp::socket accepted)
    {
        beast::tcp_stream stream(std::move(accepted));
        beast::flat_buffer buffer;
        boost::system::error_code ec;
        bool isOpen = true;
        while (isOpen && !ec) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaxBodyBytes);
            parser.header_limit(MaxHeaderBytes);
            stream.expires_after(IdleTimeout);
            ec = co_await readMessage(stream, buffer, parser);
            if (ec) {
                break;
            }
            const bool keepAlive = parser.get().keep_alive();
            const ControlAnswer answer = co_await dispatch(kernel, parser.release());
            isOpen = keepAlive;
            http::response<http::span_body<const char>> message;
            message.version(11);
            message.result(answer.status);
            message.set(http::field::content_type, answer.contentType);
            message.keep_alive(keepAlive);
            message.content_length(answer.body.size());
            message.body() = beast::span<const char>(answer.body.data(), answer.body.size());
            const std::string bytes = serializeMessage(message);
            co_await asio::async_write(stream, asio::buffer(bytes),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        stream.close();
    }

    static asio::awaitable<ControlAnswer> dispatch(Kernel &kernel,
                                                   http::request<http::string_body> message)
    {
        const std::string_view target = stdView(message.target());
        const std::size_t queryStart = std::min(target.find('?'), target.size());
        std::string_view path = target.substr(0, queryStart);
        path.remove_prefix(path.starts_with('/') ? 1 : 0);
        ControlRequest request;
        request.method = std::string(message.method_string());
        request.path = path;
        request.query = target.substr(std::min(queryStart + 1, target.size()));
        const std::string firstSegment(path.substr(0, path.find('/')));
        request.body = std::move(message.body());
        std::error_code lookupError;
        const auto handler = kernel.directory().find<ControlRequest>(
            ServiceName::control(firstSegment), lookupError);
        if (lookupError) {
            co_return ControlAnswer {404, "application/json", R"({"error":"unknown path"})"};
        }
        auto sharedRequest = std::make_shared<ControlRequest>(std::move(request));
        std::function<void(Reply<ControlAnswer>)> send
            = [handler, sharedRequest](Reply<ControlAnswer> reply) {
                  sharedRequest->reply = std::move(reply);
                  handler.send(std::move(*sharedRequest));
              };
        const auto answer
            = co_await Coltsfootwell::awaitReply<ControlAnswer>(kernel.executor(), std::move(send));
        co_return answer.value_or(
            ControlAnswer {503, "application/json", R"({"error":"the service has stopped"})"});
    }

    Kernel &m_kernel;
    asio::io_context &m_context;
    ControlListenerSettings m_settings;
    Acceptor m_acceptor;
};

} // namespace

std::unique_ptr<Service> makeControlListener(Kernel &kernel, asio::io_context &context,
                                             ControlListenerSettings settings)
{
    return std::make_unique<ControlListener>(kernel, context, std::move(settings));
}

} // namespace Coltsfootwell
