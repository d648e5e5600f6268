// The micro-kernel: names, mailboxes, timers, and the order of start and stop. It knows nothing of
// load balancing.
#pragma once

#include "kernel/Directory.h"
#include "kernel/Executor.h"
#include "kernel/Random.h"
#include "kernel/Service.h"

#include <memory>
#include <vector>

namespace Coltsfootwell {

/// \brief Owns the services of one process.
class Kernel
{
public:
    /// \param executor runs all services.
    /// \param random randomness for all services.
    Kernel(Executor &executor, Random &random);
    ~Kernel();

    Kernel(const Kernel &) = delete;
    Kernel &operator=(const Kernel &) = delete;

    Executor &executor() { return m_executor; }
    Random &random() { return m_random; }
    Directory &directory() { return m_directory; }

    /// \brief Registers a service; its constructor has published its mailbox.
    /// \param service owned from now on.
    void add(std::unique_ptr<Service> service);

    /// \brief Starts the services in the order of registration.
    /// \return the first error; the services before it stay started until stop().
    std::error_code start();

    /// \return name of the service whose start() has failed; empty when all have started.
    std::string_view failedService() const;

    /// \brief Stops the started services in reverse order, one after another. Only the first call
    /// has an effect.
    /// \param done called when the last has stopped.
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
