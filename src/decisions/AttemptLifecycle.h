// What is known of one attempt: whether it can have reached a backend server.
#pragma once

#include <cstdint>
#include <memory>

namespace Coltsfootwell {

/// \brief State of an attempt as its sender sees it.
enum class AttemptState : std::uint8_t {
    Unsent,
    Sent,
    /// The attempt has not started and never will.
    NotRun,
    Answered,
    /// The attempt may have started, and its answer will not come.
    Unknown,
};

/// \brief What a sender learns of its attempt.
enum class AttemptEvent : std::uint8_t {
    Sent,
    /// The serving daemon has not run it, or no byte left this daemon.
    Refused,
    Answered,
    /// The answer will not come.
    GivenUp,
};

/// \brief State machine of one attempt. Events that have no meaning in a state are ignored, so that
/// late and repeated messages do no harm.
class AttemptLifecycle
{
public:
    AttemptLifecycle();
    ~AttemptLifecycle();
    AttemptLifecycle(AttemptLifecycle &&) noexcept;
    AttemptLifecycle &operator=(AttemptLifecycle &&) noexcept;

    /// \param event what was learned.
    void process(AttemptEvent event);

    AttemptState state() const;

    /// \return true while an answer or a refusal may still come.
    bool open() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

} // namespace Coltsfootwell
