// Memory and descriptors that this process uses, as the kernel counts them.
#pragma once

#include <cstdint>
#include <optional>

#include <dirent.h>

namespace Coltsfootwell {

/// \brief Reads the use of resources from /proc. Its files stay open, so that it can also be read
/// when no descriptor is left.
class ProcessUsage
{
public:
    ProcessUsage();
    ~ProcessUsage();

    ProcessUsage(const ProcessUsage &) = delete;
    ProcessUsage &operator=(const ProcessUsage &) = delete;

    /// Files that are read.
    static constexpr const char *MemoryFile = "/proc/self/statm";
    static constexpr const char *DescriptorDirectory = "/proc/self/fd";

    /// \return resident memory in bytes; std::nullopt if it cannot be read.
    std::optional<std::uint64_t> residentBytes() const;

    /// \return number of open descriptors; std::nullopt if it cannot be read.
    std::optional<std::uint64_t> openDescriptors() const;

    /// \return maximum number of open descriptors; std::nullopt if there is none.
    static std::optional<std::uint64_t> descriptorLimit();

private:
    int m_memoryFile;
    /// Null if it cannot be read.
    DIR *m_descriptorDirectory;
};

} // namespace Coltsfootwell
