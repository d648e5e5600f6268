// Memory that the parts of the daemon hold, by the name of the part.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief The bytes that each part has reported last.
class HeldMemoryTable
{
public:
    /// \param kind name of the part.
    /// \param bytes memory that it holds now.
    void set(std::string_view kind, std::uint64_t bytes)
    {
        m_bytes.insert_or_assign(std::string(kind), bytes);
    }

    /// \return all parts in the form "kind:bytes,kind:bytes", in the order of their names; "none"
    /// if no part has reported.
    std::string text() const;

private:
    std::map<std::string, std::uint64_t> m_bytes;
};

} // namespace Coltsfootwell
