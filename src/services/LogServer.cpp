#include "services/LogServer.h"

#include "services/MemoryLog.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"

#include "log.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <list>
#include <thread>

namespace Coltsfootwell {

namespace {

namespace rpc = coltsfootwell::logservice;

constexpr std::chrono::milliseconds MaxReadWait {5000};
constexpr std::uint32_t MaxReadRecords = 1000;
/// Time that calls in progress get to end when the service stops.
constexpr std::chrono::milliseconds StopGrace {200};

const grpc::Status Unavailable(grpc::StatusCode::UNAVAILABLE, "the log is out of service");

/// One call in progress, which the executor's thread ends.
template <typename Request, typename Answer>
struct LogCall
{
    grpc::CallbackServerContext *context = nullptr;
    const Request *request = nullptr;
    Answer *answer = nullptr;
    grpc::ServerUnaryReactor *reactor = nullptr;
};

using AppendCall = LogCall<rpc::AppendRequest, rpc::AppendAnswer>;
using ReadCall = LogCall<rpc::ReadRequest, rpc::ReadAnswer>;
using FaultsCall = LogCall<rpc::Faults, rpc::FaultsSet>;

/// A read that waits for a record.
struct WaitingRead
{
    ReadCall call;
    TimerId timer = 0;
};

class LogServer final : public Service, private rpc::Log::CallbackService
{
public:
    LogServer(Kernel &kernel, LogServerSettings settings)
        : m_executor(kernel.executor()), m_settings(std::move(settings)),
          m_log(m_settings.retention, m_settings.maxRecords)
    {
    }

    ~LogServer() override
    {
        if (m_stopper.joinable()) {
            m_stopper.join();
        }
    }

    std::string_view name() const override { return ServiceName::Log; }

    std::error_code start() override
    {
        grpc::ServerBuilder builder;
        int port = 0;
        // Without this a second server could share the port and take half of the calls.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(m_settings.listen, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(static_cast<rpc::Log::CallbackService *>(this));
        m_server = builder.BuildAndStart();
        return m_server && port != 0 ? std::error_code() : ServiceError::AddressInUse;
    }

    /// Shutdown() waits for all calls, which this executor ends, so it needs a thread of its own.
    void stop(Task done) override
    {
        m_stopping = true;
        while (!m_waiting.empty()) {
            finishWaiting(m_waiting.begin());
        }
        m_stopper = std::thread([this, done = std::move(done)]() mutable {
            m_server->Shutdown(std::chrono::system_clock::now() + StopGrace);
            m_executor.post(std::move(done));
        });
    }

private:
    grpc::ServerUnaryReactor *Append(grpc::CallbackServerContext *context,
                                     const rpc::AppendRequest *request,
                                     rpc::AppendAnswer *answer) override
    {
        return hand(AppendCall {context, request, answer, context->DefaultReactor()});
    }

    grpc::ServerUnaryReactor *Read(grpc::CallbackServerContext *context,
                                   const rpc::ReadRequest *request,
                                   rpc::ReadAnswer *answer) override
    {
        return hand(ReadCall {context, request, answer, context->DefaultReactor()});
    }

    grpc::ServerUnaryReactor *SetFaults(grpc::CallbackServerContext *context,
                                        const rpc::Faults *request, rpc::FaultsSet *answer) override
    {
        return hand(FaultsCall {context, request, answer, context->DefaultReactor()});
    }

    /// gRPC's threads only pass calls to the executor.
    template <typename Call>
    grpc::ServerUnaryReactor *hand(Call call)
    {
        m_executor.post([this, call] { accept(call); });
        return call.reactor;
    }

    bool isOut() const { return m_stopping || m_settings.faults.unavailable; }

    void accept(AppendCall call)
    {
        if (isOut()) {
            refuse(call);
            return;
        }
        delayed(m_settings.faults.appendDelay, [this, call] { append(call); });
    }

    void accept(ReadCall call)
    {
        delayed(m_settings.faults.readDelay, [this, call] { read(call); });
    }

    void accept(FaultsCall call)
    {
        if (!m_settings.faultsAllowed) {
            call.reactor->Finish({grpc::StatusCode::PERMISSION_DENIED, "faults are not allowed"});
            return;
        }
        m_settings.faults = {
            call.request->unavailable(), std::chrono::milliseconds(call.request->append_delay_ms()),
            std::chrono::milliseconds(call.request->read_delay_ms()), call.request->lose_answers()};
        call.reactor->Finish(grpc::Status::OK);
        while (isOut() && !m_waiting.empty()) {
            finishWaiting(m_waiting.begin());
        }
    }

    void delayed(Duration delay, Task task)
    {
        if (delay > Duration::zero() && !m_stopping) {
            m_executor.after(delay, std::move(task));
        } else {
            task();
        }
    }

    void refuse(const AppendCall &call)
    {
        call.context->AddTrailingMetadata(std::string(NotAppendedHeader), "1");
        call.reactor->Finish(Unavailable);
    }

    void append(const AppendCall &call)
    {
        if (m_stopping) {
            refuse(call);
            return;
        }
        const std::string stream = call.request->stream();
        call.answer->set_offset(
            m_log.append(stream, call.request->id(), call.request->content(), m_executor.now()));
        if (m_settings.faults.loseAnswers > 0) {
            --m_settings.faults.loseAnswers;
            call.reactor->Finish({grpc::StatusCode::UNAVAILABLE, "the answer was lost"});
        } else {
            call.reactor->Finish(grpc::Status::OK);
        }
        serveWaiting(stream);
    }

    void read(const ReadCall &call)
    {
        const auto wait = std::min<std::chrono::milliseconds>(
            MaxReadWait, std::chrono::milliseconds(call.request->wait_ms()));
        if (!fill(call) && wait.count() > 0 && !isOut()) {
            const auto it = m_waiting.insert(m_waiting.end(), {call, 0});
            it->timer = m_executor.after(wait, [this, it] { finishWaiting(it); });
            return;
        }
        call.reactor->Finish(isOut() ? Unavailable : grpc::Status::OK);
    }

    /// \return true when there is something that the reader does not know.
    bool fill(const ReadCall &call)
    {
        const auto max = std::min(call.request->max(), MaxReadRecords);
        LogPart part
            = m_log.read(call.request->stream(), call.request->from(), max, m_executor.now());
        call.answer->set_first(part.first);
        call.answer->set_next(part.next);
        call.answer->clear_records();
        for (LogRecord &record : part.records) {
            rpc::Record &out = *call.answer->add_records();
            out.set_offset(record.offset);
            out.set_id(std::move(record.id));
            out.set_content(std::move(record.content));
        }
        return part.next != call.request->from();
    }

    void finishWaiting(std::list<WaitingRead>::iterator it)
    {
        m_executor.cancel(it->timer);
        const ReadCall call = it->call;
        m_waiting.erase(it);
        fill(call);
        call.reactor->Finish(isOut() ? Unavailable : grpc::Status::OK);
    }

    void serveWaiting(const std::string &stream)
    {
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            const auto current = it++;
            if (current->call.request->stream() == stream) {
                finishWaiting(current);
            }
        }
    }

    Executor &m_executor;
    LogServerSettings m_settings;
    MemoryLog m_log;
    std::unique_ptr<grpc::Server> m_server;
    std::list<WaitingRead> m_waiting;
    std::thread m_stopper;
    bool m_stopping = false;
};

} // namespace

std::unique_ptr<Service> makeLogServer(Kernel &kernel, LogServerSettings settings)
{
    return std::make_unique<LogServer>(kernel, std::move(settings));
}

} // namespace Coltsfootwell
