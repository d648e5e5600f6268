#include "services/CallerAnswer.h"

#include "services/HttpIo.h"

#include <array>
#include <span>

namespace Coltsfootwell::Internal {

namespace {

constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

std::string bytesOf(unsigned status, std::span<const HeaderField> headers, std::string_view body,
                    const AnswerFraming &form)
{
    http::response<http::span_body<const char>> message;
    message.version(11);
    message.result(status);
    for (const HeaderField &field : headers) {
        message.insert(field.name, field.value);
    }
    message.keep_alive(form.keepAlive);
    if (status != StatusNoContent && status != StatusNotModified) {
        message.content_length(body.size());
    }
    if (!form.headRequest) {
        message.body() = beast::span<const char>(body.data(), body.size());
    }
    return serializeMessage(message);
}

} // namespace

std::string serializeAnswer(const HttpDialect &dialect, const CallAnswered &answered,
                            const AnswerFraming &form)
{
    std::vector<HeaderField> headers = answered.headers;
    dialect.encodeAnswer(answered.servedBy.name, headers);
    return bytesOf(answered.status, headers,
                   answered.body ? std::string_view(*answered.body) : std::string_view(), form);
}

std::string serializeRefusal(const HttpDialect &dialect, const CallRefused &refused,
                             std::string_view requestId, const AnswerFraming &form)
{
    RefusalHead head
        = dialect.encodeRefusal(refused.outcome, refused.reason, requestId, refused.retryAfter);
    head.headers.push_back({"Content-Type", "text/plain"});
    const std::string text = std::string(reasonName(refused.reason)) + " ("
        + std::string(outcomeName(refused.outcome)) + ")\n";
    return bytesOf(head.status, head.headers, text, form);
}

std::string serializeControlAnswer(const ControlAnswer &answer, const AnswerFraming &form)
{
    const std::array headers {HeaderField {"Content-Type", answer.contentType}};
    return bytesOf(answer.status, headers, answer.body, form);
}

} // namespace Coltsfootwell::Internal
