#include "services/BodyPipe.h"

#include <utility>

namespace Coltsfootwell {

BodyPipe::BodyPipe(Executor &executor) : m_executor(executor)
{
}

BodyPipe::~BodyPipe()
{
    abandon();
}

void BodyPipe::write(std::string bytes, std::function<void(bool)> accepted)
{
    if (bytes.size() > m_bytesLeft) {
        m_overLimit = true;
        cut();
        m_executor.post([accepted = std::move(accepted)] { accepted(false); });
        return;
    }
    m_bytesLeft -= bytes.size();
    m_queuedBytes += bytes.size();
    if (m_counter) {
        m_counter(bytes.size());
    }
    m_chunks.push_back({BodyChunk::Kind::Bytes, std::move(bytes)});
    m_writer = std::move(accepted);
    serveReader();
    serveWriter();
}

void BodyPipe::countBytes(std::function<void(std::size_t)> counter)
{
    m_counter = std::move(counter);
    if (m_queuedBytes > 0) {
        m_counter(m_queuedBytes);
    }
}

void BodyPipe::finish()
{
    if (!std::exchange(m_ended, true)) {
        m_chunks.push_back({BodyChunk::Kind::End, {}});
        serveReader();
    }
}

void BodyPipe::cut()
{
    if (!std::exchange(m_ended, true)) {
        m_chunks.push_back({BodyChunk::Kind::Cut, {}});
        serveReader();
    }
}

void BodyPipe::waitWanted(std::function<void(bool)> wanted)
{
    if (m_wanted || m_abandoned) {
        m_executor.post([wanted = std::move(wanted), result = m_wanted] { wanted(result); });
        return;
    }
    m_wantedHandler = std::move(wanted);
}

void BodyPipe::read(std::function<void(BodyChunk)> handler)
{
    m_reader = std::move(handler);
    if (!std::exchange(m_wanted, true) && m_wantedHandler) {
        m_executor.post([wanted = std::exchange(m_wantedHandler, nullptr)] { wanted(true); });
    }
    serveReader();
    serveWriter();
}

void BodyPipe::putBack(BodyChunk chunk)
{
    m_queuedBytes += chunk.bytes.size();
    m_chunks.push_front(std::move(chunk));
}

void BodyPipe::abandon()
{
    m_abandoned = true;
    m_chunks.clear();
    m_queuedBytes = 0;
    if (m_wantedHandler) {
        m_executor.post([wanted = std::exchange(m_wantedHandler, nullptr)] { wanted(false); });
    }
    serveWriter();
}

void BodyPipe::serveReader()
{
    if (!m_reader || m_chunks.empty()) {
        return;
    }
    auto chunk = std::make_shared<BodyChunk>(std::move(m_chunks.front()));
    m_chunks.pop_front();
    m_queuedBytes -= chunk->bytes.size();
    m_executor.post(
        [reader = std::exchange(m_reader, nullptr), chunk] { reader(std::move(*chunk)); });
}

void BodyPipe::serveWriter()
{
    if (m_writer && (m_abandoned || m_queuedBytes < MaxQueuedBytes)) {
        m_executor.post(
            [writer = std::exchange(m_writer, nullptr), open = !m_abandoned] { writer(open); });
    }
}

} // namespace Coltsfootwell
