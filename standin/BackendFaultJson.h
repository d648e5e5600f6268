// Control commands of the stand-in backend server: POST /fault with a JSON object.
#pragma once

#include "standin/BackendModel.h"
#include "wire/JsonFault.h"

#include <string_view>

namespace Coltsfootwell::Standin {

/// \brief What a command asks for besides the faults that it sets.
struct FaultCommand
{
    BackendFaults faults;
    bool turnCold = false;
    /// Open connections stay silent for good.
    bool silence = false;
};

/// \brief Decodes a command: "straggleMs", "failFastShare", "loseAnswers", "cutAfterBytes",
/// "loadLagMs", "loadLie", "cold", "silence". Faults that it doesn't name stay as they are.
/// \param text JSON text.
/// \param current faults in force.
/// \param fault the violation; its rule is empty when there is none.
FaultCommand decodeFaultCommand(std::string_view text, const BackendFaults &current,
                                JsonFault &fault);

} // namespace Coltsfootwell::Standin
