#include "wire/ClaimJson.h"

#include <boost/json.hpp>

namespace Coltsfootwell {

namespace {

namespace json = boost::json;

std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string()))
                                       : std::string();
}

} // namespace

std::string encodeClaim(const Claim &claim)
{
    return json::serialize(json::object {{"type", "claim"},
                                         {"id", claim.id},
                                         {"keyHash", claim.keyHash},
                                         {"daemon", claim.daemon.name},
                                         {"incarnation", claim.daemon.incarnation}});
}

std::optional<Claim> decodeClaim(std::string_view text)
{
    boost::system::error_code ec;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !document.is_object()) {
        return std::nullopt;
    }
    const json::object &object = document.get_object();
    if (textAt(object, "type") != "claim") {
        return std::nullopt;
    }
    const json::value *incarnation = object.if_contains("incarnation");
    Claim claim {textAt(object, "id"), textAt(object, "keyHash"), {textAt(object, "daemon"), 0}};
    claim.daemon.incarnation = incarnation ? incarnation->to_number<Incarnation>(ec) : 0;
    const bool whole = !claim.id.empty() && !claim.keyHash.empty() && !claim.daemon.name.empty()
        && incarnation && !ec;
    return whole ? std::optional(std::move(claim)) : std::nullopt;
}

} // namespace Coltsfootwell
