#include "services/SyncExchange.h"

#include "wire/EndpointText.h"

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout {500};
constexpr std::chrono::seconds ProgressTimeout {2};
constexpr unsigned StatusOk = 200;

} // namespace

/// Shared with the callbacks of the connection, which may outlive the exchange.
struct SyncExchange::State : std::enable_shared_from_this<State>
{
    std::function<void(std::optional<std::string>)> done;
    std::string answer;
    bool hasAnswer = false;

    void finish(bool whole)
    {
        if (auto callback = std::exchange(done, nullptr)) {
            callback(whole ? std::optional(std::move(answer)) : std::nullopt);
        }
    }

    void read(const BodyPipePtr &pipe)
    {
        pipe->read([self = shared_from_this(), pipe](BodyChunk chunk) {
            if (chunk.kind != BodyChunk::Kind::Bytes) {
                self->finish(chunk.kind == BodyChunk::Kind::End);
                return;
            }
            if (self->answer.size() + chunk.bytes.size() > MaxAnswerBytes || !self->done) {
                pipe->abandon();
                self->finish(false);
                return;
            }
            self->answer += chunk.bytes;
            self->read(pipe);
        });
    }
};

SyncExchange::SyncExchange(boost::asio::io_context &context, Executor &executor)
    : m_context(context), m_executor(executor)
{
}

SyncExchange::~SyncExchange()
{
    cancel();
}

void SyncExchange::start(const Endpoint &with, std::string body,
                         std::function<void(std::optional<std::string>)> done)
{
    auto head = std::make_shared<CallHead>();
    head->method = "POST";
    head->target = "/coltsfootwell/sync";
    ExchangeRequest request;
    request.head = head;
    request.headers = {{"Host", endpointText(with)}, {"Content-Type", "application/x-protobuf"}};
    request.body.bytes = std::make_shared<const std::string>(std::move(body));
    request.connectTimeout = ConnectTimeout;
    request.progressTimeout = ProgressTimeout;

    m_state = std::make_shared<State>();
    m_state->done = [this, done = std::move(done)](std::optional<std::string> answer) {
        m_exchange.reset();
        done(std::move(answer));
    };
    ExchangeHandlers handlers;
    handlers.mayBegin = [] { return true; };
    handlers.answered = [state = m_state](const AnswerHead &answer, const BodyPipePtr &pipe) {
        if (answer.status == StatusOk) {
            state->hasAnswer = true;
            state->read(pipe);
        } else {
            pipe->abandon();
        }
    };
    handlers.lost = [](AttemptLost) {};
    handlers.ended = [state = m_state](bool) {
        if (!state->hasAnswer) {
            state->finish(false);
        }
    };
    // The connection is closed with its pool: the next exchange is with another daemon.
    m_exchange = std::make_shared<HttpExchange>(m_context, m_executor,
                                                std::make_shared<HttpPool>(m_context, with),
                                                std::move(request), std::move(handlers));
    m_exchange->start();
}

void SyncExchange::cancel()
{
    if (m_state) {
        m_state->done = nullptr;
    }
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->cancel();
    }
}

} // namespace Coltsfootwell
