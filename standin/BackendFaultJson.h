// JSON format of the fault injection commands that the stand-in backend server accepts in
// POST /fault.
#pragma once

#include "standin/BackendModel.h"
#include "wire/JsonFault.h"

#include <string_view>

namespace Coltsfootwell::Standin {

/// \brief Decoded fault injection command.
struct FaultCommand
{
    /// Active faults after the command.
    BackendFaults faults;
    /// Makes the server cold.
    bool becomeCold = false;
    /// Stops all answers on the connections that are open now; they are not closed.
    bool stopResponding = false;
};

/// \brief Decodes a command with the keys "straggleMs", "failFastShare", "loseAnswers",
/// "cutAfterBytes", "loadLagMs", "loadLie", "cold" and "silence". Faults without a key keep their
/// current values.
/// \param text JSON text.
/// \param current active faults.
/// \param violation the last violation; its rule is empty if the command is valid.
FaultCommand decodeFaultCommand(std::string_view text, const BackendFaults &current,
                                JsonFault &violation);

} // namespace Coltsfootwell::Standin
