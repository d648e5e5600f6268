#include "services/OutgoingBodies.h"

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

/// Maximum length in bytes of one part.
constexpr std::size_t MaxBodyPartBytes = 32 * 1024;
/// Number of bytes waiting in a connection from which no further parts are added. Other frames,
/// such as pings, wait behind them.
constexpr std::size_t MaxQueuedBytes = 64 * 1024;

} // namespace

void OutgoingBodies::start(const AttemptId &attempt, BodyPtr body)
{
    remove(attempt);
    m_bodies.push_back({attempt, std::move(body)});
}

void OutgoingBodies::remove(const AttemptId &attempt)
{
    std::erase_if(m_bodies,
                  [&attempt](const OutgoingBody &body) { return body.attempt == attempt; });
}

void OutgoingBodies::sendParts(LinkConnection &connection)
{
    while (!m_bodies.empty() && connection.queuedBytes() < MaxQueuedBytes) {
        OutgoingBody next = std::move(m_bodies.front());
        m_bodies.pop_front();
        const std::string_view part
            = std::string_view(*next.body).substr(next.sent, MaxBodyPartBytes);
        next.sent += part.size();
        const bool last = next.sent == next.body->size();
        connection.send({next.attempt, {}, BodyPartFrame {std::string(part), last}});
        if (!last) {
            m_bodies.push_back(std::move(next));
        }
    }
}

} // namespace Coltsfootwell::Internal
