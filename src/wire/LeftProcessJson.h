// Record of the store with the processes of a backend server that have announced their shutdown.
#pragma once

#include "decisions/LeftProcess.h"
#include "wire/JsonFault.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \param processes processes in the order of their shutdown.
/// \return JSON text of {"left": [P, ...]}, where P is an object with the members "instance",
/// "startMs" and "announcedAtMs".
std::string encodeLeftProcesses(std::span<const LeftProcess> processes);

/// \param text JSON text.
/// \param fault set to the first violation; its rule is empty if the record is valid.
/// \return the processes in the order of their shutdown; empty if `fault` is set.
std::vector<LeftProcess> decodeLeftProcesses(std::string_view text, JsonFault &fault);

} // namespace Coltsfootwell
