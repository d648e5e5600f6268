#include "services/HttpPool.h"

#include "services/HttpConnection.h"

#include <algorithm>
#include <iterator>

namespace Coltsfootwell {

using namespace Internal;

namespace {

/// A connection is not reused within this time before the server's idle timeout, since the server
/// may close it while the request is in transit.
constexpr Duration IdleTimeoutMargin = std::chrono::seconds(1);

} // namespace

HttpPool::HttpPool(asio::io_context &context, Endpoint endpoint,
                   std::shared_ptr<AnswerMemory> memory)
    : m_context(context), m_endpoint(std::move(endpoint)),
      m_answerMemory(memory ? std::move(memory) : std::make_shared<AnswerMemory>(context))
{
}

HttpPool::~HttpPool() = default;

std::unique_ptr<HttpConnection> HttpPool::acquire(Duration maxIdleTime, std::string_view requestId,
                                                  TimePoint now)
{
    for (auto it = m_idle.end();
         it != m_idle.begin() && now - (*std::prev(it))->lastUsed <= maxIdleTime;) {
        --it;
        if (std::ranges::find((*it)->answeredIds, requestId) != (*it)->answeredIds.end()) {
            continue;
        }
        std::unique_ptr<HttpConnection> connection = std::move(*it);
        it = m_idle.erase(it);
        if (now - connection->lastUsed < connection->serverIdleTimeout - IdleTimeoutMargin
            && connection->buffer.size() == 0 && isOpenAndIdle(connection->socket)) {
            return connection;
        }
    }
    return std::make_unique<HttpConnection>(m_context);
}

void HttpPool::release(std::unique_ptr<HttpConnection> connection, TimePoint now)
{
    connection->lastUsed = now;
    m_idle.push_back(std::move(connection));
    if (m_idle.size() > MaxIdleConnections) {
        m_idle.pop_front();
    }
}

void HttpPool::closeExpired(TimePoint now)
{
    while (!m_idle.empty()
           && now - m_idle.front()->lastUsed
               >= m_idle.front()->serverIdleTimeout - IdleTimeoutMargin) {
        m_idle.pop_front();
    }
}

} // namespace Coltsfootwell
