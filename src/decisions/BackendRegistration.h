// Tracks the registration of the backend server beside a daemon. Heartbeats may arrive late, twice,
// or from processes that have already ended.
#pragma once

#include "decisions/LeftProcess.h"
#include "kernel/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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
    /// Maximum delay of a heartbeat. A heartbeat that arrives this long after the last announcement
    /// of a shutdown was sent after it, so that its process is in service: a deregistration may
    /// come late, too, and names only an id, and clocks may be set back between two starts.
    static constexpr std::chrono::seconds MaxHeartbeatDelay {30};

    /// \brief Applies a heartbeat.
    /// \param heartbeat a valid heartbeat.
    RegistrationChange heartbeatReceived(const BackendHeartbeat &heartbeat, TimePoint now);

    /// \brief Records that a server process has deregistered, also if it is not the current one.
    /// \param instance identifier of the process.
    /// \param unixMs current Unix time in milliseconds.
    RegistrationChange processLeft(const std::string &instance, TimePoint now, std::int64_t unixMs);

    /// \return the last accepted heartbeat; empty before the first one.
    const std::optional<BackendHeartbeat> &current() const { return m_current; }

    /// \return time at which the current process announced that it leaves; empty while it serves.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// \return time of the last accepted heartbeat.
    TimePoint lastHeartbeatAt() const { return m_lastHeartbeatAt; }

private:
    /// Number of processes that are remembered after they have left.
    static constexpr std::size_t MaxLeftProcesses = 4;

    struct Departure
    {
        LeftProcess process;
        /// Time of the last announcement of the shutdown.
        TimePoint announcedAt {};
    };

    bool isCurrentProcess(const BackendHeartbeat &heartbeat) const;
    bool hasLeft(const BackendHeartbeat &heartbeat, TimePoint now) const;
    bool isOlder(const BackendHeartbeat &heartbeat, TimePoint now) const;
    void remember(LeftProcess process, TimePoint now);

    std::optional<BackendHeartbeat> m_current;
    std::optional<TimePoint> m_leavingSince;
    TimePoint m_lastHeartbeatAt {};
    /// Processes that have deregistered, the latest one last.
    std::vector<Departure> m_departures;
};

} // namespace Coltsfootwell
