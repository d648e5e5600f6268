#include "services/RequestForwarder.h"

#include "decisions/RetryAfter.h"
#include "services/ControlMessages.h"
#include "services/LogOutput.h"
#include "services/ServiceNames.h"

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

constexpr std::string_view ControlPrefix = "/coltsfootwell/";

void answerCall(const std::shared_ptr<SessionContext> &context, Exchange &exchange,
                CallResult result)
{
    if (const auto *answered = std::get_if<CallAnswered>(&result)) {
        const bool isOwn = answered->servedBy == context->self;
        exchange.held = {isOwn ? AnswerSource::Server : AnswerSource::Peer,
                         answered->body ? answered->body->size() : 0};
    }
    exchange.makeAnswer = [context, result = std::move(result),
                           requestId = exchange.requestId](const AnswerFraming &framing) {
        return std::holds_alternative<CallAnswered>(result)
            ? serializeAnswer(context->dialect, std::get<CallAnswered>(result), framing)
            : serializeRefusal(context->dialect, std::get<CallRefused>(result), requestId, framing);
    };
}

void answerControl(Exchange &exchange, ControlAnswer answer)
{
    exchange.makeAnswer = [answer = std::move(answer)](const AnswerFraming &framing) {
        return serializeControlAnswer(answer, framing);
    };
}

/// Counts a call that is refused before any service has got it, and logs it.
void reportRefusal(const SessionContext &context, std::string requestId, const CallRefused &refused,
                   std::string_view event, std::string logFields)
{
    context.telemetry.send(
        IncrementCounter {"calls_total", std::string(outcomeName(refused.outcome))});
    context.telemetry.send(
        IncrementCounter {"refusals_total", std::string(reasonName(refused.reason))});
    context.telemetry.send(LogEvent {event, std::move(requestId), std::move(logFields)});
}

/// \param fields headers of a request that is not processed, as far as they were read.
CallEnvelope decodeRefusedCall(const SessionContext &context, const http::fields &fields)
{
    HeaderFault fault;
    std::error_code ec;
    std::vector<HeaderField> headers = endToEndHeaders(fields);
    return context.dialect.decodeCall(headers, fault, ec);
}

void submit(const std::shared_ptr<SessionContext> &context,
            const std::shared_ptr<Exchange> &exchange, ReceivedRequest request,
            std::function<void()> onAnswered)
{
    SubmitCall call;
    call.received = context->executor.now();
    auto head = std::make_shared<CallHead>();
    head->method = std::string(request.message.method_string());
    head->target = std::string(request.message.target());
    head->headers = endToEndHeaders(request.message);
    HeaderFault fault;
    std::error_code ec;
    call.call = context->dialect.decodeCall(head->headers, fault, ec);
    exchange->requestId = call.call.requestId;
    if (ec) {
        const CallRefused refused {Outcome::NotRun, Reason::BadHeader, {}};
        reportRefusal(*context, call.call.requestId, refused, "call.malformed",
                      "header=" + fault.header + " value=" + logValue(fault.value)
                          + " rule=" + fault.rule);
        answerCall(context, *exchange, refused);
        return;
    }
    exchange->number = ++context->lastCallNumber;
    call.number = exchange->number;
    call.head = std::move(head);
    call.body = RequestReservation::makeBody(std::move(request.message.body()),
                                             std::move(request.reservation));
    call.reply = Reply<CallResult>(
        context->executor,
        [context, exchange, onAnswered = std::move(onAnswered)](std::optional<CallResult> result) {
            answerCall(context, *exchange,
                       result ? std::move(*result)
                              : CallRefused {Outcome::Unknown, Reason::Stopping, {}});
            onAnswered();
        });
    context->calls.send(std::move(call));
}

void forwardToControl(const std::shared_ptr<SessionContext> &context,
                      const std::shared_ptr<Exchange> &exchange,
                      http::request<http::string_body> message, std::function<void()> onAnswered)
{
    const std::string_view path = stdView(message.target()).substr(ControlPrefix.size());
    const std::size_t queryStart = std::min(path.find('?'), path.size());
    ControlRequest request;
    request.method = std::string(message.method_string());
    request.path = path.substr(0, queryStart);
    request.query = path.substr(std::min(queryStart + 1, path.size()));
    request.body = std::move(message.body());
    request.reply = Reply<ControlAnswer>(
        context->executor,
        [exchange, onAnswered = std::move(onAnswered)](std::optional<ControlAnswer> answer) {
            answerControl(*exchange,
                          answer.value_or(ControlAnswer {404, "application/json",
                                                         R"({"error":"unknown path"})"}));
            onAnswered();
        });
    std::error_code ignored;
    const auto control
        = context->directory.find<ControlRequest>(ServiceName::control(request.path), ignored);
    control.send(std::move(request));
}

std::shared_ptr<Exchange> closingExchange()
{
    auto exchange = std::make_shared<Exchange>();
    exchange->keepAlive = false;
    return exchange;
}

} // namespace

bool isControlRequest(const SessionContext &context,
                      const http::request<http::string_body> &message)
{
    return context.servesControl && stdView(message.target()).starts_with(ControlPrefix);
}

std::shared_ptr<Exchange> forwardRequest(const std::shared_ptr<SessionContext> &context,
                                         ReceivedRequest request, std::function<void()> onAnswered)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->headRequest = request.message.method() == http::verb::head;
    exchange->keepAlive = request.message.keep_alive();
    if (isControlRequest(*context, request.message)) {
        forwardToControl(context, exchange, std::move(request.message), std::move(onAnswered));
    } else {
        submit(context, exchange, std::move(request), std::move(onAnswered));
    }
    return exchange;
}

void logDroppedRequest(const SessionContext &context,
                       const http::request<http::string_body> &message, std::string_view reason)
{
    context.telemetry.send(LogEvent {"call.dropped", decodeRefusedCall(context, message).requestId,
                                     "reason=" + std::string(reason)});
}

std::shared_ptr<Exchange> refuseRequest(const std::shared_ptr<SessionContext> &context,
                                        Reason reason, const http::fields &fields)
{
    const CallEnvelope call = decodeRefusedCall(*context, fields);
    const CallRefused refused {Outcome::NotRun, reason, {}};
    reportRefusal(*context, call.requestId, refused, "call.refused",
                  "reason=" + std::string(reasonName(reason))
                      + " headerBytes=" + std::to_string(context->limits.headerBytes)
                      + " bodyBytes=" + std::to_string(context->limits.bodyBytes));
    auto exchange = closingExchange();
    exchange->requestId = call.requestId;
    answerCall(context, *exchange, refused);
    return exchange;
}

std::shared_ptr<Exchange> refuseForMemory(const std::shared_ptr<SessionContext> &context,
                                          std::string_view cause, const http::fields &fields)
{
    const CallEnvelope call = decodeRefusedCall(*context, fields);
    CallRefused refused {Outcome::NotRun, Reason::Overloaded, {}};
    if (call.deadline) {
        refused.retryAfter = retryAfter(*call.deadline, context->random);
    }
    reportRefusal(*context, call.requestId, refused, "call.refused",
                  "reason=" + std::string(cause));
    auto exchange = closingExchange();
    exchange->requestId = call.requestId;
    answerCall(context, *exchange, refused);
    return exchange;
}

} // namespace Coltsfootwell::Internal
