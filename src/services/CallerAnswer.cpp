#include "services/CallerAnswer.h"

#include "services/HttpIo.h"

#include <array>
#include <span>

namespace Coltsfootwell::Internal {

namespace {

constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

std::string serialize(unsigned status, std::span<const HeaderField> headers, std::string_view body,
                      const AnswerFraming &framing)
{
    http::response<http::span_body<const char>> message;
    message.version(11);
    message.result(status);
    for (const HeaderField &field : headers) {
        message.insert(field.name, field.value);
    }
    message.keep_alive(framing.keepAlive);
    if (status != StatusNoContent && status != StatusNotModified) {
        message.content_length(body.size());
    }
    if (!framing.headRequest) {
        message.body() = beast::span<const char>(body.data(), body.size());
    }
    return serializeMessage(message);
}

} // namespace

std::string serializeAnswer(const HttpDialect &dialect, const CallAnswered &answered,
                            const AnswerFraming &framing)
{
    std::vector<HeaderField> headers = answered.headers;
    dialect.encodeAnswer(answered.servedBy.name, headers);
    return serialize(answered.status, headers,
                     answered.body ? std::string_view(*answered.body) : std::string_view(),
                     framing);
}

std::string serializeRefusal(const HttpDialect &dialect, const CallRefused &refused,
                             std::string_view requestId, const AnswerFraming &framing)
{
    RefusalHead head
        = dialect.encodeRefusal(refused.outcome, refused.reason, requestId, refused.retryAfter);
    head.headers.push_back({"Content-Type", "text/plain"});
    const std::string text = std::string(reasonName(refused.reason)) + " ("
        + std::string(outcomeName(refused.outcome)) + ")\n";
    return serialize(head.status, head.headers, text, framing);
}

std::string serializeControlAnswer(const ControlAnswer &answer, const AnswerFraming &framing)
{
    const std::array headers {HeaderField {"Content-Type", answer.contentType}};
    return serialize(answer.status, headers, answer.body, framing);
}

} // namespace Coltsfootwell::Internal
