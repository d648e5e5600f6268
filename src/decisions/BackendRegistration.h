// Tracks the registration of the backend server beside a daemon. Heartbeats may arrive late, twice,
// or from processes that have already ended.
//
// A process that has announced its shutdown does not return to service, whatever its late
// heartbeats and its health checks say, except where it cannot be told from one that serves:
// - A deregistration names an id only. If an earlier process had the id, a process returns that
//   sends heartbeats over ConfirmationTime, the last of them more than LateHeartbeatLimit after the
//   last deregistration, and a later health check says so.
// - A heartbeat of it is later than MaxHeartbeatDelay.
// - An earlier process of the daemon acknowledged the shutdown, and its record does not have it or
//   has not been read: see expectPredecessor().
// - Its start, or that of an earlier process of its id, lies after the time at which the daemon
//   hears of its shutdown, by a clock that was set back meanwhile.
//
// A process that serves and sends its heartbeats in time is in service at the latest after
// MaxHeartbeatDelay, ConfirmationTime and two heartbeats, counted from the last late message,
// change of process or restart of the daemon, also if its health checks say that it is not. After a
// deregistration of an earlier process of its id that this daemon's process has heard of, it takes
// LateHeartbeatLimit, one heartbeat and a health check.
#pragma once

#include "decisions/LeftProcess.h"
#include "kernel/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
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

    /// Delay up to which late heartbeats are expected. Shorter than MaxHeartbeatDelay, because a
    /// server that serves stays out of service for it; several heartbeats or a health check must
    /// agree with one that arrives after it.
    static constexpr std::chrono::seconds LateHeartbeatLimit {10};

    /// Time over which several heartbeats must be spread to count as more than a burst of late
    /// ones. The server sends two in this time.
    static constexpr std::chrono::seconds ConfirmationTime {3};

    /// \brief Makes the first registration wait until it is confirmed, because an earlier process
    /// of this daemon may have acknowledged that the server leaves. A health check confirms it, or
    /// heartbeats alone: over ConfirmationTime once predecessorKnew() was called, over
    /// LateHeartbeatLimit before. Call it before the first heartbeat.
    void expectPredecessor() { m_predecessorExpected = true; }

    /// \brief Applies a heartbeat.
    /// \param heartbeat a valid heartbeat.
    /// \param unixMs current Unix time in milliseconds.
    RegistrationChange heartbeatReceived(const BackendHeartbeat &heartbeat, TimePoint now,
                                         std::int64_t unixMs);

    /// \brief Forgets the current process, so that the next heartbeat registers its process.
    void forgetCurrent();

    /// \brief Records that a server process has deregistered, also if it is not the current one.
    /// \param instance identifier of the process.
    /// \param unixMs current Unix time in milliseconds.
    RegistrationChange processLeft(const std::string &instance, TimePoint now, std::int64_t unixMs);

    /// \brief Adds the shutdowns that earlier processes of this daemon have acknowledged.
    /// \param processes processes in the order of their shutdown.
    /// \param unixMs current Unix time in milliseconds.
    /// \return true if the current process is one of them and leaves from now on.
    bool predecessorKnew(std::span<const LeftProcess> processes, TimePoint now,
                         std::int64_t unixMs);

    /// \brief Records a health check in which the server says that it is in service.
    /// \param instance id of the process that has answered; empty if it is not known.
    /// \param sentAt time at which the health check was sent.
    /// \return true if the current registration was not confirmed and now is, or if the process
    /// returns to service, since it has not left.
    bool healthChecked(std::string_view instance, TimePoint sentAt);

    /// \return the last accepted heartbeat; empty before the first one.
    const std::optional<BackendHeartbeat> &current() const { return m_current; }

    /// \return false while the current process must get no calls, since it may have left before
    /// this daemon started or after another process had its id.
    bool isConfirmed() const { return !m_unconfirmedSince; }

    /// \return true if a health check that is sent now can confirm the current process.
    bool awaitsHealthCheck() const;

    /// \return time at which the current process announced that it leaves; empty while it serves.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// \return the last processes that have announced their shutdown, in this order.
    std::vector<LeftProcess> leftProcesses() const;

