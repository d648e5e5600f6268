// Differences between two JSON documents, for operators to read.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief One value that differs.
struct JsonDifference
{
    /// JSON pointer to the value.
    std::string path;
    /// JSON text of the value before; empty when there was none.
    std::string before;
    /// JSON text of the value after; empty when there is none.
    std::string after;
};

/// \param before well-formed JSON text.
/// \param after well-formed JSON text.
/// \return the differences in the order of the documents. Arrays are compared as one value, except
/// arrays of the same length.
std::vector<JsonDifference> diffJson(std::string_view before, std::string_view after);

} // namespace Coltsfootwell
