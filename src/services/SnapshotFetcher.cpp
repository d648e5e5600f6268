#include "services/SnapshotFetcher.h"

#include "services/HttpExchange.h"
#include "wire/ConfigurationRecordJson.h"

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout {500};
constexpr std::chrono::milliseconds ProgressTimeout {1000};
constexpr std::size_t MaxSnapshotBytes = 8 << 20;
constexpr unsigned StatusOk = 200;

ExchangeRequest snapshotRequest(const Endpoint &endpoint)
{
    auto head = std::make_shared<CallHead>();
    head->method = "GET";
    head->target = "/coltsfootwell/snapshot";
    ExchangeRequest request;
    request.headers = {{"Host", endpoint.address + ':' + std::to_string(endpoint.port)}};
    request.head = std::move(head);
    request.connectTimeout = ConnectTimeout;
    request.progressTimeout = ProgressTimeout;
    return request;
}

} // namespace

SnapshotFetcher::SnapshotFetcher(boost::asio::io_context &context, Executor &executor,
                                 std::function<void(ConfigurationSnapshot)> learned)
    : m_context(context), m_executor(executor), m_learned(std::move(learned))
{
}

SnapshotFetcher::~SnapshotFetcher()
{
    stop();
}

void SnapshotFetcher::fetch(const Endpoint &endpoint)
{
    if (m_running.size() >= MaxFetches || m_running.contains(endpoint)) {
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    ExchangeHandlers handlers;
    handlers.mayBegin = [] { return true; };
    handlers.answered = [this, alive](const AnswerHead &head, BodyPipePtr body) {
        if (alive.expired() || head.status != StatusOk) {
            body->abandon();
        } else {
            collect(std::move(body), std::make_shared<std::string>());
        }
    };
    handlers.lost = [](AttemptLost) {};
    handlers.ended = [this, alive, endpoint](bool) {
        if (!alive.expired()) {
            m_running.erase(endpoint);
        }
    };
    auto exchange = std::make_shared<HttpExchange>(m_context, m_executor,
                                                   std::make_shared<HttpPool>(m_context, endpoint),
                                                   snapshotRequest(endpoint), std::move(handlers));
    m_running[endpoint] = exchange;
    exchange->start();
}

void SnapshotFetcher::stop()
{
    m_alive.reset();
    for (auto &[endpoint, exchange] : m_running) {
        exchange->cancel();
    }
    m_running.clear();
}

void SnapshotFetcher::collect(BodyPipePtr pipe, std::shared_ptr<std::string> text)
{
    BodyPipe &source = *pipe;
    source.read([this, alive = std::weak_ptr<bool>(m_alive), pipe = std::move(pipe),
                 text](BodyChunk chunk) {
        if (alive.expired() || text->size() + chunk.bytes.size() > MaxSnapshotBytes) {
            pipe->abandon();
        } else if (chunk.kind == BodyChunk::Kind::Bytes) {
            text->append(chunk.bytes);
            collect(pipe, text);
        } else if (chunk.kind == BodyChunk::Kind::End) {
            if (auto snapshot = decodeSnapshot(*text)) {
                m_learned(std::move(*snapshot));
            }
        }
    });
}

} // namespace Coltsfootwell
