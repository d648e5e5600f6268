#include "services/MemoryLog.h"

namespace Coltsfootwell {

namespace {

/// Keeps the answer to one read within gRPC's limit of 4 MB for a message.
constexpr std::size_t MaxReadBytes = 2 << 20;

} // namespace

MemoryLog::MemoryLog(Duration retention, std::size_t maxRecords)
    : m_retention(retention), m_maxRecords(maxRecords)
{
}

std::uint64_t MemoryLog::append(std::string_view stream, std::string id, std::string content,
                                TimePoint now)
{
    auto it = m_streams.find(stream);
    if (it == m_streams.end()) {
        it = m_streams.emplace(std::string(stream), Stream()).first;
    }
    const std::uint64_t offset = it->second.next++;
    it->second.records.push_back({{offset, std::move(id), std::move(content)}, now});
    expire(it->second, now);
    return offset;
}

LogPart MemoryLog::read(std::string_view stream, std::uint64_t from, std::size_t max, TimePoint now)
{
    LogPart part;
    const auto it = m_streams.find(stream);
    if (it == m_streams.end()) {
        return part;
    }
    expire(it->second, now);
    const auto &records = it->second.records;
    part.next = it->second.next;
    part.first = part.next - records.size();
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, part.first);
         offset < part.next && part.records.size() < max && bytes < MaxReadBytes; ++offset) {
        part.records.push_back(records[offset - part.first].record);
        bytes += part.records.back().content.size();
    }
    return part;
}

void MemoryLog::expire(Stream &stream, TimePoint now) const
{
    auto &records = stream.records;
    while (!records.empty()
           && (now - records.front().appended > m_retention
               || (m_maxRecords > 0 && records.size() > m_maxRecords))) {
        records.pop_front();
    }
}

} // namespace Coltsfootwell
