#include "wire/CallEnvelope.h"

#include "decisions/CallFacts.h"
#include "wire/HeaderNames.h"
#include "wire/TextNumber.h"
#include "wire/WireError.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds MaxDeadline = std::chrono::hours(1);
constexpr std::size_t MaxKeyLength = 200;

bool equalNames(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::ranges::equal(left, right, {}, lower, lower);
}

struct FieldDecoder
{
    std::string_view header;
    std::string_view rule;
    bool (*decode)(std::string_view, CallEnvelope &);
};

AttemptEnvelope &attemptOf(CallEnvelope &envelope)
{
    return envelope.attempt ? *envelope.attempt : envelope.attempt.emplace();
}

bool decodeDeadline(std::string_view text, CallEnvelope &envelope)
{
    const auto n = numberFromText<std::uint32_t>(text);
    if (!n || *n == 0 || std::chrono::milliseconds(*n) > MaxDeadline) {
        return false;
    }
    envelope.deadline = std::chrono::milliseconds(*n);
    return true;
}

bool decodeHomeRegions(std::string_view text, CallEnvelope &envelope)
{
    envelope.homeRegions = splitList(text);
    return !envelope.homeRegions.empty();
}

bool decodeTenant(std::string_view text, CallEnvelope &envelope)
{
    envelope.tenant = text;
    return !text.empty();
}

bool decodeDepth(std::string_view text, CallEnvelope &envelope)
{
    const auto n = numberFromText<unsigned>(text);
    envelope.depth = n.value_or(0);
    return n.has_value();
}

bool decodeKey(std::string_view text, CallEnvelope &envelope)
{
    envelope.key = text;
    return !text.empty() && text.size() <= MaxKeyLength;
}

bool decodeKeyCreated(std::string_view text, CallEnvelope &envelope)
{
    envelope.keyCreated = numberFromText<std::uint64_t>(text);
    return envelope.keyCreated.has_value();
}

bool decodeTraceParent(std::string_view text, CallEnvelope &envelope)
{
    envelope.traceParent = text;
    return true;
}

bool decodeAttempt(std::string_view text, CallEnvelope &envelope)
{
    const auto id = attemptFromText(text);
    attemptOf(envelope).attempt = id.value_or(AttemptId());
    return id.has_value();
}

bool decodeTarget(std::string_view text, CallEnvelope &envelope)
{
    const auto id = daemonFromText(text);
    attemptOf(envelope).target = id.value_or(DaemonId());
    return id.has_value();
}

bool decodeVersion(std::string_view text, CallEnvelope &envelope)
{
    const auto n = numberFromText<ConfigurationVersion>(text);
    attemptOf(envelope).version = n.value_or(0);
    return n.has_value();
}

bool decodeService(std::string_view text, CallEnvelope &envelope)
{
    attemptOf(envelope).service = text;
    return !text.empty();
}

bool decodeKeyOwner(std::string_view text, CallEnvelope &envelope)
{
    envelope.keyOwner = daemonFromText(text);
    return envelope.keyOwner.has_value();
}

constexpr std::array Decoders {
    FieldDecoder {Header::Deadline, "must be a number of milliseconds from 1 to 3600000",
                  decodeDeadline},
    FieldDecoder {Header::HomeRegions, "must name at least one region", decodeHomeRegions},
    FieldDecoder {Header::Tenant, "must not be empty", decodeTenant},
    FieldDecoder {Header::Depth, "must be a number", decodeDepth},
    FieldDecoder {Header::Key, "must have 1 to 200 characters", decodeKey},
    FieldDecoder {Header::KeyCreated, "must be Unix time in seconds", decodeKeyCreated},
    FieldDecoder {Header::TraceParent, "", decodeTraceParent},
    FieldDecoder {Header::Attempt, "must have 32 hexadecimal digits", decodeAttempt},
    FieldDecoder {Header::Target, "must have the form name/incarnation", decodeTarget},
    FieldDecoder {Header::Version, "must be a number", decodeVersion},
    FieldDecoder {Header::Service, "must not be empty", decodeService},
    FieldDecoder {Header::KeyOwner, "must have the form name/incarnation", decodeKeyOwner},
};

const FieldDecoder *decoderOf(std::string_view name)
{
    const auto *it = std::ranges::find_if(
        Decoders, [name](const FieldDecoder &decoder) { return equalNames(decoder.header, name); });
    return it == Decoders.end() ? nullptr : it;
}

std::string joinList(std::span<const std::string> items)
{
    std::string text;
    for (const std::string &item : items) {
        text += text.empty() ? "" : ",";
        text += item;
    }
    return text;
}

} // namespace

