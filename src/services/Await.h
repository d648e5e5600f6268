// Lets coroutines wait for replies of other services.
// Only for .cpp files: it includes Asio.
#pragma once

#include "kernel/Mailbox.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Coltsfootwell {

/// \brief Waits for a callback.
/// \param start gets the function that ends the wait and arranges for it to be called once.
/// \return the value given to that function.
template <typename Value>
boost::asio::awaitable<Value> awaitCallback(std::function<void(std::function<void(Value)>)> start)
{
    auto initiate = [](auto handler, std::function<void(std::function<void(Value)>)> begin) {
        auto held = std::make_shared<decltype(handler)>(std::move(handler));
        begin([held](Value value) { std::move (*held)(std::move(value)); });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                                   void(Value)>(
        initiate, boost::asio::use_awaitable, std::move(start));
}

/// \brief Sends a message that carries a reply and waits for the answer.
/// \param executor runs the reply.
/// \param send sends the message with the reply it is given.
/// \return the answer, or nothing when the other service dropped the message.
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
