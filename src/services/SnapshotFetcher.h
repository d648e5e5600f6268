// Fetches what peers have folded from the log, over HTTP.
#pragma once

#include "decisions/ConfigurationRecords.h"
#include "decisions/Member.h"
#include "kernel/Executor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

class HttpExchange;

/// \brief Runs at most one fetch per peer at a time.
class SnapshotFetcher
{
public:
    /// Fetches in progress at most; further ones are not begun.
    static constexpr std::size_t MaxFetches = 4;

    /// \param context runs the connections.
    /// \param executor runs the handlers.
    /// \param learned gets each snapshot that a peer has sent.
    SnapshotFetcher(boost::asio::io_context &context, Executor &executor,
                    std::function<void(ConfigurationSnapshot)> learned);
    ~SnapshotFetcher();

    /// \brief Asks a peer; without effect while it or MaxFetches peers are being asked.
    /// \param endpoint the peer's address.
    void fetch(const Endpoint &endpoint);

    /// \brief Cancels all fetches.
    void stop();

private:
    boost::asio::io_context &m_context;
    Executor &m_executor;
    std::function<void(ConfigurationSnapshot)> m_learned;
    std::map<Endpoint, std::shared_ptr<HttpExchange>> m_running;
    /// Expires with the fetcher, so that late answers find out.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Coltsfootwell
