#include "standin/BackendHistory.h"

#include <boost/json.hpp>

#include <chrono>

namespace Coltsfootwell::Standin {

BackendHistory::BackendHistory(const std::string &path, std::string service)
    : m_enabled(!path.empty()), m_service(std::move(service))
{
    if (m_enabled) {
        m_file.open(path, std::ios::app);
    }
}

void BackendHistory::write(std::string_view event, const RunRecord &run, std::string_view state,
                           unsigned inUse, TimePoint now)
{
    if (!m_enabled) {
        return;
    }
    const auto nanoseconds
        = std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
    m_file << boost::json::serialize(boost::json::object {{"event", event},
                                                          {"run", run.id},
                                                          {"ns", nanoseconds},
                                                          {"service", m_service},
                                                          {"path", run.target},
                                                          {"method", run.method},
                                                          {"key", run.requestId},
                                                          {"order", run.orderId},
                                                          {"depth", run.depth},
                                                          {"homeRegions", run.homeRegions},
                                                          {"state", state},
                                                          {"inUse", inUse}})
           << '\n'
           << std::flush;
}

} // namespace Coltsfootwell::Standin
