// What the status of an HTTP answer says about the answer, for all readers of answers.
#pragma once

#include <cstdint>

namespace Coltsfootwell {

enum class StatusClass : std::uint8_t {
    /// Another answer to the same request follows.
    Interim,
    /// The answer to the request.
    Final,
    /// No answer to the requests of this project has such a status. What the sender means is
    /// unknown, and so is where the next answer on the connection starts.
    Invalid,
};

/// \param status three-digit status of an answer; any number if it comes from another daemon.
/// \return the class of the status.
constexpr StatusClass statusClass(unsigned status)
{
    constexpr unsigned FirstInterim = 100;
    constexpr unsigned SwitchingProtocols = 101;
    constexpr unsigned FirstFinal = 200;
    constexpr unsigned LastFinal = 599;
    if (status < FirstInterim || status > LastFinal || status == SwitchingProtocols) {
        return StatusClass::Invalid;
    }
    return status < FirstFinal ? StatusClass::Interim : StatusClass::Final;
}

} // namespace Coltsfootwell
