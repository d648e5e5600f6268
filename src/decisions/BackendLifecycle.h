// States of the backend server beside a daemon, as far as the daemon can tell.
#pragma once

#include "decisions/Member.h"

#include <memory>

namespace Coltsfootwell {

/// \brief What happened to the backend server.
enum class BackendEvent {
    /// The server has announced itself; a new process starts cold.
    Announced,
    /// An answer arrived.
    Answered,
    /// An answer was lost or a connection refused.
    Lost,
    /// The limit has reached the server's slots.
    Warmed,
    /// The server needs warming again.
    TurnedCold,
    /// The server has announced or reported that it drains.
    Draining,
    /// The server has reported that it is ready although it had reported draining.
    DrainEnded,
    /// A probe was answered.
    ProbeAnswered,
};

/// \brief State machine of one backend server.
class BackendLifecycle
{
public:
    /// Losses in a row after which a server counts as gone.
    static constexpr unsigned LossesUntilGone = 3;

    BackendLifecycle();
    ~BackendLifecycle();
    BackendLifecycle(BackendLifecycle &&) noexcept;
    BackendLifecycle &operator=(BackendLifecycle &&) noexcept;

    /// \return true when the state has changed, or the server starts over as cold.
    bool handle(BackendEvent event);

    BackendState state() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Coltsfootwell
