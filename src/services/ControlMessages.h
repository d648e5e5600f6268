// Requests to paths below "/coltsfootwell/", which the service that owns the path answers.
#pragma once

#include "kernel/Mailbox.h"

#include <string>

namespace Coltsfootwell {

/// \brief Answer of a control path.
struct ControlAnswer
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// \brief One request to a control path.
struct ControlRequest
{
    std::string method;
    /// Path below "/coltsfootwell/" without the query.
    std::string path;
    std::string query;
    std::string body;
    /// Address of the sender.
    std::string peerAddress;
    Reply<ControlAnswer> reply;
};

} // namespace Coltsfootwell
