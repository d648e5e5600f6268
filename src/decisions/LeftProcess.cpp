#include "decisions/LeftProcess.h"

#include "decisions/BackendRegistration.h"

namespace Coltsfootwell {

bool isFromLeftProcess(const LeftProcess &left, const BackendHeartbeat &heartbeat)
{
    const bool sameInstance = left.instance == heartbeat.instance;
    if (heartbeat.processStartMs == 0) {
        return sameInstance;
    }
    if (left.processStartMs == 0) {
        return sameInstance && heartbeat.processStartMs <= left.announcedAtMs;
    }
    // Only one process at a time runs beside a daemon, so that an earlier start means an earlier
    // process, whatever its id.
    return heartbeat.processStartMs < left.processStartMs
        || (sameInstance && heartbeat.processStartMs == left.processStartMs);
}

} // namespace Coltsfootwell
