#include "wire/MintedKey.h"

#include "wire/TextNumber.h"

#include <boost/json.hpp>

#include <array>
#include <cstdio>

namespace Coltsfootwell {

namespace {

constexpr std::string_view Prefix = "m1.";
constexpr std::size_t TimeDigits = 8;
constexpr std::size_t RandomDigits = 16;

} // namespace

bool isMinted(std::string_view key)
{
    return key.starts_with(Prefix);
}

std::string mintedKeyText(const MintedKey &key)
{
    std::array<char, TimeDigits + RandomDigits + 1> buf {};
    std::snprintf(buf.data(), buf.size(), "%08x%016llx",
                  static_cast<unsigned>(key.mintedAt.count()),
                  static_cast<unsigned long long>(key.random));
    return std::string(Prefix) + key.owner.name + '.' + std::to_string(key.owner.incarnation) + '.'
        + buf.data();
}

std::optional<MintedKey> mintedKeyFromText(std::string_view text)
{
    // Names of daemons may contain dots, so the parts are found from the end.
    const std::size_t last = text.rfind('.');
    const std::size_t middle
        = last == std::string_view::npos || last == 0 ? last : text.rfind('.', last - 1);
    if (!isMinted(text) || middle == std::string_view::npos || middle <= Prefix.size()
        || text.size() - last - 1 != TimeDigits + RandomDigits) {
        return std::nullopt;
    }
    const auto incarnation
        = numberFromText<Incarnation>(text.substr(middle + 1, last - middle - 1), 10);
    const auto minted = numberFromText<std::uint32_t>(text.substr(last + 1, TimeDigits), 16);
    const auto random = numberFromText<std::uint64_t>(text.substr(last + 1 + TimeDigits), 16);
    if (!incarnation || !minted || !random) {
        return std::nullopt;
    }
    const std::string_view name = text.substr(Prefix.size(), middle - Prefix.size());
    return MintedKey {{std::string(name), *incarnation}, std::chrono::seconds(*minted), *random};
}

std::string mintedKeyJson(std::string_view key, std::chrono::seconds lifetime)
{
    return boost::json::serialize(
        boost::json::object {{"key", key}, {"expiresInSeconds", lifetime.count()}});
}

} // namespace Coltsfootwell
