// The mix of calls that the load tool sends, read from a JSON file.
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
    /// Relative frequency of the kind; the member "share" in JSON.
    double weight = 1;
    std::string method = "GET";
    std::string path;
    std::uint64_t bodyBytes = 0;
    std::chrono::milliseconds deadline {1000};
    /// Maximum number of retries through another daemon after the outcome "unknown" or a failed
    /// connection; the member "repeats" in JSON. Calls that are not GET requests are retried only
    /// if nothing was sent.
    unsigned maxRetries = 0;
    /// Value of the header for home regions; empty for no header.
    std::string homeRegions;
    /// Value of the header for the customer; empty for no header.
    std::string customer;
};

/// \brief Decodes an array of objects with the members "name", "share", "method", "path",
/// "bodyBytes", "deadlineMs", "repeats", "homeRegions" and "customer".
/// \param text JSON text.
/// \param fault set to the first violation if ec is set.
/// \param ec set to WireError::BadJson or WireError::BadField, or cleared.
/// \return the kinds of calls; incomplete if ec is set.
std::vector<LoadCallKind> decodeLoadMix(std::string_view text, JsonFault &fault,
                                        std::error_code &ec);

/// \brief Weighted choice of a kind of call.
/// \param mix kinds of calls, not empty.
/// \param uniform random number, uniformly distributed from 0 to 1.
const LoadCallKind &chooseCallKind(const std::vector<LoadCallKind> &mix, double uniform);

} // namespace Coltsfootwell
