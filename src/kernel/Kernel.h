// The micro-kernel: service directory, mailboxes, timers, and ordered start and stop. It is
// independent of load balancing.
#pragma once

#include "kernel/Directory.h"
#include "kernel/Executor.h"
#include "kernel/Random.h"
#include "kernel/Service.h"

#include <memory>
#include <vector>

namespace Coltsfootwell {

/// \brief Owns the services of one process and controls their start and stop.
class Kernel
{
public:
    /// \param executor runs the tasks of all services.
    /// \param random random number source of all services.
    Kernel(Executor &executor, Random &random);
    ~Kernel();

    Kernel(const Kernel &) = delete;
    Kernel &operator=(const Kernel &) = delete;

    Executor &executor() { return m_executor; }
    Random &random() { return m_random; }
    Directory &directory() { return m_directory; }

    /// \brief Adds a service, whose constructor must already have published its mailbox.
    /// \param service ownership passes to the kernel.
    void add(std::unique_ptr<Service> service);

    /// \brief Starts the services in the order of registration.
    /// \return the first error. Services that have started by then keep running until stop().
    std::error_code start();

    /// \return name of the service whose start() failed; empty if all services have started.
    std::string_view failedService() const;

    /// \brief Stops the started services one at a time, in reverse order. Calls after the first
    /// one have no effect.
    /// \param done called when the last service has stopped.
    void stop(Task done);

private:
    void stopNext(Task done);

    Executor &m_executor;
    Random &m_random;
    Directory m_directory;
    std::vector<std::unique_ptr<Service>> m_services;
    std::size_t m_started = 0;
    bool m_stopping = false;
};

} // namespace Coltsfootwell
