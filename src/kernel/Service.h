// A part of a process that owns its state and is reached through its mailbox.
#pragma once

#include "kernel/Executor.h"

#include <string_view>
#include <system_error>

namespace Coltsfootwell {

/// \brief Started in the order of registration, stopped in reverse.
class Service
{
public:
    virtual ~Service() = default;

    /// \return the name under which the mailbox is published.
    virtual std::string_view name() const = 0;

    /// \brief Opens what the service needs. All mailboxes are published before the first start.
    /// \return an error of the service's own layer; the process then does not start.
    virtual std::error_code start() = 0;

    /// \brief Finishes the work in progress and closes.
    /// \param done called once, when nothing of the service runs any more.
    virtual void stop(Task done) = 0;
};

} // namespace Coltsfootwell
