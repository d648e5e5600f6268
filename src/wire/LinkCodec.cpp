#include "wire/LinkCodec.h"

#include "wire/ProtobufMessage.h"
#include "wire/WireError.h"
#include "wire/generated/link.pb.h"

#include <boost/endian/conversion.hpp>

namespace Coltsfootwell {

namespace {

using std::chrono::microseconds;

void encodeLoad(const LoadReport &load, Wire::Load &wire)
{
    wire.set_in_use(load.inUse);
    wire.set_waiting(load.waiting);
    wire.set_limit(load.limit);
    wire.set_state(static_cast<std::uint32_t>(load.state));
    wire.set_slowness(load.slownessPercent);
    wire.set_failures(load.failurePercent);
    wire.set_answer_micros(load.answerMicros);
    wire.set_nested_micros(load.nestedMicros);
    wire.set_reserved(load.reserved);
}

LoadReport decodeLoad(const Wire::Load &wire, std::error_code &ec)
{
    if (wire.state() > static_cast<std::uint32_t>(BackendState::Gone)) {
        ec = WireError::BadFrame;
        return {};
    }
    return {wire.in_use(),        wire.waiting(),
            wire.limit(),         static_cast<BackendState>(wire.state()),
            wire.slowness(),      wire.failures(),
            wire.answer_micros(), wire.nested_micros(),
            wire.reserved()};
}

template <typename Repeated>
void encodeFields(std::span<const HeaderField> fields, Repeated &wire)
{
    for (const HeaderField &field : fields) {
        auto *added = wire.Add();
        added->set_name(field.name);
        added->set_value(field.value);
    }
}

template <typename Repeated>
std::vector<HeaderField> decodeFields(Repeated &wire)
{
    std::vector<HeaderField> fields;
    fields.reserve(static_cast<std::size_t>(wire.size()));
    for (auto &field : wire) {
        fields.push_back({std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    }
    return fields;
}

struct Encoder
{
    Wire::Frame &wire;

    void operator()(const HelloFrame &frame) const
    {
        wire.mutable_hello()->set_daemon(frame.daemon.name);
        wire.mutable_hello()->set_incarnation(frame.daemon.incarnation);
        wire.mutable_hello()->set_answer_parts(frame.acceptsAnswerParts);
    }

    void operator()(const RunFrame &frame) const
    {
        Wire::Run &run = *wire.mutable_run();
        run.set_service(frame.service);
        run.set_caller_service(frame.callerService);
        run.set_request_id(frame.call.requestId);
        run.set_method(frame.method);
        run.set_target(frame.target);
        encodeFields(frame.fields, *run.mutable_fields());
        run.set_body(frame.body);
        run.set_later_bytes(frame.pendingBodyBytes);
        run.set_deadline_micros(static_cast<std::uint64_t>(frame.deadlineIn.count()));
        run.set_objective_micros(static_cast<std::uint64_t>(frame.objectiveIn.count()));
        run.set_start_by_micros(static_cast<std::uint64_t>(frame.startWithin.count()));
        run.set_priority(frame.priority);
        run.set_nested(frame.nested);
        run.set_repeat(frame.repeat);
        run.set_idempotent(frame.idempotent);
        for (const std::string &region : frame.call.homeRegions) {
            run.add_home_regions(region);
        }
        run.set_customer(frame.call.customer);
        run.set_depth(frame.call.depth);
        run.set_trace_parent(frame.call.traceParent);
    }

    void operator()(const ProceedFrame &) const { wire.set_proceed(true); }

    void operator()(const BodyPartFrame &frame) const
    {
        wire.mutable_body_part()->set_bytes(frame.bytes);
        wire.mutable_body_part()->set_last(frame.last);
    }

    void operator()(const CancelFrame &) const { wire.set_cancel(true); }

    void operator()(const AnswerFrame &frame) const
    {
        Wire::Answer &answer = *wire.mutable_answer();
        answer.set_status(frame.status);
        encodeFields(frame.fields, *answer.mutable_fields());
        answer.set_body(frame.body);
        answer.set_failure(frame.failure);
        answer.set_later_bytes(frame.pendingBodyBytes);
    }

    void operator()(const RefusalFrame &frame) const
    {
        wire.mutable_refusal()->set_reason(static_cast<std::uint32_t>(frame.reason));
        wire.mutable_refusal()->set_by_server(frame.byServer);
    }

    void operator()(const LostFrame &) const { wire.set_lost(true); }
    void operator()(const ResumeFrame &frame) const { wire.set_resume(frame.sentTo); }
    void operator()(const PingFrame &frame) const { wire.set_ping(frame.nonce); }
    void operator()(const PongFrame &frame) const { wire.set_pong(frame.nonce); }
    void operator()(const LoadUpdateFrame &) const { wire.set_load_news(true); }

    void operator()(const ExchangeFrame &frame) const
    {
        const bool sync = frame.subject == ExchangeSubject::MemberSync;
        Wire::Exchange &exchange = sync
            ? (frame.isAnswer ? *wire.mutable_sync_answer() : *wire.mutable_sync_request())
            : (frame.isAnswer ? *wire.mutable_state_answer() : *wire.mutable_state_request());
        exchange.set_nonce(frame.nonce);
        exchange.set_bytes(frame.bytes);
    }
};

microseconds decodeDuration(std::uint64_t micros, std::error_code &ec)
{
    if (micros > std::uint64_t(microseconds(MaxFrameDuration).count())) {
        ec = WireError::BadFrame;
        return {};
    }
    return microseconds(micros);
}

RunFrame decodeRun(Wire::Run &run, std::error_code &ec)
{
    RunFrame frame;
    frame.service = std::move(*run.mutable_service());
    frame.callerService = std::move(*run.mutable_caller_service());
    frame.method = std::move(*run.mutable_method());
    frame.target = std::move(*run.mutable_target());
    frame.fields = decodeFields(*run.mutable_fields());
    frame.body = std::move(*run.mutable_body());
    frame.pendingBodyBytes = run.later_bytes();
    frame.deadlineIn = decodeDuration(run.deadline_micros(), ec);
    frame.objectiveIn = decodeDuration(run.objective_micros(), ec);
    frame.startWithin = decodeDuration(run.start_by_micros(), ec);
    frame.priority = run.priority();
    frame.nested = run.nested();
    frame.repeat = run.repeat();
    frame.idempotent = run.idempotent();
    frame.call.requestId = std::move(*run.mutable_request_id());
    for (std::string &region : *run.mutable_home_regions()) {
        frame.call.homeRegions.push_back(std::move(region));
    }
    frame.call.customer = std::move(*run.mutable_customer());
    frame.call.depth = run.depth();
    frame.call.traceParent = std::move(*run.mutable_trace_parent());
    return frame;
}

ExchangeFrame decodeExchange(ExchangeSubject subject, bool isAnswer, Wire::Exchange &exchange)
{
    return {subject, isAnswer, exchange.nonce(), std::move(*exchange.mutable_bytes())};
}

void decodeBody(Wire::Frame &wire, LinkFrame &frame, std::error_code &ec)
{
    switch (wire.body_case()) {
    case Wire::Frame::kHello:
        frame.body = HelloFrame {{wire.hello().daemon(), wire.hello().incarnation()},
                                 wire.hello().answer_parts()};
        break;
    case Wire::Frame::kRun:
        frame.body = decodeRun(*wire.mutable_run(), ec);
        break;
    case Wire::Frame::kProceed:
        frame.body = ProceedFrame {};
        break;
    case Wire::Frame::kBodyPart:
        frame.body = BodyPartFrame {std::move(*wire.mutable_body_part()->mutable_bytes()),
                                    wire.body_part().last()};
        break;
    case Wire::Frame::kCancel:
        frame.body = CancelFrame {};
        break;
    case Wire::Frame::kAnswer: {
        Wire::Answer &answer = *wire.mutable_answer();
        frame.body = AnswerFrame {answer.status(), decodeFields(*answer.mutable_fields()),
                                  std::move(*answer.mutable_body()), answer.failure(),
                                  answer.later_bytes()};
        break;
    }
    case Wire::Frame::kRefusal:
        if (wire.refusal().reason() > static_cast<std::uint32_t>(LastReason)) {
            ec = WireError::BadFrame;
            break;
        }
        frame.body = RefusalFrame {static_cast<Reason>(wire.refusal().reason()),
                                   wire.refusal().by_server()};
        break;
    case Wire::Frame::kLost:
        frame.body = LostFrame {};
        break;
    case Wire::Frame::kResume:
        frame.body = ResumeFrame {wire.resume()};
        break;
    case Wire::Frame::kPing:
        frame.body = PingFrame {wire.ping()};
        break;
    case Wire::Frame::kPong:
        frame.body = PongFrame {wire.pong()};
        break;
    case Wire::Frame::kLoadNews:
        frame.body = LoadUpdateFrame {};
        break;
    case Wire::Frame::kSyncRequest:
        frame.body
            = decodeExchange(ExchangeSubject::MemberSync, false, *wire.mutable_sync_request());
        break;
    case Wire::Frame::kSyncAnswer:
        frame.body = decodeExchange(ExchangeSubject::MemberSync, true, *wire.mutable_sync_answer());
        break;
    case Wire::Frame::kStateRequest:
        frame.body
            = decodeExchange(ExchangeSubject::ControlState, false, *wire.mutable_state_request());
        break;
    case Wire::Frame::kStateAnswer:
        frame.body
            = decodeExchange(ExchangeSubject::ControlState, true, *wire.mutable_state_answer());
        break;
    case Wire::Frame::BODY_NOT_SET:
        ec = WireError::BadFrame;
        break;
    }
}

} // namespace

std::string encodeFrame(const LinkFrame &frame)
{
    Wire::Frame wire;
    if (frame.attempt != AttemptId()) {
        wire.set_attempt_high(frame.attempt.high);
        wire.set_attempt_low(frame.attempt.low);
    }
    if (frame.load) {
        encodeLoad(*frame.load, *wire.mutable_load());
    }
    std::visit(Encoder {wire}, frame.body);
    const std::size_t size = wire.ByteSizeLong();
    std::string bytes(FrameLengthBytes + size, '\0');
    auto *data = reinterpret_cast<unsigned char *>(bytes.data());
    boost::endian::store_big_u32(data, static_cast<std::uint32_t>(size));
    wire.SerializeWithCachedSizesToArray(data + FrameLengthBytes);
    return bytes;
}

std::size_t completeFrameSize(std::string_view bytes, std::error_code &ec)
{
    ec.clear();
    if (bytes.size() < FrameLengthBytes) {
        return 0;
    }
    const std::size_t size
        = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(bytes.data()));
    if (size > MaxFrameBytes) {
        ec = WireError::BadFrame;
        return 0;
    }
    return bytes.size() - FrameLengthBytes >= size ? FrameLengthBytes + size : 0;
}

LinkFrame decodeFrame(std::string_view bytes, std::error_code &ec)
{
    ec.clear();
    LinkFrame frame;
    Wire::Frame wire;
    if (!Internal::parseMessage(bytes, wire)) {
        ec = WireError::BadFrame;
        return frame;
    }
    frame.attempt = {wire.attempt_high(), wire.attempt_low()};
    if (wire.has_load()) {
        frame.load = decodeLoad(wire.load(), ec);
    }
    if (!ec) {
        decodeBody(wire, frame, ec);
    }
    return frame;
}

} // namespace Coltsfootwell
