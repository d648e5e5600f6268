#include "services/SnapshotFetcher.h"

#include "services/HttpExchange.h"
#include "services/HttpFetch.h"
#include "wire/ConfigurationRecordJson.h"

namespace Coltsfootwell {

SnapshotFetcher::SnapshotFetcher(boost::asio::io_context &context, Executor &executor,
                                 std::function<void(ConfigurationSnapshot)> learned)
    : m_context(context), m_executor(executor), m_learned(std::move(learned))
{
}

SnapshotFetcher::~SnapshotFetcher()
{
    stop();
}

void SnapshotFetcher::fetch(const Endpoint &endpoint)
{
    if (m_running.size() >= MaxFetches || m_running.contains(endpoint)) {
        return;
    }
    m_running[endpoint] = fetchControl(
        m_context, m_executor, endpoint, "snapshot",
        [this, alive = std::weak_ptr(m_alive), endpoint](std::optional<std::string> text) {
            if (alive.expired()) {
                return;
            }
            m_running.erase(endpoint);
            if (auto snapshot = text ? decodeSnapshot(*text) : std::nullopt) {
                m_learned(std::move(*snapshot));
            }
        });
}

void SnapshotFetcher::stop()
{
    m_alive.reset();
    for (auto &[endpoint, exchange] : m_running) {
        exchange->cancel();
    }
    m_running.clear();
}

} // namespace Coltsfootwell
