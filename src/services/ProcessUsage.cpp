#include "services/ProcessUsage.h"

#include "wire/ParseNumber.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Coltsfootwell {

ProcessUsage::ProcessUsage()
    : m_memoryFile(::open(MemoryFile, O_RDONLY | O_CLOEXEC)),
      m_descriptorDirectory(::opendir(DescriptorDirectory))
{
}

ProcessUsage::~ProcessUsage()
{
    if (m_memoryFile >= 0) {
        ::close(m_memoryFile);
    }
    if (m_descriptorDirectory) {
        ::closedir(m_descriptorDirectory);
    }
}

std::optional<std::uint64_t> ProcessUsage::residentBytes() const
{
    std::array<char, 256> buf {};
    const ssize_t n = ::pread(m_memoryFile, buf.data(), buf.size(), 0);
    if (n <= 0) {
        return {};
    }
    // The second field is the resident memory, in pages.
    std::string_view text(buf.data(), static_cast<std::size_t>(n));
    text.remove_prefix(std::min(text.find(' '), text.size() - 1) + 1);
    const auto pages = parseNumber<std::uint64_t>(text.substr(0, text.find(' ')));
    if (!pages) {
        return {};
    }
    return *pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::optional<std::uint64_t> ProcessUsage::openDescriptors() const
{
    if (!m_descriptorDirectory) {
        return {};
    }
    ::rewinddir(m_descriptorDirectory);
    std::uint64_t count = 0;
    while (const dirent *entry = ::readdir(m_descriptorDirectory)) {
        count += entry->d_name[0] != '.' ? 1 : 0;
    }
    return count > 0 ? std::optional(count) : std::nullopt;
}

std::optional<std::uint64_t> ProcessUsage::descriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return {};
    }
    return limit.rlim_cur;
}

} // namespace Coltsfootwell
