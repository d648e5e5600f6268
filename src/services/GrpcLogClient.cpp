#include "services/LogClient.h"
#include "services/LogServer.h"
#include "services/ServiceError.h"

#include "log.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <unordered_set>

namespace Coltsfootwell {

namespace {

namespace rpc = coltsfootwell::logservice;

/// A log that comes back is found within a freshness time.
constexpr int MinReconnectMs = 100;
constexpr int MaxReconnectMs = 500;

/// Calls in progress.
struct CallSet
{
    /// Belongs to the executor's thread.
    std::unordered_set<grpc::ClientContext *> contexts;
    /// Calls whose end gRPC has not reported yet.
    std::atomic<std::size_t> running = 0;
};

template <typename Request, typename Answer>
struct CallState
{
    grpc::ClientContext context;
    Request request;
    Answer answer;
    grpc::Status status;
};

/// A server that refuses before the effect says so; any other failure may hide an effect.
bool mayHaveEffect(const grpc::ClientContext &context)
{
    const auto &trailer = context.GetServerTrailingMetadata();
    return !trailer.contains(std::string(NotAppendedHeader));
}

class GrpcLogClient final : public LogClient
{
public:
    GrpcLogClient(Executor &executor, const std::string &address) : m_executor(executor)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectMs);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
        // Proxies from the environment must not see traffic between daemons and the log.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        m_stub = rpc::Log::NewStub(
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }

    ~GrpcLogClient() override
    {
        for (grpc::ClientContext *context : m_calls->contexts) {
            context->TryCancel();
        }
        // gRPC's threads must not post to an executor that is gone.
        while (const std::size_t n = m_calls->running.load()) {
            m_calls->running.wait(n);
        }
    }

    void append(std::string_view stream, std::string_view id, std::string_view content,
                Duration timeout, std::function<void(AppendResult)> done) override
    {
        auto call = std::make_shared<CallState<rpc::AppendRequest, rpc::AppendAnswer>>();
        call->request.set_stream(stream.data(), stream.size());
        call->request.set_id(id.data(), id.size());
        call->request.set_content(content.data(), content.size());
        auto ended = begin(call, timeout, [call, done = std::move(done)] {
            AppendResult result;
            if (call->status.ok()) {
                result.offset = call->answer.offset();
            } else {
                result.ec = ServiceError::LogUnavailable;
                result.maybeAppended = mayHaveEffect(call->context);
            }
            done(result);
        });
        m_stub->async()->Append(&call->context, &call->request, &call->answer, std::move(ended));
    }

    void read(std::string_view stream, std::uint64_t from, std::uint32_t max,
              std::chrono::milliseconds wait, Duration timeout,
              std::function<void(ReadResult)> done) override
    {
        auto call = std::make_shared<CallState<rpc::ReadRequest, rpc::ReadAnswer>>();
        call->request.set_stream(stream.data(), stream.size());
        call->request.set_from(from);
        call->request.set_max(max);
        call->request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        auto ended = begin(call, timeout + wait, [call, done = std::move(done)] {
            ReadResult result;
            if (call->status.ok()) {
                take(call->answer, result.part);
            } else {
                result.ec = ServiceError::LogUnavailable;
            }
            done(std::move(result));
        });
        m_stub->async()->Read(&call->context, &call->request, &call->answer, std::move(ended));
    }

private:
    static void take(rpc::ReadAnswer &answer, LogPart &part)
    {
        part.first = answer.first();
        part.next = answer.next();
        part.records.reserve(static_cast<std::size_t>(answer.records_size()));
        for (rpc::Record &record : *answer.mutable_records()) {
            part.records.push_back({record.offset(), std::move(*record.mutable_id()),
                                    std::move(*record.mutable_content())});
        }
    }

    /// \return the function that gRPC calls on one of its threads when the call has ended.
    template <typename Call>
    std::function<void(grpc::Status)> begin(const std::shared_ptr<Call> &call, Duration timeout,
                                            Task done)
    {
        call->context.set_deadline(
            std::chrono::system_clock::now()
            + std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
        m_calls->contexts.insert(&call->context);
        ++m_calls->running;
        Task finish
            = [weak = std::weak_ptr(m_calls), context = &call->context, done = std::move(done)] {
                  if (const auto calls = weak.lock()) {
                      calls->contexts.erase(context);
                      done();
                  }
              };
        return [&executor = m_executor, call, calls = m_calls,
                finish = std::move(finish)](grpc::Status status) {
            call->status = std::move(status);
            executor.post(finish);
            --calls->running;
            calls->running.notify_all();
        };
    }

    Executor &m_executor;
    std::unique_ptr<rpc::Log::Stub> m_stub;
    std::shared_ptr<CallSet> m_calls = std::make_shared<CallSet>();
};

} // namespace

std::unique_ptr<LogClient> makeGrpcLogClient(Executor &executor, const std::string &address)
{
    return std::make_unique<GrpcLogClient>(executor, address);
}

} // namespace Coltsfootwell
