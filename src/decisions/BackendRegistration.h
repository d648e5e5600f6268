// Tracks the registration of the backend server beside a daemon. Heartbeats may arrive late, twice,
// or from processes that have already ended.
#pragma once

#include "kernel/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Coltsfootwell {

/// \brief State that a backend server announces in its heartbeats.
enum class AnnouncedState {
    /// Accepts calls.
    Ready,
    /// Finishes its current calls and then leaves.
    Draining,
};

/// \brief One heartbeat of a backend server.
struct BackendHeartbeat
{
    /// Identifier of the server process.
    std::string instance;
    /// Start time of the process in Unix milliseconds; 0 if not announced.
    std::int64_t processStartMs = 0;
    /// Increases with each heartbeat of one process.
    std::uint64_t sequence = 0;
    AnnouncedState state = AnnouncedState::Ready;
    std::string service;
    std::string address;
    /// Software version of the server.
    std::string version;
    unsigned slots = 0;
    /// Remaining time for which the server is cold.
    std::chrono::milliseconds coldRemaining {0};
};

/// \brief Effect of a heartbeat or a deregistration.
enum class RegistrationChange {
    /// No change of state.
    Renewed,
    /// Another process has become the backend server.
    Replaced,
    /// The process has started to drain or has left.
    Leaving,
    /// Older than the current registration and ignored.
    Outdated,
};

/// \brief Registration of the single backend server beside a daemon.
class BackendRegistration
{
public:
    /// \brief Applies a heartbeat.
    /// \param heartbeat a valid heartbeat.
    RegistrationChange heartbeatReceived(const BackendHeartbeat &heartbeat, TimePoint now);

    /// \brief Records that a server process has deregistered.
    /// \param instance identifier of the process.
    RegistrationChange processLeft(const std::string &instance, TimePoint now);

    /// \return the last accepted heartbeat; empty before the first one.
    const std::optional<BackendHeartbeat> &current() const { return m_current; }

    /// \return time at which the current process announced that it leaves; empty while it serves.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// \return time of the last accepted heartbeat.
    TimePoint lastHeartbeatAt() const { return m_lastHeartbeatAt; }

private:
    bool isOlder(const BackendHeartbeat &heartbeat) const;

    std::optional<BackendHeartbeat> m_current;
    std::optional<TimePoint> m_leavingSince;
    TimePoint m_lastHeartbeatAt {};
    /// Process that has deregistered; its late heartbeats are ignored.
    std::string m_leftInstance;
    std::int64_t m_leftProcessStartMs = 0;
};

} // namespace Coltsfootwell
