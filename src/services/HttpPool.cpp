#include "services/HttpPool.h"

#include "services/HttpConnection.h"
#include "services/HttpExchange.h"

namespace Coltsfootwell {

using namespace Internal;

namespace {

/// A connection is not used in the last part of its idle time.
constexpr Duration IdleMargin = std::chrono::seconds(1);

} // namespace

HttpPool::HttpPool(asio::io_context &context, Endpoint endpoint)
    : m_context(context), m_endpoint(std::move(endpoint))
{
}

HttpPool::~HttpPool() = default;

std::unique_ptr<HttpConnection> HttpPool::take(Duration maxIdleTime, TimePoint now)
{
    while (!m_idle.empty() && now - m_idle.back()->lastUsed <= maxIdleTime) {
        std::unique_ptr<HttpConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - connection->lastUsed < connection->idleLimit - IdleMargin
            && connection->buffer.size() == 0 && isOpenAndIdle(connection->socket)) {
            return connection;
        }
    }
    return std::make_unique<HttpConnection>(m_context);
}

void HttpPool::give(std::unique_ptr<HttpConnection> connection, TimePoint now)
{
    connection->lastUsed = now;
    m_idle.push_back(std::move(connection));
    if (m_idle.size() > MaxIdleConnections) {
        m_idle.pop_front();
    }
}

void HttpPool::expire(TimePoint now)
{
    while (!m_idle.empty()
           && now - m_idle.front()->lastUsed >= m_idle.front()->idleLimit - IdleMargin) {
        m_idle.pop_front();
    }
}

std::uint64_t HttpPool::answerBegins(std::weak_ptr<HttpExchange> exchange)
{
    m_arriving[++m_lastAnswer] = std::move(exchange);
    return m_lastAnswer;
}

void HttpPool::answerGrows(std::uint64_t answer, std::size_t bytes)
{
    if (const auto longest = m_answers.answerGrew(answer, bytes)) {
        if (const auto exchange = m_arriving[*longest].lock()) {
            exchange->cancel();
        }
    }
}

void HttpPool::answerEnds(std::uint64_t answer)
{
    m_answers.answerEnded(answer);
    m_arriving.erase(answer);
}

} // namespace Coltsfootwell
