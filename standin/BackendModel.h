// Admission, cold start and reported load of the stand-in backend server, independent of I/O.
#pragma once

#include "kernel/Random.h"
#include "kernel/Time.h"
#include "standin/BackendOptions.h"

#include <deque>
#include <string_view>

namespace Coltsfootwell::Standin {

enum class ServerState {
    Ready,
    Cold,
    /// Has closed all connections and accepts none; named "fallen" in reports and in the history.
    Crashed,
    Draining,
};

/// \return the name of a state in load reports and in the history.
std::string_view serverStateName(ServerState state);

enum class AdmissionVerdict {
    Admit,
    /// All slots are in use, or the server is draining.
    Shed,
    /// The call exceeded the limit of a cold server, or the server has not yet recovered from a
    /// crash.
    Crash,
};

/// \brief Injected faults.
struct BackendFaults
{
    /// Time that is added to the service time of each call.
    std::chrono::milliseconds addedServiceTime {0};
    /// Fraction of calls, from 0 to 1, that fail immediately with status 500.
    double failFastShare = 0;
    /// Number of upcoming calls that run but are not answered; the connection is closed instead.
    unsigned answersToDrop = 0;
    /// Number of bytes of an answer's body after which the connection is closed; negative if off.
    std::int64_t truncateAfterBytes = -1;
    /// Age of the number of slots in use that a load report states.
    std::chrono::milliseconds loadReportDelay {0};
    /// Number of slots in use that a load report states instead of the real one; negative if off.
    std::int64_t claimedInUse = -1;
};

/// \brief Simulates the slots and the cold start of one backend server.
///
/// A cold server is slower, and crashes if the number of concurrent calls exceeds its cold limit.
/// It recovers after a fixed time, still cold, and becomes warm after a number of answers.
class BackendModel
{
public:
    explicit BackendModel(const BackendOptions &options);

    /// \brief Decides whether a call gets a slot, and occupies the slot if so.
    AdmissionVerdict admit(TimePoint now);

    /// \brief Frees the slot of an admitted call.
    /// \param answered true if the call counts towards warming up.
    void release(bool answered, TimePoint now);

    /// \brief Draws the service time of one call from the configured distribution.
    /// \return the service time in the current state, including addedServiceTime.
    Duration serviceTime(Random &random) const;

    void becomeCold();

    /// \brief Sheds all further calls.
    void drain();

    ServerState state(TimePoint now) const;
    unsigned inUse() const { return m_inUse; }

    /// \return number of slots in use for a load report, with the faults of load reports applied.
    unsigned reportedInUse(TimePoint now) const;

    BackendFaults faults;

private:
    void recordLoad(TimePoint now);

    BackendOptions m_options;
    unsigned m_inUse = 0;
    bool m_cold;
    bool m_draining = false;
    /// Number of answers since the server became cold or crashed.
    unsigned m_warmUpAnswers = 0;
    TimePoint m_crashedUntil {};
    /// Number of slots in use after each change, oldest first.
    std::deque<std::pair<TimePoint, unsigned>> m_loadSamples;
};

} // namespace Coltsfootwell::Standin
