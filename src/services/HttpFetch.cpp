#include "services/HttpFetch.h"

#include "wire/EndpointText.h"

#include "services/HttpExchange.h"

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout {500};
constexpr std::chrono::milliseconds ProgressTimeout {1000};
constexpr std::size_t MaxAnswerBytes = 8 << 20;
constexpr unsigned StatusOk = 200;

struct Fetch
{
    std::function<void(std::optional<std::string>)> done;
    std::string text;

    void finish(std::optional<std::string> answer)
    {
        if (auto handler = std::exchange(done, nullptr)) {
            handler(std::move(answer));
        }
    }
};

ExchangeRequest requestFor(const Endpoint &endpoint, std::string_view path)
{
    auto head = std::make_shared<CallHead>();
    head->method = "GET";
    head->target = "/coltsfootwell/" + std::string(path);
    ExchangeRequest request;
    request.headers = {{"Host", endpointText(endpoint)}};
    request.head = std::move(head);
    request.connectTimeout = ConnectTimeout;
    request.progressTimeout = ProgressTimeout;
    return request;
}

void collect(const BodyPipePtr &pipe, const std::shared_ptr<Fetch> &fetch)
{
    pipe->read([pipe, fetch](BodyChunk chunk) {
        const bool tooLong = fetch->text.size() + chunk.bytes.size() > MaxAnswerBytes;
        if (tooLong || chunk.kind == BodyChunk::Kind::Cut) {
            pipe->abandon();
            fetch->finish(std::nullopt);
        } else if (chunk.kind == BodyChunk::Kind::End) {
            fetch->finish(std::move(fetch->text));
        } else {
            fetch->text += chunk.bytes;
            collect(pipe, fetch);
        }
    });
}

} // namespace

std::shared_ptr<HttpExchange> fetchControl(boost::asio::io_context &context, Executor &executor,
                                           const Endpoint &endpoint, std::string_view path,
                                           std::function<void(std::optional<std::string>)> done)
{
    auto fetch = std::make_shared<Fetch>(Fetch {std::move(done), {}});
    ExchangeHandlers handlers;
    handlers.mayBegin = [] { return true; };
    handlers.answered = [fetch](const AnswerHead &head, const BodyPipePtr &body) {
        if (head.status == StatusOk) {
            collect(body, fetch);
        } else {
            body->abandon();
            fetch->finish(std::nullopt);
        }
    };
    handlers.lost = [fetch](AttemptLost) { fetch->finish(std::nullopt); };
    handlers.ended = [](bool) {};
    auto exchange = std::make_shared<HttpExchange>(context, executor,
                                                   std::make_shared<HttpPool>(context, endpoint),
                                                   requestFor(endpoint, path), std::move(handlers));
    exchange->start();
    return exchange;
}

} // namespace Coltsfootwell