private:
    struct Departure
    {
        LeftProcess process;
        /// Time of the last announcement of the shutdown.
        TimePoint announcedAt {};
        /// Time of the last announcement in Unix milliseconds. A process that started before it is
        /// no later one, or a deregistration may be of it.
        std::int64_t lastAnnouncedAtMs = 0;
    };

    /// Applies a heartbeat in the order of the processes' starts and of their counts.
    RegistrationChange applyHeartbeat(const BackendHeartbeat &heartbeat, TimePoint now,
                                      std::int64_t unixMs);
    RegistrationChange currentProcessReported(const BackendHeartbeat &heartbeat, TimePoint now,
                                              std::int64_t unixMs);
    /// Handles a ready heartbeat of the current process after a deregistration of its id.
    RegistrationChange deregisteredProcessReported(const BackendHeartbeat &heartbeat,
                                                   TimePoint now);
    /// Handles a ready heartbeat without a start time after a process with its id has said that it
    /// drains.
    RegistrationChange drainingProcessReported(const BackendHeartbeat &heartbeat, TimePoint now);
    RegistrationChange currentProcessLeaves(TimePoint now, std::int64_t unixMs);
    /// Registers a process that had started when a shutdown of its id was announced.
    RegistrationChange registerInDoubt(const BackendHeartbeat &heartbeat, Departure departure,
                                       TimePoint now);
    void returnToService();
    /// Forgets the departures that would keep out a process which is in service.
    void forgetDepartures(const BackendHeartbeat &heartbeat);
    bool isCurrentProcess(const BackendHeartbeat &heartbeat) const;
    /// \return the current process, without the time of an announcement.
    LeftProcess currentProcess() const;
    /// \return true if a process with this id is known.
    bool isUsedId(std::string_view instance) const;
    /// \return true if the heartbeat is of a process that is known to have left, by its start time.
    bool isKnownDeparture(const BackendHeartbeat &heartbeat) const;
    bool hasLeft(const BackendHeartbeat &heartbeat, TimePoint now) const;
    /// \return the departure of a process with the id of the heartbeat that was announced after the
    /// process of the heartbeat had started.
    std::optional<Departure> doubtfulDeparture(const BackendHeartbeat &heartbeat,
                                               TimePoint now) const;
    /// \return true if the heartbeat is of a later process that cannot be told from the current one
    /// by its start time.
    bool countsAnew(const BackendHeartbeat &heartbeat, TimePoint now) const;
    /// \return true if the current process has sent nothing for so long that no heartbeat of an
    /// earlier process can be late.
    bool currentIsSilent(TimePoint now) const;
    void renewDepartures(const BackendHeartbeat &heartbeat, TimePoint now);
    bool isOlder(const BackendHeartbeat &heartbeat) const;
    void remember(const Departure &departure);

    bool m_predecessorExpected = false;
    /// True once the shutdowns that earlier processes of this daemon have recorded are known.
    bool m_predecessorKnown = false;
    std::optional<BackendHeartbeat> m_current;
    /// Time of the first heartbeat of a process whose registration is not confirmed.
    std::optional<TimePoint> m_unconfirmedSince;
    std::optional<TimePoint> m_leavingSince;
    /// Time of the last deregistration, if the current process leaves by nothing else.
    std::optional<TimePoint> m_deregisteredAt;
    /// True if an earlier process is known to have had the id of the current one, so that a
    /// deregistration of the id may be of either.
    bool m_idReused = false;
    TimePoint m_lastHeartbeatAt {};
    /// Processes that have announced their shutdown, the latest one last.
    std::vector<Departure> m_departures;
};

} // namespace Coltsfootwell
