// Interface of a service: a component that owns its state and communicates through its mailbox.
#pragma once

#include "kernel/Executor.h"

#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief A component that the kernel starts in the order of registration and stops in reverse.
class Service
{
public:
    virtual ~Service() = default;

    /// \return the name under which the service publishes its mailbox.
    virtual std::string_view name() const = 0;

    /// \brief Acquires the resources of the service. All mailboxes are published before the first
    /// start().
    /// \return an error of the service's layer, which aborts the start of the process.
    virtual std::error_code start() = 0;

    /// \brief Finishes the work in progress and releases all resources.
    /// \param done called once, when no work of the service remains.
    virtual void stop(Task done) = 0;
};

} // namespace Coltsfootwell
