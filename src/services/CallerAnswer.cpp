#include "services/CallerAnswer.h"

#include "services/HttpIo.h"

#include <array>
#include <span>

namespace Coltsfootwell::Internal {

namespace {

constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

/// Maximum length of a body that is copied behind its head, so that both are written from one
/// buffer.
constexpr std::size_t MaxCopiedBodyBytes = 16 * 1024;

/// \param contentLength length of the body that the head announces.
/// \param body body that is part of the result; may be empty if another one follows.
std::string serialize(unsigned status, std::span<const HeaderField> headers,
                      std::size_t contentLength, std::string_view body,
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
        message.content_length(contentLength);
    }
    if (!framing.headRequest) {
        message.body() = beast::span<const char>(body.data(), body.size());
    }
    return serializeMessage(message);
}

} // namespace

SerializedAnswer serializeAnswer(const HttpDialect &dialect, const CallAnswered &answered,
                                 const AnswerFraming &framing)
{
    std::vector<HeaderField> headers = answered.headers;
    dialect.encodeAnswer(answered.servedBy.name, headers);
    const std::string_view body
        = answered.body ? std::string_view(*answered.body) : std::string_view();
    if (framing.headRequest || body.size() <= MaxCopiedBodyBytes) {
        return {serialize(answered.status, headers, body.size(), body, framing), nullptr,
                answered.body};
    }
    return {serialize(answered.status, headers, body.size(), {}, framing), answered.body};
}

SerializedAnswer serializeRefusal(const HttpDialect &dialect, const CallRefused &refused,
                                  std::string_view requestId, const AnswerFraming &framing)
{
    RefusalHead head
        = dialect.encodeRefusal(refused.outcome, refused.reason, requestId, refused.retryAfter);
    head.headers.push_back({"Content-Type", "text/plain"});
    const std::string text = std::string(reasonName(refused.reason)) + " ("
        + std::string(outcomeName(refused.outcome)) + ")\n";
    return {serialize(head.status, head.headers, text.size(), text, framing), nullptr};
}

SerializedAnswer serializeControlAnswer(const ControlAnswer &answer, const AnswerFraming &framing)
{
    const std::array headers {HeaderField {"Content-Type", answer.contentType}};
    return {serialize(answer.status, headers, answer.body.size(), answer.body, framing), nullptr};
}

} // namespace Coltsfootwell::Internal
