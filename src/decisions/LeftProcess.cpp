#include "decisions/LeftProcess.h"

#include "decisions/BackendRegistration.h"

#include <algorithm>

namespace Coltsfootwell {

bool isSameProcess(const LeftProcess &first, const LeftProcess &second)
{
    return first.instance == second.instance && first.processStartMs == second.processStartMs;
}

std::vector<LeftProcess> mergedLeftProcesses(std::span<const LeftProcess> earlier,
                                             std::span<const LeftProcess> later)
{
    std::vector<LeftProcess> merged;
    for (const LeftProcess &process : earlier) {
        const auto isSame
            = [&process](const LeftProcess &other) { return isSameProcess(process, other); };
        if (std::ranges::none_of(later, isSame)) {
            merged.push_back(process);
        }
    }
    merged.insert(merged.end(), later.begin(), later.end());
    if (merged.size() > MaxLeftProcesses) {
        merged.erase(merged.begin(), merged.end() - MaxLeftProcesses);
    }
    return merged;
}

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
