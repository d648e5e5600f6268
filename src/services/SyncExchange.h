// Asks another daemon for a records that differ.
#pragma once

#include "kernel/Executor.h"
#include "services/HttpExchange.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Coltsfootwell {

/// \brief One exchange at a time over a fresh connection.
class SyncExchange
{
public:
    static constexpr std::size_t MaxAnswerBytes = 8 * 1024 * 1024;

    /// \param context runs the connection.
    /// \param executor runs the callbacks; both outlive this object.
    SyncExchange(boost::asio::io_context &context, Executor &executor);

    /// Callbacks of a running exchange are dropped.
    ~SyncExchange();

    /// \return true while an exchange runs.
    bool isRunning() const { return m_exchange != nullptr; }

    /// \brief Starts an exchange; only when none is running.
    /// \param with daemon to ask.
    /// \param body encoded request.
    /// \param done gets the encoded answer, or nothing when the exchange has failed.
    void start(const Endpoint &with, std::string body,
               std::function<void(std::optional<std::string>)> done);

    /// \brief Ends a running exchange without calling back.
    void cancel();

private:
    struct State;

    boost::asio::io_context &m_context;
    Executor &m_executor;
    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<State> m_state;
};

} // namespace Coltsfootwell
