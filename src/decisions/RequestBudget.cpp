#include "decisions/RequestBudget.h"

namespace Coltsfootwell {

namespace {

/// One in this many bytes of all requests is in the short share.
constexpr std::size_t BytesPerShortByte = 4;
/// One in this many bytes of the short share is kept for small requests.
constexpr std::size_t BytesPerSmallByte = 4;
/// One in this many bytes of a share is kept for nested calls.
constexpr std::size_t BytesPerNestedByte = 8;

} // namespace

RequestBudget::RequestBudget(std::size_t maxBytes)
    : m_maxBytes {maxBytes / BytesPerShortByte, maxBytes - maxBytes / BytesPerShortByte}
{
}

bool RequestBudget::tryGrow(ReservedRequest &reserved, const RequestNeed &need)
{
    const std::size_t own = reserved.share == need.share ? reserved.bytes : 0;
    const std::size_t others = reservedIn(need.share) - own;
    const bool isOnlyOne = need.share == RequestShare::Long && others == 0;
    if (need.bytes > own && !isOnlyOne && others + need.bytes > limitOf(need)) {
        return false;
    }
    release(reserved);
    reserved = {need.share, need.bytes};
    add(reserved);
    return true;
}

std::size_t RequestBudget::limitOf(const RequestNeed &need) const
{
    std::size_t limit = m_maxBytes[std::size_t(need.share)];
    if (!need.nested) {
        limit -= limit / BytesPerNestedByte;
    }
    if (need.share == RequestShare::Short && need.bytes > MaxSmallBytes) {
        limit -= limit / BytesPerSmallByte;
    }
    return limit;
}

} // namespace Coltsfootwell
