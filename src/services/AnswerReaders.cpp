#include "services/AnswerReaders.h"

#include <string>
#include <utility>
#include <vector>

namespace Coltsfootwell::Internal {

AnswerReaderHandle::AnswerReaderHandle(AnswerReaders &readers, const PendingAnswers &pending,
                                       const AnswerWriter &writer, std::function<void()> close)
    : m_readers(readers), m_pending(pending), m_writer(writer), m_close(std::move(close)),
      m_id(++readers.m_lastId)
{
    m_readers.m_handles.emplace(m_id, this);
}

AnswerReaderHandle::~AnswerReaderHandle()
{
    m_readers.m_handles.erase(m_id);
}

std::size_t AnswerReaderHandle::heldBytes(AnswerSource source, AnswerSize size) const
{
    std::size_t bytes = 0;
    const auto add = [&](const HeldAnswer &held) {
        if (held.source == source && answerSize(held.bytes) == size) {
            bytes += held.bytes;
        }
    };
    m_pending.forEachHeld(add);
    m_writer.forEachHeld(add);
    return bytes;
}

void AnswerReaders::memoryShort(const AnswerMemoryShort &message,
                                const Address<TelemetryMessage> &telemetry)
{
    std::vector<AnswerReader> readers;
    for (const auto &[id, handle] : m_handles) {
        if (const std::size_t bytes = handle->heldBytes(message.source, message.size)) {
            readers.push_back({id, bytes, handle->m_writer.receivedBytes()});
        }
    }
    SlowReaders &slow = m_slowReaders[std::size_t(message.source) * 2 + std::size_t(message.size)];
    for (const std::uint64_t id : slow.choose(readers, message.bytes, m_executor.now())) {
        const auto it = m_handles.find(id);
        if (it == m_handles.end()) {
            continue;
        }
        const AnswerReaderHandle &handle = *it->second;
        telemetry.send(IncrementCounter {"slow_callers_closed_total", ""});
        telemetry.send(
            LogEvent {"caller.slow", "",
                      "heldBytes=" + std::to_string(handle.heldBytes(message.source, message.size))
                          + " receivedBytes=" + std::to_string(handle.m_writer.receivedBytes())
                          + " neededBytes=" + std::to_string(message.bytes)});
        handle.m_close();
    }
}

} // namespace Coltsfootwell::Internal
