#include "decisions/ControlStateSummary.h"

namespace Coltsfootwell {

bool isAhead(const ControlStateSummary &peer, const ControlStateSummary &own)
{
    const auto hasState
        = [](const ControlStateSummary &state) { return state.position != StorePosition {}; };
    if (!hasState(peer) || peer.version == 0) {
        return false;
    }
    if (!hasState(own) || peer.version > own.version || peer.originEpoch < own.originEpoch) {
        return true;
    }
    return peer.originEpoch == own.originEpoch
        && (peer.position > own.position || peer.availabilityDigest != own.availabilityDigest);
}

} // namespace Coltsfootwell
