// State machine of one attempt, which determines whether the attempt can have reached a backend
// server.
#pragma once

#include <cstdint>
#include <memory>

namespace Coltsfootwell {

/// \brief State of an attempt from the point of view of the entry daemon.
enum class AttemptState : std::uint8_t {
    Unsent,
    Sent,
    /// The attempt did not start and never will.
    NotRun,
    Answered,
    /// The attempt may have started, but its answer will not arrive.
    Unknown,
};

/// \brief Event reported to the sender of an attempt.
enum class AttemptEvent : std::uint8_t {
    Sent,
    /// The serving daemon did not run the attempt, or no byte of it left this daemon.
    Refused,
    Answered,
    /// The answer will not arrive or is no longer needed.
    Abandoned,
};

/// \brief State machine of one attempt. Ignores events without a transition from the current state,
/// so that late and duplicate messages are harmless.
class AttemptLifecycle
{
public:
    AttemptLifecycle();
    ~AttemptLifecycle();
    AttemptLifecycle(AttemptLifecycle &&) noexcept;
    AttemptLifecycle &operator=(AttemptLifecycle &&) noexcept;

    /// \brief Applies an event.
    void process(AttemptEvent event);

    AttemptState state() const;

    /// \return true while an answer or a refusal can still arrive.
    bool inFlight() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Coltsfootwell
