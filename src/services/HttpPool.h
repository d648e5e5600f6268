// Pool of idle connections to one HTTP server, with the memory for the answers that are received
// from it.
#pragma once

#include "decisions/Member.h"
#include "kernel/Time.h"
#include "services/AnswerMemory.h"

#include <deque>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

namespace Internal {
struct HttpConnection;
}

/// \brief Connection pool that all exchanges with one server share.
class HttpPool
{
public:
    /// Maximum number of idle connections.
    static constexpr std::size_t MaxIdleConnections = 32;

    /// \param memory memory for answers; null for one of its own with default limits.
    HttpPool(boost::asio::io_context &context, Endpoint endpoint,
             std::shared_ptr<AnswerMemory> memory = nullptr);
    ~HttpPool();

    const Endpoint &endpoint() const { return m_endpoint; }

    /// \param maxIdleTime maximum time for which a reused connection may have been idle.
    /// \param requestId id of the request; empty if it has none.
    /// \return the most recently used connection on which an answer to this request is not to be
    /// expected twice, or a new one that is not yet open.
    std::unique_ptr<Internal::HttpConnection> acquire(Duration maxIdleTime,
                                                      std::string_view requestId, TimePoint now);

    /// \brief Returns a connection to the pool after a complete answer.
    void release(std::unique_ptr<Internal::HttpConnection> connection, TimePoint now);

    /// \brief Closes connections whose idle timeout on the server is about to expire.
    void closeExpired(TimePoint now);

    AnswerMemory &answerMemory() { return *m_answerMemory; }

    /// \return number of bytes that answers hold.
    std::size_t heldAnswerBytes() const { return m_answerMemory->held(); }

private:
    boost::asio::io_context &m_context;
    Endpoint m_endpoint;
    std::deque<std::unique_ptr<Internal::HttpConnection>> m_idle;
    std::shared_ptr<AnswerMemory> m_answerMemory;
};

} // namespace Coltsfootwell
