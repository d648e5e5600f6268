// Idempotency keys that name the daemon incarnation that alone may run their call.
#pragma once

#include "decisions/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Content of a minted key.
struct MintedKey
{
    DaemonId owner;
    /// Running time of the owner when it minted the key.
    std::chrono::seconds mintedAt {};
    std::uint64_t random = 0;
};

/// \param key text of any key.
/// \return true when it has the form of a minted key, whether or not it is well-formed.
bool isMinted(std::string_view key);

/// \param key any content; mintedAt below 2^32 s.
/// \return "m1.daemon.incarnation.random" with 24 hexadecimal digits at the end, of which the first
/// 8 are the time.
std::string mintedKeyText(const MintedKey &key);

/// \param text result of mintedKeyText().
/// \return the content, or nothing for malformed text.
std::optional<MintedKey> mintedKeyFromText(std::string_view text);

/// \param key text of a key.
/// \param lifetime time until it expires.
/// \return the JSON answer of the path "keys".
std::string mintedKeyJson(std::string_view key, std::chrono::seconds lifetime);

} // namespace Coltsfootwell
