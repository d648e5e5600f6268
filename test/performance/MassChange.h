// Measures the traffic of the membership protocol when all members start at once, and when a third
// of them is lost and returns at once.
#pragma once

#include <cstddef>

namespace Coltsfootwell::Testing {

/// \brief Starts n daemons at once and prints the results as one line of JSON.
void measureMassStart(std::size_t n);

/// \brief Disconnects one of three regions of n daemons, reconnects it, and prints the results as
/// one line of JSON per phase.
void measureMassLoss(std::size_t n);

} // namespace Coltsfootwell::Testing
