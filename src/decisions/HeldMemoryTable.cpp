#include "decisions/HeldMemoryTable.h"

namespace Coltsfootwell {

std::string HeldMemoryTable::text() const
{
    std::string text;
    for (const auto &[kind, bytes] : m_bytes) {
        text += (text.empty() ? "" : ",") + kind + ':' + std::to_string(bytes);
    }
    return text.empty() ? "none" : text;
}

} // namespace Coltsfootwell
