#include "services/LinkPeer.h"

#include "services/HttpIo.h"
#include "wire/EndpointText.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace Coltsfootwell::Internal {

namespace {

using std::chrono::milliseconds;

/// Timeout for establishing a connection: more than three round trips between regions of 60 ms
/// each.
constexpr Duration ConnectTimeout = milliseconds(250);
/// Time without received bytes after which a peer with open attempts is pinged.
constexpr Duration PingDelay = milliseconds(200);
/// Time after which a connection whose ping was not answered is replaced.
constexpr Duration PingTimeout = milliseconds(300);
/// Time for which sent attempts of calls that are not idempotent wait for a new connection before
/// they are reported as lost.
constexpr Duration ResumeTimeout = milliseconds(1500);
/// Delay between a failed attempt to connect and the next one.
constexpr Duration ReconnectDelay = milliseconds(150);
/// Age from which a connection counts as established. A peer that accepts each connection and
/// breaks it, such as a relay without a target, is treated like one that refuses them.
constexpr Duration MinConnectionAge = milliseconds(150);
/// Time after which an unused connection is closed.
constexpr Duration MaxConnectionIdleTime = std::chrono::seconds(60);
/// Time after which a request to a peer is dropped without an answer.
constexpr Duration RequestTimeout = milliseconds(800);

} // namespace

const FrameTable<LinkPeer> LinkPeer::FrameHandlers
    = FrameTable<LinkPeer>()
          .with<HelloFrame>(&LinkPeer::helloReceived)
          .with<PongFrame>(&LinkPeer::pongReceived)
          .with<ExchangeFrame>(&LinkPeer::requestAnswered)
          .with<LoadUpdateFrame>(&LinkPeer::loadReceived);

LinkPeer::LinkPeer(const LinkClientDependencies &dependencies, Endpoint endpoint,
                   std::function<void(const AttemptId &)> onAttemptEnded)
    : m_dependencies(dependencies), m_endpoint(std::move(endpoint)),
      m_attempts(dependencies, m_session, std::move(onAttemptEnded))
{
}

void LinkPeer::sendAttempt(RunAttempt attempt)
{
    m_lastUsed = now();
    m_attempts.add(std::move(attempt));
    if (!m_session.connection) {
        connect();
    }
}

void LinkPeer::sendRequest(SendPeerRequest message)
{
    m_lastUsed = now();
    const std::uint64_t nonce = ++m_lastNonce;
    PendingRequest &request = m_requests[nonce];
    request = {std::move(message), m_lastUsed + RequestTimeout};
    if (m_session.connection) {
        writeRequest(nonce, request);
    } else {
        connect();
    }
}

bool LinkPeer::tick()
{
    const TimePoint at = now();
    std::erase_if(m_requests, [at](const auto &item) { return at >= item.second.expiresAt; });
    m_attempts.expireCancels();
    const bool inUse = isInUse();
    if (inUse) {
        m_lastUsed = at;
    } else if (at - m_lastUsed > MaxConnectionIdleTime) {
        if (m_session.connection) {
            m_session.connection->close();
        }
        return false;
    }
    if (m_session.connection) {
        if (at - m_connectedAt >= MinConnectionAge) {
            m_brokenSince.reset();
        }
        checkLiveness(at);
    } else if (inUse && !m_connecting && at >= m_nextConnectAt) {
        connect();
    }
    if (!m_session.connection && m_brokenSince && at - *m_brokenSince > ResumeTimeout) {
        failAttempts(false);
    }
    return true;
}

void LinkPeer::stop()
{
    m_dependencies.executor.cancel(m_connectTimer);
    if (m_session.connection) {
        m_session.connection->close();
    }
    if (m_connecting) {
        resetSocket(*m_connecting);
    }
}

void LinkPeer::connect()
{
    if (m_connecting) {
        return;
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_endpoint.address, ec);
    if (ec) {
        connectFailed();
        return;
    }
    const auto socket = std::make_shared<tcp::socket>(m_dependencies.context);
    m_connecting = socket;
    m_connectTimer
        = m_dependencies.executor.scheduleAfter(ConnectTimeout, [socket] { resetSocket(*socket); });
    socket->async_connect(tcp::endpoint(address, m_endpoint.port),
                          [weak = weak_from_this(), socket](boost::system::error_code ec) {
                              const auto self = weak.lock();
                              if (!self || self->m_connecting != socket) {
                                  return;
                              }
                              self->m_dependencies.executor.cancel(self->m_connectTimer);
                              ec ? self->connectFailed() : self->connected();
                          });
}

