// Coroutine adapters for callbacks and for replies of other services.
// Include only from .cpp files, since it includes Asio.
#pragma once

#include "kernel/Mailbox.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Coltsfootwell {

/// \brief Suspends the coroutine until a callback is invoked.
/// \param start receives the callback and must arrange for it to be called exactly once.
/// \return the value passed to the callback.
template <typename Value>
boost::asio::awaitable<Value> awaitCallback(std::function<void(std::function<void(Value)>)> start)
{
    auto initiate = [](auto handler, std::function<void(std::function<void(Value)>)> startWait) {
        auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
        startWait([sharedHandler](Value value) { std::move (*sharedHandler)(std::move(value)); });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                                   void(Value)>(
        initiate, boost::asio::use_awaitable, std::move(start));
}

/// \brief Sends a message that carries a Reply and suspends the coroutine until it is answered.
/// \param executor runs the reply handler.
/// \param send sends the message with the Reply that it receives.
/// \return the answer, or std::nullopt if the receiving service dropped the message.
template <typename Answer>
boost::asio::awaitable<std::optional<Answer>> awaitReply(Executor &executor,
                                                         std::function<void(Reply<Answer>)> send)
{
    std::function<void(std::function<void(std::optional<Answer>)>)> start
        = [&executor, send = std::move(send)](std::function<void(std::optional<Answer>)> done) {
              send(Reply<Answer>(executor, std::move(done)));
          };
    co_return co_await awaitCallback<std::optional<Answer>>(std::move(start));
}

} // namespace Coltsfootwell