CallEnvelope decodeEnvelope(std::span<const HeaderField> fields, HeaderFault &fault,
                            std::error_code &ec)
{
    CallEnvelope envelope;
    ec.clear();
    for (const HeaderField &field : fields) {
        const FieldDecoder *decoder = decoderOf(field.name);
        if (decoder && !decoder->decode(field.value, envelope)) {
            fault = {std::string(decoder->header), std::string(decoder->rule)};
            ec = WireError::BadHeader;
            return envelope;
        }
    }
    return envelope;
}

void encodeEnvelope(const CallEnvelope &envelope, std::vector<HeaderField> &fields)
{
    std::erase_if(fields,
                  [](const HeaderField &field) { return decoderOf(field.name) != nullptr; });
    const auto add = [&fields](std::string_view name, std::string value) {
        fields.push_back({std::string(name), std::move(value)});
    };
    if (envelope.deadline) {
        add(Header::Deadline,
            std::to_string(std::max<std::int64_t>(1, envelope.deadline->count())));
    }
    if (!envelope.homeRegions.empty()) {
        add(Header::HomeRegions, joinList(envelope.homeRegions));
    }
    if (!envelope.tenant.empty()) {
        add(Header::Tenant, envelope.tenant);
    }
    add(Header::Depth, std::to_string(envelope.depth));
    if (!envelope.key.empty()) {
        add(Header::Key, envelope.key);
    }
    if (envelope.keyCreated) {
        add(Header::KeyCreated, std::to_string(*envelope.keyCreated));
    }
    if (!envelope.traceParent.empty()) {
        add(Header::TraceParent, envelope.traceParent);
    }
    if (const auto &attempt = envelope.attempt) {
        add(Header::Attempt, attemptText(attempt->attempt));
        add(Header::Target, daemonText(attempt->target));
        add(Header::Version, std::to_string(attempt->version));
        add(Header::Service, attempt->service);
    }
    if (envelope.keyOwner) {
        add(Header::KeyOwner, daemonText(*envelope.keyOwner));
    }
}

std::string attemptText(const AttemptId &attempt)
{
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(attempt.high),
                  static_cast<unsigned long long>(attempt.low));
    return buf.data();
}

std::optional<AttemptId> attemptFromText(std::string_view text)
{
    if (text.size() != 32) {
        return std::nullopt;
    }
    const auto high = numberFromText<std::uint64_t>(text.substr(0, 16), 16);
    const auto low = numberFromText<std::uint64_t>(text.substr(16), 16);
    return high && low ? std::optional(AttemptId {*high, *low}) : std::nullopt;
}

std::string daemonText(const DaemonId &daemon)
{
    return daemon.name + '/' + std::to_string(daemon.incarnation);
}

std::optional<DaemonId> daemonFromText(std::string_view text)
{
    const std::size_t slash = text.rfind('/');
    if (slash == std::string_view::npos || slash == 0) {
        return std::nullopt;
    }
    const auto incarnation = numberFromText<Incarnation>(text.substr(slash + 1));
    return incarnation ? std::optional(DaemonId {std::string(text.substr(0, slash)), *incarnation})
                       : std::nullopt;
}

std::string loadText(const LoadReport &report)
{
    return std::to_string(report.inUse) + '/' + std::to_string(report.waiting) + '/'
        + std::to_string(report.limit) + '/' + std::to_string(static_cast<int>(report.state));
}

std::optional<LoadReport> loadFromText(std::string_view text)
{
    std::array<std::uint32_t, 4> parts {};
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::size_t slash = text.find('/');
        const auto n = numberFromText<std::uint32_t>(text.substr(0, slash));
        if (!n || (slash == std::string_view::npos) != (i + 1 == parts.size())) {
            return std::nullopt;
        }
        parts[i] = *n;
        text.remove_prefix(slash == std::string_view::npos ? text.size() : slash + 1);
    }
    if (parts[3] > static_cast<std::uint32_t>(BackendState::Gone)) {
        return std::nullopt;
    }
    return LoadReport {parts[0], parts[1], parts[2], static_cast<BackendState>(parts[3])};
}

std::optional<std::string_view> headerValue(std::span<const HeaderField> fields,
                                            std::string_view name)
{
    const auto it = std::ranges::find_if(
        fields, [name](const HeaderField &field) { return equalNames(field.name, name); });
    return it == fields.end() ? std::nullopt : std::optional<std::string_view>(it->value);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view item = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const std::size_t begin = item.find_first_not_of(" \t");
        if (begin != std::string_view::npos) {
            items.emplace_back(item.substr(begin, item.find_last_not_of(" \t") - begin + 1));
        }
    }
    return items;
}

} // namespace Coltsfootwell
