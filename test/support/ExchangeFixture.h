// Exchanges with a scripted server, one after another, over one connection pool.
#pragma once

#include "kernel/AsioExecutor.h"
#include "services/HttpExchange.h"
#include "support/ScriptedServer.h"

#include <optional>

namespace Coltsfootwell::Testing {

/// \brief A scripted server and the pool of connections to it.
class ExchangeFixture
{
public:
    ExchangeFixture(const HttpDialect &dialect, ScriptedServer::Script script)
        : m_dialect(dialect), m_server(m_context, std::move(script)),
          m_pool(std::make_shared<HttpPool>(m_context, m_server.endpoint()))
    {
    }

    /// \brief Sends a request and waits for its end.
    /// \param requestId id that the answer must carry if it carries one.
    ExchangeOutcome send(const std::string &requestId, const std::string &method = "POST")
    {
        return send(requestId, method, false);
    }

    /// \brief Cancels a request before its exchange takes its first step, and waits for its end.
    ExchangeOutcome sendCancelled(const std::string &requestId)
    {
        return send(requestId, "POST", true);
    }

    ScriptedServer &server() { return m_server; }

private:
    ExchangeOutcome send(const std::string &requestId, const std::string &method, bool cancelled)
    {
        ExchangeRequest request;
        request.method = method;
        request.target = "/";
        request.headers = {{"Host", "server"}};
        request.requestId = requestId;
        request.maxIdleTime = std::chrono::seconds(10);
        request.deadline = m_executor.now() + std::chrono::seconds(1);
        std::optional<ExchangeOutcome> result;
        const auto exchange = std::make_shared<HttpExchange>(
            m_context, m_executor, m_pool, m_dialect, std::move(request), [] { return true; },
            [&result](ExchangeOutcome outcome) { result = std::move(outcome); });
        exchange->start();
        if (cancelled) {
            exchange->cancel();
        }
        while (!result) {
            m_context.run_one();
        }
        return std::move(*result);
    }

    boost::asio::io_context m_context;
    AsioExecutor m_executor {m_context};
    const HttpDialect &m_dialect;
    ScriptedServer m_server;
    std::shared_ptr<HttpPool> m_pool;
};

} // namespace Coltsfootwell::Testing
