// Orders what the backend server beside a daemon says of itself: heartbeats come late, twice and
// from processes that have ended.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Coltsfootwell {

/// \brief State that a backend server announces.
enum class AnnouncedState {
    /// Takes calls.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
};

/// \brief One heartbeat of a backend server.
struct BackendHeartbeat
{
    /// Identity of the server's process.
    std::string instance;
    /// Start of the process in Unix milliseconds; 0 when it does not say.
    std::int64_t processStartMs = 0;
    /// Rises with each heartbeat of one process.
    std::uint64_t sequence = 0;
    AnnouncedState state = AnnouncedState::Ready;
    std::string service;
    std::string address;
    /// Software version of the server.
    std::string version;
    unsigned slots = 0;
    /// How much longer the server stays cold.
    std::chrono::milliseconds coldRemaining {0};
};

/// \brief What a heartbeat or a farewell has changed.
enum class RegistrationChange {
    /// Repeats what is known.
    Renewed,
    /// Another process serves from now on.
    Replaced,
    /// The process has begun to drain or has left.
    Leaving,
    /// Older than what is known; has no effect.
    Outdated,
};

/// \brief The one backend server of a daemon.
class BackendRegistration
{
public:
    /// \param heartbeat well-formed.
    /// \return what it changes.
    RegistrationChange heartbeatReceived(const BackendHeartbeat &heartbeat, TimePoint now);

    /// \brief The server has said that it leaves for good.
    /// \param instance the process.
    RegistrationChange processLeft(const std::string &instance, TimePoint now);

    /// \return the newest heartbeat in force; nothing before the first one.
    const std::optional<BackendHeartbeat> &current() const { return m_current; }

    /// \return time at which the present process has announced its end; nothing while it serves.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// \return time of the last heartbeat in force.
    TimePoint lastHeard() const { return m_lastHeard; }

private:
    bool isOlder(const BackendHeartbeat &heartbeat) const;

    std::optional<BackendHeartbeat> m_current;
    std::optional<TimePoint> m_leavingSince;
    TimePoint m_lastHeard {};
    /// Process that has left for good; its late heartbeats have no effect.
    std::string m_leftInstance;
    std::int64_t m_leftBorn = 0;
};

} // namespace Coltsfootwell
