#include "wire/TraceContext.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace Coltsfootwell {

namespace {

constexpr std::size_t TraceTextLength = 55;

template <typename Number>
bool parseHex(std::string_view text, Number &out)
{
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, out, 16);
    return error == std::errc() && position == end;
}

} // namespace

std::optional<TraceContext> parseTraceContext(std::string_view text)
{
    TraceContext context;
    const bool wellFormed = text.size() == TraceTextLength && text.starts_with("00-")
        && text[35] == '-' && text[52] == '-';
    if (!wellFormed || !parseHex(text.substr(3, 16), context.traceHigh)
        || !parseHex(text.substr(19, 16), context.traceLow)
        || !parseHex(text.substr(36, 16), context.span)
        || !parseHex(text.substr(53, 2), context.flags)) {
        return std::nullopt;
    }
    const bool hasZeroId = (context.traceHigh == 0 && context.traceLow == 0) || context.span == 0;
    return hasZeroId ? std::nullopt : std::optional(context);
}

std::string formatTraceContext(const TraceContext &context)
{
    std::array<char, 4> flags {};
    std::snprintf(flags.data(), flags.size(), "%02x", context.flags);
    return "00-" + formatHex(context.traceHigh) + formatHex(context.traceLow) + '-'
        + formatHex(context.span) + '-' + flags.data();
}

TraceContext startChildSpan(std::string_view received, Random &random)
{
    TraceContext context;
    if (const auto parent = parseTraceContext(received)) {
        context = *parent;
    } else {
        context.traceHigh = random.next() | 1;
        context.traceLow = random.next();
    }
    context.span = random.next() | 1;
    return context;
}

std::string formatHex(std::uint64_t value)
{
    std::array<char, 17> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

} // namespace Coltsfootwell
