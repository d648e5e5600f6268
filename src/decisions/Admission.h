// Admits calls to the one backend server beside this daemon. The slots in use are known exactly
// here, so stale load reports elsewhere never overload the server.
#pragma once

#include "decisions/BackendLifecycle.h"
#include "decisions/Configuration.h"
#include "decisions/Ids.h"
#include "decisions/Load.h"
#include "decisions/Outcome.h"
#include "kernel/Time.h"

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Coltsfootwell {

/// \brief Answer to a call that asks for a slot.
enum class AdmissionVerdict {
    Admitted,
    /// A later output admits or refuses the call.
    Queued,
    Refused,
};

/// \brief How a call that held a slot has ended.
enum class RunEnd {
    Good,
    /// Answered with a status of 500 or more.
    Bad,
    /// Bytes were sent and no whole answer came.
    Lost,
    /// No connection could be made.
    Unreachable,
    /// The server has refused the call without a side effect.
    Shed,
    /// Cancelled, or stopped before the first byte; says nothing about the server.
    Unjudged,
};

/// \brief A queued call leaves the queue.
struct QueuedCallDecided
{
    AttemptId call;
    /// Nothing when the call now holds a slot.
    std::optional<Reason> refusal;
};

/// \brief Counts slots, adapts the limit and queues calls. Outputs are valid until the next input.
class Admission
{
public:
    using Outputs = std::span<const QueuedCallDecided>;

    /// An answer is slow when it takes longer than this multiple of the moving average.
    static constexpr int SlowFactor = 4;
    /// Bad or slow answers in a row that show a cold server.
    static constexpr unsigned SuspectsUntilCold = 3;
    static constexpr std::chrono::milliseconds MaxQueueWait {20};
    /// Longest time for which a report of "cold", or its absence, keeps the limit from growing.
    /// Reports may mislead for good; a server that answers well for so long is not held back.
    static constexpr std::chrono::seconds MaxReportHold {60};
    /// Least time between two calls to a cold server that only fails.
    static constexpr std::chrono::milliseconds ProbationPeriod {100};

    /// \brief Takes over the rules of the server's service.
    void rulesChanged(const ServiceRules &rules);

    /// \brief The backend server has announced itself and starts cold.
    /// \param slots calls that it bears at once when warm.
    Outputs announced(unsigned slots, TimePoint now);

    /// \brief The backend server has announced that it drains; only announced() ends this.
    Outputs drainAnnounced(TimePoint now);

    /// \brief The backend server's load endpoint has answered.
    /// \param state Cold, Draining, or Warm for a server that reports nothing special. A report
    /// never makes a server warm: reports lag, so only good answers raise the limit. A report of
    /// Cold keeps the limit at its start value, since a cold server can answer well at that load
    /// and fall over one call above it.
    Outputs serverReported(BackendState state, TimePoint now);

    /// \brief Reports will come: a server that starts or turns cold is held at the start value of
    /// the limit until the first one.
    void useReports();

    /// \brief A probe was not answered.
    Outputs probeLost(TimePoint now);

    /// \brief Starts over as cold, as after a time out of service.
    Outputs warmAgain(TimePoint now);

    /// \brief Asks for a slot.
    /// \param call identifies the call in outputs.
    /// \param deadline after which the call must not start.
    /// \param[out] reason why the call is refused.
    AdmissionVerdict admit(const AttemptId &call, TimePoint deadline, TimePoint now,
                           Reason &reason);

    /// \brief Removes a call from the queue.
    /// \return false when it was not queued.
    bool withdraw(const AttemptId &call);

    /// \brief Gives a slot back and learns from the answer.
    /// \param elapsed time from the first byte sent to the head of the answer. The body is left
    /// out, because it is as slow as the caller that reads it.
    Outputs finished(RunEnd end, Duration elapsed, TimePoint now);

    /// \brief Refuses the queued calls whose wait is over.
    Outputs tick(TimePoint now);

    /// \return time of the next tick(), or nothing while the queue is empty.
    std::optional<TimePoint> nextTick() const;

    /// \return the load as it goes into answers.
    LoadReport report() const;

    BackendState state() const { return m_lifecycle.state(); }
    unsigned slots() const { return m_slots; }

    /// \return moving average of the answer times while not cold; zero before the first answer.
    Duration averageAnswer() const { return m_average; }

private:
    struct Waiting
    {
        AttemptId call;
        TimePoint deadline;
        TimePoint until;
    };

    std::optional<Reason> closedReason() const;
    bool hasSlot(TimePoint now) const;
    void takeSlot(TimePoint now);
    void startCold();
    bool isHeld(TimePoint now);
    void judgeAnswer(RunEnd end, Duration elapsed, TimePoint now);
    void turnCold();
    void learnColdAverage(Duration elapsed);
    void learnAverage(Duration elapsed);
    void grow();
    void shed(TimePoint now);
    Outputs decideQueue(TimePoint now);

    ServiceRules m_rules;
    BackendLifecycle m_lifecycle;
    std::deque<Waiting> m_queue;
    std::vector<QueuedCallDecided> m_outputs;
    unsigned m_slots = 0;
    unsigned m_limit = 0;
    unsigned m_inUse = 0;
    unsigned m_goodAnswers = 0;
    unsigned m_suspectsInRow = 0;
    bool m_usesReports = false;
    bool m_awaitsReport = false;
    bool m_reportsCold = false;
    /// Since when a report, or its absence, has kept the limit from growing.
    std::optional<TimePoint> m_heldSince;
    unsigned m_badInRow = 0;
    unsigned m_coldAnswers = 0;
    Duration m_average {};
    /// Moving average of good answers since the server became cold.
    Duration m_coldAverage {};
    TimePoint m_lastStart {};
    TimePoint m_nextShedCut {};
    bool m_drainAnnounced = false;
};

} // namespace Coltsfootwell
