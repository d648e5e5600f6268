#include "standin/BackendHistory.h"

#include <boost/json.hpp>

#include <chrono>

namespace Coltsfootwell::Standin {

BackendHistory::BackendHistory(const std::string &path, std::string service)
    : m_wanted(!path.empty()), m_service(std::move(service))
{
    if (m_wanted) {
        m_file.open(path, std::ios::app);
    }
}

void BackendHistory::write(std::string_view event, const RunFacts &facts, std::string_view state,
                           unsigned inUse, TimePoint now)
{
    if (!m_wanted) {
        return;
    }
    const auto ns
        = std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
    m_file << boost::json::serialize(boost::json::object {{"event", event},
                                                          {"run", facts.run},
                                                          {"ns", ns},
                                                          {"service", m_service},
                                                          {"path", facts.path},
                                                          {"method", facts.method},
                                                          {"key", facts.key},
                                                          {"order", facts.order},
                                                          {"depth", facts.depth},
                                                          {"homeRegions", facts.homeRegions},
                                                          {"state", state},
                                                          {"inUse", inUse}})
           << '\n'
           << std::flush;
}

} // namespace Coltsfootwell::Standin
