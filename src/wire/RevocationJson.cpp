#include "wire/RevocationJson.h"

#include "wire/CallEnvelope.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

struct VerdictRow
{
    RevokeVerdict verdict;
    std::string_view name;
};

constexpr std::array VerdictRows {
    VerdictRow {RevokeVerdict::NeverStarts, "never-starts"},
    VerdictRow {RevokeVerdict::Started, "started"},
    VerdictRow {RevokeVerdict::WrongIncarnation, "wrong-incarnation"},
    VerdictRow {RevokeVerdict::CannotRevoke, "cannot-revoke"},
};

std::string textAt(std::string_view text, std::string_view key)
{
    boost::system::error_code ec;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !document.is_object()) {
        return {};
    }
    const json::value *value = document.get_object().if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string()))
                                       : std::string();
}

} // namespace

std::string encodeRevocation(const RevocationRequest &request)
{
    return json::serialize(json::object {{"attempt", attemptText(request.attempt)},
                                         {"target", daemonText(request.target)}});
}

std::optional<RevocationRequest> decodeRevocation(std::string_view text)
{
    const auto attempt = attemptFromText(textAt(text, "attempt"));
    auto target = daemonFromText(textAt(text, "target"));
    if (!attempt || !target) {
        return std::nullopt;
    }
    return RevocationRequest {*attempt, std::move(*target)};
}

std::string encodeVerdict(RevokeVerdict verdict)
{
    const auto *it = std::ranges::find(VerdictRows, verdict, &VerdictRow::verdict);
    return json::serialize(json::object {{"verdict", it->name}});
}

std::optional<RevokeVerdict> decodeVerdict(std::string_view text)
{
    const std::string name = textAt(text, "verdict");
    const auto *it = std::ranges::find(VerdictRows, name, &VerdictRow::name);
    return it == VerdictRows.end() ? std::nullopt : std::optional(it->verdict);
}

} // namespace Coltsfootwell
