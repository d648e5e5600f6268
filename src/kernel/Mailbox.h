// Typed mailboxes, the only means of communication between services.
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

/// Number of messages that were dropped because the mailbox no longer existed.
inline std::atomic<std::uint64_t> droppedMessages = 0;

template <typename Message>
struct MailboxState
{
    Executor &executor;
    std::function<void(Message)> handler;
};

} // namespace Internal

/// \brief Address of a mailbox for messages of one type. Copies are cheap and may outlive the
/// mailbox.
template <typename Message>
class Address
{
public:
    Address() = default;
    explicit Address(std::weak_ptr<Internal::MailboxState<Message>> state)
        : m_state(std::move(state))
    {
    }

    /// \brief Delivers a message on the receiver's executor. May be called from any thread.
    /// \param message ownership passes to the receiver.
    /// \return false if the mailbox no longer exists; the message is then dropped.
    bool send(Message message) const
    {
        auto state = m_state.lock();
        if (!state) {
            ++Internal::droppedMessages;
            return false;
        }
        // std::function requires a copyable closure, but messages may be move-only.
        auto payload = std::make_shared<Message>(std::move(message));
        state->executor.post([weak = m_state, payload] {
            if (auto owner = weak.lock()) {
                owner->handler(std::move(*payload));
            }
        });
        return true;
    }

private:
    std::weak_ptr<Internal::MailboxState<Message>> m_state;
};

/// \brief Receives messages of one type.
template <typename Message>
class Mailbox
{
public:
    /// \param executor runs the handler.
    /// \param handler called once for each message, in the order of sending.
    Mailbox(Executor &executor, std::function<void(Message)> handler)
        : m_state(new Internal::MailboxState<Message> {executor, std::move(handler)})
    {
    }

    /// \return the address of this mailbox.
    Address<Message> address() const { return Address<Message>(m_state); }

private:
    std::shared_ptr<Internal::MailboxState<Message>> m_state;
};

/// \brief One-shot reply to a message. A reply that is destroyed without an answer delivers
/// std::nullopt, so that the requester never waits for a service that has stopped.
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

    /// \brief Delivers the answer. Calls after the first one have no effect.
    /// \param answer ownership passes to the requester.
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
            auto payload = std::make_shared<std::optional<Answer>>(std::move(answer));
            m_executor.post(
                [handler = std::move(m_handler), payload] { handler(std::move(*payload)); });
        }

    private:
        Executor &m_executor;
        std::function<void(std::optional<Answer>)> m_handler;
        std::atomic<bool> m_sent = false;
    };

    std::shared_ptr<State> m_state;
};

} // namespace Coltsfootwell
