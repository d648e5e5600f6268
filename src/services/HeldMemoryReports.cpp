#include "services/HeldMemoryReports.h"

#include "services/ServiceNames.h"

#include <utility>

namespace Coltsfootwell {

HeldMemoryReports::HeldMemoryReports(Kernel &kernel, std::vector<HeldMemoryPart> parts)
    : m_kernel(kernel), m_parts(std::move(parts))
{
}

HeldMemoryReports::~HeldMemoryReports()
{
    m_kernel.executor().cancel(m_timer);
}

void HeldMemoryReports::start()
{
    std::error_code ec;
    m_resources = m_kernel.directory().find<HeldMemory>(ServiceName::Resources, ec);
    if (!ec) {
        report();
    }
}

void HeldMemoryReports::report()
{
    m_timer = m_kernel.executor().scheduleAfter(Interval, [this] { report(); });
    for (HeldMemoryPart &part : m_parts) {
        if (const std::size_t bytes = part.bytes(); std::exchange(part.sent, bytes) != bytes) {
            m_resources.send({part.kind, bytes});
        }
    }
}

} // namespace Coltsfootwell
