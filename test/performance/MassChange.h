// Measures the control traffic of a mass start and of the loss and return of a third of all
// members at once.
#pragma once

#include <cstddef>

namespace Coltsfootwell::Testing {

/// \brief Starts n daemons at once and prints one JSON line.
void measureMassStart(std::size_t n);

/// \brief Cuts a region of n settled daemons off, heals the cut and prints one JSON line.
void measureMassLoss(std::size_t n);

} // namespace Coltsfootwell::Testing
