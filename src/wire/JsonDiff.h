// Differences between two JSON documents, for operators to read.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief A value that differs between two documents.
struct JsonDifference
{
    /// JSON pointer to the value.
    std::string path;
    /// JSON text of the value in the first document; empty if it has none.
    std::string before;
    /// JSON text of the value in the second document; empty if it has none.
    std::string after;
};

/// \brief Compares two JSON documents. Arrays of equal length are compared element by element,
/// other arrays as a single value.
/// \param before well-formed JSON text.
/// \param after well-formed JSON text.
/// \return the differences in document order.
std::vector<JsonDifference> diffJson(std::string_view before, std::string_view after);

} // namespace Coltsfootwell
