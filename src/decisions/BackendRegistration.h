// Tracks the registration of the backend server beside a daemon. Heartbeats may arrive late, twice,
// or from processes that have already ended.
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

    /// Time after which heartbeats alone confirm a registration, see expectPredecessor(). The
    /// server sends two in this time.
    static constexpr std::chrono::seconds ConfirmationTime {3};

    /// \brief Makes the first registration wait until it is confirmed, because an earlier process
    /// of this daemon may have acknowledged that the server leaves. Call it before the first
    /// heartbeat.
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
    /// this daemon started.
    bool isConfirmed() const { return !m_unconfirmedSince; }

    /// \return time at which the current process announced that it leaves; empty while it serves.
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }

    /// \return time of the last accepted heartbeat.
    TimePoint lastHeartbeatAt() const { return m_lastHeartbeatAt; }

    /// \return the last processes that have announced their shutdown, in this order.
    std::vector<LeftProcess> leftProcesses() const;

private:
    struct Departure
    {
        LeftProcess process;
        /// Time of the last announcement of the shutdown.
        TimePoint announcedAt {};
    };

    /// Applies a heartbeat in the order of the processes' starts and of their counts.
    RegistrationChange applyHeartbeat(const BackendHeartbeat &heartbeat, TimePoint now,
                                      std::int64_t unixMs);
    RegistrationChange currentProcessReported(const BackendHeartbeat &heartbeat, TimePoint now,
                                              std::int64_t unixMs);
    /// Handles a ready heartbeat of the current process after a deregistration of its id.
    RegistrationChange deregisteredProcessReported(const BackendHeartbeat &heartbeat,
                                                   TimePoint now);
    RegistrationChange currentProcessLeaves(TimePoint now, std::int64_t unixMs);
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
    /// \return true if the heartbeat is of a later process that cannot be told from the current one
    /// by its start time.
    bool countsAnew(const BackendHeartbeat &heartbeat, TimePoint now) const;
    /// \return true if the current process has sent nothing for so long that no heartbeat of an
    /// earlier process can be late.
    bool currentIsSilent(TimePoint now) const;
    void renewDepartures(const BackendHeartbeat &heartbeat, TimePoint now);
    bool isOlder(const BackendHeartbeat &heartbeat) const;
    void remember(LeftProcess process, TimePoint now);

    bool m_predecessorExpected = false;
    std::optional<BackendHeartbeat> m_current;
    /// Time of the first heartbeat of a process whose registration is not confirmed.
    std::optional<TimePoint> m_unconfirmedSince;
    std::optional<TimePoint> m_leavingSince;
    bool m_deregistered = false;
    /// True if an earlier process is known to have had the id of the current one, so that a
    /// deregistration of the id may be of either.
    bool m_idReused = false;
    TimePoint m_lastHeartbeatAt {};
    /// Processes that have announced their shutdown, the latest one last.
    std::vector<Departure> m_departures;
};

} // namespace Coltsfootwell
