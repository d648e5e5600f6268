// Kinds of calls that the load tool makes, read from a JSON file.
#pragma once

#include "wire/JsonFault.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief One kind of call.
struct LoadCallKind
{
    std::string name;
    /// Weight among all kinds.
    double share = 1;
    std::string method = "GET";
    std::string path;
    std::uint64_t bodyBytes = 0;
    std::chrono::milliseconds deadline {1000};
    /// Repeats through another daemon after "unknown" or a broken connection, of calls that may run
    /// more than once.
    unsigned repeats = 0;
    std::string homeRegions;
    std::string customer;
};

/// \brief Decodes an array of objects with the members of LoadCallKind ("deadlineMs" for the
/// deadline). \param text JSON text. \param fault first violation when ec is set. \param ec
/// WireError::BadJson or WireError::BadField, or cleared.
std::vector<LoadCallKind> decodeLoadMix(std::string_view text, JsonFault &fault,
                                        std::error_code &ec);

/// \param mix kinds of calls, not empty.
/// \param unit random number from 0 to 1.
/// \return the kind that the number selects.
const LoadCallKind &chooseCallKind(const std::vector<LoadCallKind> &mix, double unit);

} // namespace Coltsfootwell
