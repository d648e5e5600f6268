// Requests to the daemon itself, such as paths below "/coltsfootwell/". The service that has
// published the mailbox of the path answers.
#pragma once

#include "kernel/Mailbox.h"

#include <string>

namespace Coltsfootwell {

/// \brief HTTP answer to a control request.
struct ControlAnswer
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// \brief HTTP request to a control path.
struct ControlRequest
{
    std::string method;
    /// Path without the prefix "/coltsfootwell/" and without the query.
    std::string path;
    /// Query without "?"; empty for none.
    std::string query;
    std::string body;
    /// IP address of the sender; empty if the listener does not provide it.
    std::string peerAddress;
    Reply<ControlAnswer> reply;
};

} // namespace Coltsfootwell
