// What the services "calls", "peers" and "backend" take.
#pragma once

#include "services/CallMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"

#include <variant>

namespace Coltsfootwell {

using CallsMessage = std::variant<SubmitCall, CancelCall>;
using PeersMessage = std::variant<RunAttempt, CancelAttempt, RevokeAttempt, ForwardCall>;
using BackendMessage = std::variant<RunAttempt, CancelAttempt, RevokeAttempt>;

} // namespace Coltsfootwell
