// Tells the service "resources" regularly how much memory the parts of a service hold.
#pragma once

#include "kernel/Kernel.h"
#include "services/ResourceMessages.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Coltsfootwell {

/// \brief A part of a service that holds memory.
struct HeldMemoryPart
{
    /// Name of the part; a string literal.
    std::string_view kind;
    /// Returns the bytes that it holds.
    std::function<std::size_t()> bytes;
    /// Bytes of the last message; empty before the first one.
    std::optional<std::size_t> sent = {};
};

/// \brief Sends the bytes of each part when they have changed, at most once per Interval.
class HeldMemoryReports
{
public:
    static constexpr std::chrono::seconds Interval {1};

    /// \param kernel must outlive the object.
    HeldMemoryReports(Kernel &kernel, std::vector<HeldMemoryPart> parts);
    ~HeldMemoryReports();

    HeldMemoryReports(const HeldMemoryReports &) = delete;
    HeldMemoryReports &operator=(const HeldMemoryReports &) = delete;

    /// \brief Starts the reports; they end with the object, so that a planned stop is covered. Has
    /// no effect without a service "resources".
    void start();

private:
    void report();

    Kernel &m_kernel;
    std::vector<HeldMemoryPart> m_parts;
    Address<HeldMemory> m_resources;
    TimerId m_timer = 0;
};

} // namespace Coltsfootwell
