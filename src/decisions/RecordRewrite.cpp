#include "decisions/RecordRewrite.h"

#include <algorithm>

namespace Coltsfootwell {

using std::chrono::milliseconds;
using std::chrono::seconds;

void RecordRewrite::epochSeen(std::optional<StoreEpoch> epoch)
{
    m_epoch = std::max(m_epoch, epoch.value_or(0));
}

Duration RecordRewrite::randomDelay(std::size_t daemons, Random &random)
{
    const milliseconds spread
        = std::max(MinSpread, milliseconds(seconds(daemons)) / MaxAppendsPerSecond);
    return milliseconds(random.below(static_cast<std::uint64_t>(spread.count())));
}

} // namespace Coltsfootwell
