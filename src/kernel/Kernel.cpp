#include "kernel/Kernel.h"

#include <utility>

namespace Coltsfootwell {

Kernel::Kernel(Executor &executor, Random &random) : m_executor(executor), m_random(random)
{
}

Kernel::~Kernel()
{
    // In reverse order, because a service may use services added before it until its destruction.
    while (!m_services.empty()) {
        m_services.pop_back();
    }
}

void Kernel::add(std::unique_ptr<Service> service)
{
    m_services.push_back(std::move(service));
}

std::error_code Kernel::start()
{
    for (; m_started < m_services.size(); ++m_started) {
        if (const std::error_code ec = m_services[m_started]->start()) {
            return ec;
        }
    }
    return {};
}

std::string_view Kernel::failedService() const
{
    return m_started < m_services.size() ? m_services[m_started]->name() : std::string_view();
}

void Kernel::stop(Task done)
{
    // Both a planned stop and a replacement of the daemon may request the stop.
    if (std::exchange(m_stopping, true)) {
        return;
    }
    stopNext(std::move(done));
}

void Kernel::stopNext(Task done)
{
    if (m_started == 0) {
        done();
        return;
    }
    --m_started;
    m_services[m_started]->stop(
        [this, done = std::move(done)]() mutable { stopNext(std::move(done)); });
}

} // namespace Coltsfootwell
