// Typed mailboxes: the only way in which services talk to each other.
#pragma once

#include "kernel/Executor.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace Coltsfootwell {

namespace Internal {

/// Messages whose owner had stopped.
inline std::atomic<std::uint64_t> droppedMessages = 0;

template <typename Message>
struct MailboxState
{
    Executor &executor;
    std::function<void(Message)> handler;
};

} // namespace Internal

/// \brief Where to send messages of one type. Copies are cheap and outlive the mailbox safely.
template <typename Message>
class Address
{
public:
    Address() = default;
    explicit Address(std::weak_ptr<Internal::MailboxState<Message>> state)
        : m_state(std::move(state))
    {
    }

    /// \brief Delivers a message on the owner's executor. May be called from any thread.
    /// \param message moved to the owner.
    /// \return false when the owner is gone; the message is dropped.
    bool send(Message message) const
    {
        auto state = m_state.lock();
        if (!state) {
            ++Internal::droppedMessages;
            return false;
        }
        // std::function needs a copyable closure, and messages may be move-only.
        auto held = std::make_shared<Message>(std::move(message));
        state->executor.post([weak = m_state, held] {
            if (auto owner = weak.lock()) {
                owner->handler(std::move(*held));
            }
        });
        return true;
    }

private:
    std::weak_ptr<Internal::MailboxState<Message>> m_state;
};

/// \brief Receives messages of one type for its owner.
template <typename Message>
class Mailbox
{
public:
    /// \param executor runs the handler.
    /// \param handler called for each message, in the order of sending.
    Mailbox(Executor &executor, std::function<void(Message)> handler)
        : m_state(new Internal::MailboxState<Message> {executor, std::move(handler)})
    {
    }

    /// \return the address that delivers here.
    Address<Message> address() const { return Address<Message>(m_state); }

private:
    std::shared_ptr<Internal::MailboxState<Message>> m_state;
};

/// \brief One answer to a message. A reply that is dropped unsent delivers std::nullopt, so that an
/// asker never waits for a service that has stopped.
template <typename Answer>
class Reply
{
public:
    Reply() = default;

    /// \param executor runs the handler.
    /// \param handler called exactly once.
    Reply(Executor &executor, std::function<void(std::optional<Answer>)> handler)
        : m_state(std::make_shared<State>(executor, std::move(handler)))
    {
    }

    /// \brief Answers; only the first answer counts.
    /// \param answer moved to the asker.
    void operator()(Answer answer) const
    {
        if (m_state) {
            m_state->deliver(std::move(answer));
        }
    }

private:
    struct State
    {
        State(Executor &executor, std::function<void(std::optional<Answer>)> handler)
            : m_executor(executor), m_handler(std::move(handler))
        {
        }
        State(const State &) = delete;
        State &operator=(const State &) = delete;
        ~State() { deliver(std::nullopt); }

        void deliver(std::optional<Answer> answer)
        {
            if (m_sent.exchange(true)) {
                return;
            }
            auto held = std::make_shared<std::optional<Answer>>(std::move(answer));
            m_executor.post([handler = std::move(m_handler), held] { handler(std::move(*held)); });
        }

    private:
        Executor &m_executor;
        std::function<void(std::optional<Answer>)> m_handler;
        std::atomic<bool> m_sent = false;
    };

    std::shared_ptr<State> m_state;
};

} // namespace Coltsfootwell