void LinkPeer::connected()
{
    const auto socket = std::exchange(m_connecting, nullptr);
    m_session.connection = std::make_shared<LinkConnection>(
        std::move(*socket), m_dependencies.executor, m_dependencies.traffic);
    m_session.daemon = {};
    m_connectedAt = now();
    m_pingedAt.reset();
    const std::weak_ptr<LinkPeer> weak = weak_from_this();
    m_session.connection->start({[weak](LinkFrame frame) {
                                     if (const auto self = weak.lock()) {
                                         self->frameReceived(std::move(frame));
                                     }
                                 },
                                 [weak] {
                                     if (const auto self = weak.lock()) {
                                         self->connectionBroken();
                                     }
                                 },
                                 [weak] {
                                     if (const auto self = weak.lock()) {
                                         self->m_attempts.sendBodyParts();
                                     }
                                 }});
    m_session.connection->send({{}, {}, HelloFrame {m_dependencies.self, true}});
    m_dependencies.sendTelemetry(IncrementCounter {"link_connections_total", "made"});
    m_attempts.connected();
    for (const auto &[nonce, request] : m_requests) {
        writeRequest(nonce, request);
    }
}

void LinkPeer::connectFailed()
{
    m_connecting.reset();
    m_lostSince = m_lostSince.value_or(now());
    m_nextConnectAt = now() + ReconnectDelay;
    m_requests.clear();
    m_dependencies.sendTelemetry(IncrementCounter {"link_connections_total", "failed"});
    m_dependencies.sendTelemetry(
        LogEvent {"link.unreachable", "", "endpoint=" + formatEndpoint(m_endpoint)});
    failAttempts(true);
}

/// Reconnects after a connection broke if there are open attempts or requests; attempts that were
/// sent are resumed over the new connection.
void LinkPeer::connectionBroken()
{
    m_session.connection.reset();
    m_lostSince = m_lostSince.value_or(now());
    m_pingedAt.reset();
    m_attempts.connectionBroken();
    m_dependencies.sendTelemetry(IncrementCounter {"link_connections_total", "broken"});
    m_dependencies.sendTelemetry(LogEvent {
        "link.broken", "",
        "daemon=" + m_session.daemon.name + " openAttempts=" + std::to_string(m_attempts.size())});
    if (!isInUse()) {
        return;
    }
    const bool hadLasted = now() - m_connectedAt >= MinConnectionAge;
    const bool brokeBefore = m_brokenSince && !hadLasted;
    if (!brokeBefore) {
        m_brokenSince = now();
    }
    if (brokeBefore || m_session.daemon.name.empty()) {
        failAttempts(true);
    }
    if (!hadLasted) {
        // tick() connects again.
        m_nextConnectAt = now() + ReconnectDelay;
    } else if (isInUse()) {
        connect();
    }
}

/// Fails the open attempts of a peer that cannot be reached; see OpenAttempts::fail().
void LinkPeer::failAttempts(bool idempotentOnly)
{
    m_attempts.fail(idempotentOnly);
    if (m_attempts.empty()) {
        m_brokenSince.reset();
    } else if (!m_brokenSince) {
        m_brokenSince = now();
    }
}

void LinkPeer::checkLiveness(TimePoint now)
{
    if (m_attempts.empty() || now - m_session.connection->lastReceivedAt() < PingDelay) {
        m_pingedAt.reset();
        return;
    }
    if (!m_pingedAt) {
        m_pingedAt = now;
        m_session.connection->send({{}, {}, PingFrame {++m_lastNonce}});
    } else if (now - *m_pingedAt >= PingTimeout) {
        m_dependencies.sendTelemetry(
            LogEvent {"link.silent", "", "daemon=" + m_session.daemon.name});
        m_session.connection->close();
        connectionBroken();
    }
}

void LinkPeer::writeRequest(std::uint64_t nonce, const PendingRequest &request)
{
    m_session.connection->send(
        {{}, {}, ExchangeFrame {request.message.subject, false, nonce, request.message.bytes}});
}

void LinkPeer::frameReceived(LinkFrame frame)
{
    if (!FrameHandlers.dispatch(*this, frame)) {
        m_attempts.frameReceived(frame);
    }
}

void LinkPeer::helloReceived(LinkFrame &frame)
{
    m_session.daemon = std::get<HelloFrame>(frame.body).daemon;
    m_session.connection->setDestination(m_dependencies.destinationOf(m_session.daemon.name));
    logReturn();
    m_attempts.helloReceived();
}

void LinkPeer::logReturn()
{
    if (const auto lostSince = std::exchange(m_lostSince, std::nullopt)) {
        const auto lostMs = std::chrono::duration_cast<milliseconds>(now() - *lostSince).count();
        m_dependencies.sendTelemetry(LogEvent {"link.regained", "",
                                               "daemon=" + m_session.daemon.name + " process="
                                                   + std::to_string(m_session.daemon.incarnation)
                                                   + " lostMs=" + std::to_string(lostMs)});
    }
}

void LinkPeer::pongReceived(LinkFrame &)
{
    m_pingedAt.reset();
}

void LinkPeer::requestAnswered(LinkFrame &frame)
{
    auto &exchange = std::get<ExchangeFrame>(frame.body);
    if (auto node = m_requests.extract(exchange.nonce)) {
        node.mapped().message.reply(std::move(exchange.bytes));
    }
}

void LinkPeer::loadReceived(LinkFrame &frame)
{
    if (frame.load && !m_session.daemon.name.empty()) {
        m_dependencies.onLoadReport({m_session.daemon, *frame.load});
    }
}

} // namespace Coltsfootwell::Internal
