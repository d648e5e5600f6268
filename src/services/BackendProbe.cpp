#include "services/BackendProbe.h"

namespace Coltsfootwell {

namespace {

constexpr std::size_t MaxReportBytes = 4096;
constexpr unsigned FirstNonSuccess = 300;
constexpr std::chrono::seconds MaxIdle {10};

/// Collects the answer of one probe; kept alive by the handlers of its exchange.
struct ProbeTask : std::enable_shared_from_this<ProbeTask>
{
    ProbeTask(Executor &executor, std::function<void(ProbeResult)> done)
        : executor(executor), done(std::move(done))
    {
    }

    void end(ProbeResult result)
    {
        executor.cancel(timer);
        if (auto handler = std::exchange(done, nullptr)) {
            handler(result);
        }
    }

    void answered(const AnswerHead &head, BodyPipePtr pipe)
    {
        if (head.status >= FirstNonSuccess) {
            pipe->abandon();
            end({true, std::nullopt});
            return;
        }
        body = std::move(pipe);
        readMore();
    }

    void readMore()
    {
        body->read([self = shared_from_this()](BodyChunk chunk) { self->take(chunk); });
    }

    void take(const BodyChunk &chunk)
    {
        text += chunk.bytes;
        if (chunk.kind == BodyChunk::Kind::Bytes && text.size() <= MaxReportBytes) {
            readMore();
            return;
        }
        std::error_code ec;
        const ServerLoad load = decodeServerLoad(text, ec);
        const bool whole = chunk.kind == BodyChunk::Kind::End;
        body->abandon();
        end({true, whole && !ec ? std::optional(load) : std::nullopt});
    }

    Executor &executor;
    std::function<void(ProbeResult)> done;
    BodyPipePtr body;
    std::string text;
    TimerId timer = 0;
};

ExchangeRequest probeRequest()
{
    auto head = std::make_shared<CallHead>();
    head->method = "GET";
    head->target = LoadEndpointPath;
    ExchangeRequest request;
    request.head = std::move(head);
    request.connectTimeout = ProbeTimeout;
    request.progressTimeout = ProbeTimeout;
    request.maxIdle = MaxIdle;
    return request;
}

} // namespace

void probeBackend(boost::asio::io_context &context, Executor &executor,
                  std::shared_ptr<HttpPool> pool, std::function<void(ProbeResult)> done)
{
    auto task = std::make_shared<ProbeTask>(executor, std::move(done));
    ExchangeHandlers handlers;
    handlers.mayBegin = [] { return true; };
    handlers.answered
        = [task](AnswerHead head, BodyPipePtr body) { task->answered(head, std::move(body)); };
    handlers.lost = [task](AttemptLost) { task->end({}); };
    handlers.ended = [](bool) {};
    auto exchange = std::make_shared<HttpExchange>(context, executor, std::move(pool),
                                                   probeRequest(), std::move(handlers));
    // The time limits of the exchange hold for single steps; this one holds for the whole probe.
    task->timer = executor.after(ProbeTimeout, [task, exchange] {
        exchange->cancel();
        task->end({});
    });
    exchange->start();
}

} // namespace Coltsfootwell
