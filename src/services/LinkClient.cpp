#include "services/LinkClient.h"

#include "decisions/AnswerBudget.h"
#include "decisions/RunLedger.h"
#include "services/HttpIo.h"
#include "wire/EndpointText.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace Coltsfootwell::Internal {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

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
/// Time from the sending of an attempt after which no process is asked to revoke it: the ledger of
/// the serving daemon forgets a run twice as long after its start.
constexpr Duration MaxRevocableAge = seconds(RunLedger::RetentionTicks / 2);
/// Delay between a failed attempt to connect and the next one.
constexpr Duration ReconnectDelay = milliseconds(150);
/// Age from which a connection counts as established. A peer that accepts each connection and
/// breaks it, such as a relay without a target, is treated like one that refuses them.
constexpr Duration MinConnectionAge = milliseconds(150);
/// Time after which an unused connection is closed.
constexpr Duration MaxConnectionIdleTime = seconds(60);
/// Time after which a request to a peer is dropped without an answer.
constexpr Duration PeerRequestTimeout = milliseconds(800);
/// Maximum length in bytes of a body that is sent with the run. Longer bodies are sent when the
/// serving daemon requests them, shortly before it starts the run.
constexpr std::size_t MaxInlineBodyBytes = 16 * 1024;

microseconds timeUntil(TimePoint at, TimePoint now)
{
    return std::max(microseconds(0), std::chrono::duration_cast<microseconds>(at - now));
}

} // namespace

LinkClient::LinkClient(LinkClientDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

LinkClient::~LinkClient() = default;

void LinkClient::sendAttempt(RunAttempt attempt)
{
    const PeerPtr peer = findOrCreatePeer(attempt.target.endpoint);
    const AttemptId id = attempt.attempt;
    m_attempts[id] = peer;
    peer->lastUsed = now();
    OpenAttempt &openAttempt = peer->openAttempts[id];
    openAttempt.attempt = std::move(attempt);
    if (peer->connection) {
        sendRun(*peer, openAttempt);
    } else {
        connect(peer);
    }
}

void LinkClient::cancelAttempt(const AttemptId &attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    const PeerPtr peer = it->second;
    if (peer->connection && peer->openAttempts[attempt].wasSent) {
        peer->connection->send({attempt, {}, CancelFrame {}});
    }
    completeAttempt(*peer, attempt, AttemptLost {});
}

void LinkClient::sendPeerRequest(SendPeerRequest message)
{
    const PeerPtr peer = findOrCreatePeer(message.endpoint);
    const std::uint64_t nonce = ++m_lastNonce;
    PendingPeerRequest &request = peer->peerRequests[nonce];
    request = {std::move(message), now() + PeerRequestTimeout};
    peer->lastUsed = now();
    if (peer->connection) {
        writePeerRequest(*peer, nonce, request);
    } else {
        connect(peer);
    }
}

void LinkClient::tick()
{
    const TimePoint at = now();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const PeerPtr peer = (it++)->second;
        std::erase_if(peer->peerRequests,
                      [at](const auto &item) { return at >= item.second.expiresAt; });
        const bool inUse = isInUse(*peer);
        if (inUse) {
            peer->lastUsed = at;
        } else if (at - peer->lastUsed > MaxConnectionIdleTime) {
            if (peer->connection) {
                peer->connection->close();
            }
            m_peers.erase(peer->endpoint);
            continue;
        }
        if (peer->connection) {
            if (at - peer->connectedAt >= MinConnectionAge) {
                peer->brokenSince.reset();
            }
            checkLiveness(peer, at);
        } else if (inUse && !peer->connecting && at >= peer->nextConnectAt) {
            connect(peer);
        }
        if (!peer->connection && peer->brokenSince && at - *peer->brokenSince > ResumeTimeout) {
            failAttempts(peer, false);
        }
    }
}

void LinkClient::stop()
{
    for (const auto &[endpoint, peer] : m_peers) {
        m_dependencies.executor.cancel(peer->connectTimer);
        if (peer->connection) {
            peer->connection->close();
        }
        if (peer->connecting) {
            resetSocket(*peer->connecting);
        }
    }
    m_peers.clear();
    m_attempts.clear();
}

LinkClient::PeerPtr LinkClient::findOrCreatePeer(const Endpoint &endpoint)
{
    PeerPtr &peer = m_peers[endpoint];
    if (!peer) {
        peer = std::make_shared<Peer>();
        peer->endpoint = endpoint;
    }
    return peer;
}

void LinkClient::connect(const PeerPtr &peer)
{
    if (peer->connecting) {
        return;
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(peer->endpoint.address, ec);
    if (ec) {
        connectFailed(peer);
        return;
    }
    const auto socket = std::make_shared<tcp::socket>(m_dependencies.context);
    peer->connecting = socket;
    peer->connectTimer
        = m_dependencies.executor.scheduleAfter(ConnectTimeout, [socket] { resetSocket(*socket); });
    socket->async_connect(tcp::endpoint(address, peer->endpoint.port),
                          [this, weak = std::weak_ptr(peer), socket](boost::system::error_code ec) {
                              const PeerPtr peer = weak.lock();
                              if (!peer || peer->connecting != socket) {
                                  return;
                              }
                              m_dependencies.executor.cancel(peer->connectTimer);
                              ec ? connectFailed(peer) : connected(peer);
                          });
}

void LinkClient::connected(const PeerPtr &peer)
{
    const auto socket = std::exchange(peer->connecting, nullptr);
    peer->connection = std::make_shared<LinkConnection>(std::move(*socket), m_dependencies.executor,
                                                        m_dependencies.traffic);
    peer->connectedAt = now();
    peer->pingedAt.reset();
    peer->daemon = {};
    const std::weak_ptr<Peer> weak = peer;
    peer->connection->start({[this, weak](LinkFrame frame) {
                                 if (const PeerPtr peer = weak.lock()) {
                                     frameReceived(peer, std::move(frame));
                                 }
                             },
                             [this, weak] {
                                 if (const PeerPtr peer = weak.lock()) {
                                     connectionBroken(peer);
                                 }
                             },
                             [this, weak] {
                                 if (const PeerPtr peer = weak.lock()) {
                                     peer->outgoingBodies.sendParts(*peer->connection);
                                 }
                             }});
    peer->connection->send({{}, {}, HelloFrame {m_dependencies.self, true}});
    m_dependencies.sendTelemetry(IncrementCounter {"link_connections_total", "made"});
    for (auto &[id, openAttempt] : peer->openAttempts) {
        openAttempt.wasSent ? resume(*peer, openAttempt) : sendRun(*peer, openAttempt);
    }
    for (const auto &[nonce, request] : peer->peerRequests) {
        writePeerRequest(*peer, nonce, request);
    }
}

void LinkClient::connectFailed(const PeerPtr &peer)
{
    peer->connecting.reset();
    peer->lostSince = peer->lostSince.value_or(now());
    peer->nextConnectAt = now() + ReconnectDelay;
    peer->peerRequests.clear();
    m_dependencies.sendTelemetry(IncrementCounter {"link_connections_total", "failed"});
    m_dependencies.sendTelemetry(
        LogEvent {"link.unreachable", "", "endpoint=" + formatEndpoint(peer->endpoint)});
    failAttempts(peer, true);
}

/// Reconnects after a connection broke if there are open attempts or requests; attempts that were
/// sent are resumed over the new connection.
void LinkClient::connectionBroken(const PeerPtr &peer)
{
    peer->connection.reset();
    peer->lostSince = peer->lostSince.value_or(now());
    peer->outgoingBodies.clear();
    peer->pingedAt.reset();
    for (auto &[id, openAttempt] : peer->openAttempts) {
        // The next connection may lead to another process, which has not received the attempt.
        openAttempt.awaitsHello = false;
        // The body is sent again from its beginning over the next connection.
        logAnswerWait(openAttempt);
        openAttempt.answer.reset();
    }
    m_dependencies.sendTelemetry(IncrementCounter {"link_connections_total", "broken"});
    m_dependencies.sendTelemetry(LogEvent {"link.broken", "",
                                           "daemon=" + peer->daemon.name + " openAttempts="
                                               + std::to_string(peer->openAttempts.size())});
    if (!isInUse(*peer)) {
        return;
    }
    const bool hadLasted = now() - peer->connectedAt >= MinConnectionAge;
    const bool brokeBefore = peer->brokenSince && !hadLasted;
    if (!brokeBefore) {
        peer->brokenSince = now();
    }
    if (brokeBefore || peer->daemon.name.empty()) {
        failAttempts(peer, true);
    }
    if (!hadLasted) {
        // tick() connects again.
        peer->nextConnectAt = now() + ReconnectDelay;
    } else if (isInUse(*peer)) {
        connect(peer);
    }
}

/// Fails the open attempts of a peer that cannot be reached.
/// \param idempotentOnly keeps attempts that were sent and are not idempotent, so that they can be
/// resumed.
void LinkClient::failAttempts(const PeerPtr &peer, bool idempotentOnly)
{
    std::vector<std::pair<AttemptId, bool>> ended;
    std::optional<DaemonId> daemon;
    for (const auto &[id, openAttempt] : peer->openAttempts) {
        daemon = openAttempt.attempt.target.daemon;
        if (!openAttempt.wasSent || openAttempt.attempt.idempotent || !idempotentOnly) {
            ended.emplace_back(id, openAttempt.wasSent);
        }
    }
    if (daemon) {
        m_dependencies.onDaemonUnreachable({*daemon});
    }
    for (const auto &[id, wasSent] : ended) {
        completeAttempt(*peer, id,
                        wasSent ? AttemptResult(AttemptLost {})
                                : AttemptResult(AttemptRefused {Reason::Unreachable, {}, false}));
    }
    if (peer->openAttempts.empty()) {
        peer->brokenSince.reset();
    } else if (!peer->brokenSince) {
        peer->brokenSince = now();
    }
}

void LinkClient::frameReceived(const PeerPtr &peer, LinkFrame frame)
{
    if (const auto *hello = std::get_if<HelloFrame>(&frame.body)) {
        peer->daemon = hello->daemon;
        peer->connection->setDestination(m_dependencies.destinationOf(hello->daemon.name));
        logReturn(*peer);
        for (auto &[id, openAttempt] : peer->openAttempts) {
            if (std::exchange(openAttempt.awaitsHello, false)) {
                openAttempt.sentTo = hello->daemon.incarnation;
            }
        }
    } else if (std::holds_alternative<PongFrame>(frame.body)) {
        peer->pingedAt.reset();
    } else if (std::holds_alternative<ProceedFrame>(frame.body)) {
        startBody(*peer, frame.attempt);
    } else if (std::holds_alternative<BodyPartFrame>(frame.body)) {
        answerPartReceived(*peer, frame);
    } else if (auto *exchange = std::get_if<ExchangeFrame>(&frame.body)) {
        if (const auto it = peer->peerRequests.find(exchange->nonce);
            it != peer->peerRequests.end()) {
            it->second.message.reply(std::move(exchange->bytes));
            peer->peerRequests.erase(it);
        }
    } else if (std::holds_alternative<LoadUpdateFrame>(frame.body)) {
        if (frame.load && !peer->daemon.name.empty()) {
            m_dependencies.onLoadReport({peer->daemon, *frame.load});
        }
    } else {
        resultReceived(peer, frame);
    }
}

void LinkClient::logReturn(Peer &peer)
{
    if (const auto lostSince = std::exchange(peer.lostSince, std::nullopt)) {
        const auto lostMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(now() - *lostSince).count();
        m_dependencies.sendTelemetry(LogEvent {"link.regained", "",
                                               "daemon=" + peer.daemon.name + " process="
                                                   + std::to_string(peer.daemon.incarnation)
                                                   + " lostMs=" + std::to_string(lostMs)});
    }
}

void LinkClient::resultReceived(const PeerPtr &peer, LinkFrame &frame)
{
    logResumedResult(*peer, frame);
    auto *answer = std::get_if<AnswerFrame>(&frame.body);
    if (answer && answer->pendingBodyBytes > 0) {
        longAnswerReceived(peer, frame);
    } else if (answer) {
        completeAttempt(
            *peer, frame.attempt,
            AttemptAnswered {answer->status, std::move(answer->fields),
                             std::make_shared<const std::string>(std::move(answer->body)),
                             answer->failure, frame.load});
    } else if (const auto *refusal = std::get_if<RefusalFrame>(&frame.body)) {
        const auto it = peer->openAttempts.find(frame.attempt);
        const bool hasRun = it != peer->openAttempts.end() && it->second.isAnswered;
        completeAttempt(*peer, frame.attempt,
                        hasRun ? AttemptResult(AttemptLost {frame.load})
                               : AttemptResult(AttemptRefused {refusal->reason, frame.load,
                                                               refusal->byServer}));
    } else if (std::holds_alternative<LostFrame>(frame.body)) {
        completeAttempt(*peer, frame.attempt, AttemptLost {frame.load});
    }
}

/// Logs the result of an attempt that was resumed, with the process that reports it and the one
/// that the attempt was sent to.
void LinkClient::logResumedResult(const Peer &peer, const LinkFrame &frame)
{
    const auto it = peer.openAttempts.find(frame.attempt);
    if (it == peer.openAttempts.end() || it->second.resumptions == 0) {
        return;
    }
    const auto *refusal = std::get_if<RefusalFrame>(&frame.body);
    const std::string result = refusal ? "refused-" + std::string(reasonName(refusal->reason))
        : std::holds_alternative<LostFrame>(frame.body) ? "lost"
                                                        : "answer";
    m_dependencies.sendTelemetry(LogEvent {
        "attempt.resumedEnded", it->second.attempt.call.requestId,
        "daemon=" + peer.daemon.name + " incarnation=" + std::to_string(peer.daemon.incarnation)
            + " sentTo=" + std::to_string(it->second.sentTo) + " result=" + result});
}

void LinkClient::sendRun(Peer &peer, OpenAttempt &openAttempt)
{
    const RunAttempt &attempt = openAttempt.attempt;
    RunFrame run;
    run.service = attempt.service;
    run.callerService = attempt.callerService;
    run.method = attempt.head->method;
    run.target = attempt.head->target;
    run.fields = attempt.head->headers;
    if (attempt.body && attempt.body->size() > MaxInlineBodyBytes) {
        run.pendingBodyBytes = attempt.body->size();
    } else if (attempt.body) {
        run.body = *attempt.body;
    }
    run.deadlineIn = timeUntil(attempt.deadline, now());
    run.objectiveIn = timeUntil(attempt.objective, now());
    run.startWithin = timeUntil(attempt.startBy, now());
    run.priority = attempt.priority;
    run.nested = attempt.nested;
    run.repeat = attempt.repeat;
    run.idempotent = attempt.idempotent;
    run.call = attempt.call;
    openAttempt.wasSent = true;
    openAttempt.sentTo = peer.daemon.incarnation;
    openAttempt.awaitsHello = peer.daemon.name.empty();
    openAttempt.sentAt = now();
    peer.connection->send({attempt.attempt, {}, std::move(run)});
}

void LinkClient::resume(Peer &peer, OpenAttempt &openAttempt)
{
    const RunAttempt &attempt = openAttempt.attempt;
    if (now() - openAttempt.sentAt > MaxRevocableAge) {
        openAttempt.sentTo = 0;
    }
    ++openAttempt.resumptions;
    m_dependencies.sendTelemetry(LogEvent {
        "attempt.resumed", attempt.call.requestId,
        "daemon=" + attempt.target.daemon.name + " sentTo=" + std::to_string(openAttempt.sentTo)
            + " resumptions=" + std::to_string(openAttempt.resumptions)});
    peer.connection->send({attempt.attempt, {}, ResumeFrame {openAttempt.sentTo}});
}

void LinkClient::startBody(Peer &peer, const AttemptId &attempt)
{
    const auto it = peer.openAttempts.find(attempt);
    if (it != peer.openAttempts.end() && it->second.attempt.body) {
        peer.outgoingBodies.start(attempt, it->second.attempt.body);
        peer.outgoingBodies.sendParts(*peer.connection);
    }
}

void LinkClient::longAnswerReceived(const PeerPtr &peer, LinkFrame &frame)
{
    if (frame.load && !peer->daemon.name.empty()) {
        // Newer reports arrive before the end of the body.
        m_dependencies.onLoadReport({peer->daemon, *frame.load});
    }
    const auto it = peer->openAttempts.find(frame.attempt);
    if (it == peer->openAttempts.end()) {
        // The attempt was cancelled when it had just ended.
        peer->connection->send({frame.attempt, {}, CancelFrame {}});
        return;
    }
    OpenAttempt &openAttempt = it->second;
    openAttempt.isAnswered = true;
    AnswerFrame &answer = std::get<AnswerFrame>(frame.body);
    if (answer.pendingBodyBytes > AnswerBudget::MaxBytes) {
        cancelAttempt(frame.attempt);
        return;
    }
    openAttempt.answer.emplace(std::move(answer), m_dependencies.answerBudget);
    requestAnswerBody(peer, frame.attempt);
}

void LinkClient::requestAnswerBody(const PeerPtr &peer, const AttemptId &attempt)
{
    const auto it = peer->openAttempts.find(attempt);
    if (it == peer->openAttempts.end() || !it->second.answer || it->second.answer->isReserved()) {
        return;
    }
    IncomingAnswer &answer = *it->second.answer;
    if (answer.reserve()) {
        logAnswerWait(it->second);
        peer->connection->send({attempt, {}, ProceedFrame {}});
        return;
    }
    if (!answer.waitsSince) {
        answer.waitsSince = now();
    }
    m_dependencies.answerBudget->waitForRelease([this, weak = std::weak_ptr(peer), attempt] {
        if (const PeerPtr waiting = weak.lock()) {
            requestAnswerBody(waiting, attempt);
        }
    });
}

void LinkClient::answerPartReceived(Peer &peer, const LinkFrame &frame)
{
    const auto it = peer.openAttempts.find(frame.attempt);
    if (it == peer.openAttempts.end() || !it->second.answer) {
        return;
    }
    IncomingAnswer &answer = *it->second.answer;
    const auto &part = std::get<BodyPartFrame>(frame.body);
    if (!answer.append(part.bytes) || (part.last && !answer.isWhole())) {
        cancelAttempt(frame.attempt);
    } else if (part.last) {
        peer.connection->send({frame.attempt, {}, CancelFrame {}});
        completeAttempt(peer, frame.attempt, answer.take());
    }
}

/// Logs how long an answer has waited for memory, once the wait has ended.
void LinkClient::logAnswerWait(OpenAttempt &openAttempt)
{
    if (!openAttempt.answer || !openAttempt.answer->waitsSince) {
        return;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(
        now() - *std::exchange(openAttempt.answer->waitsSince, std::nullopt));
    m_dependencies.sendTelemetry(
        LogEvent {"answer.waited", openAttempt.attempt.call.requestId,
                  "from=link daemon=" + openAttempt.attempt.target.daemon.name
                      + " waitedMs=" + std::to_string(waited.count())});
}

void LinkClient::writePeerRequest(Peer &peer, std::uint64_t nonce,
                                  const PendingPeerRequest &request)
{
    peer.connection->send(
        {{}, {}, ExchangeFrame {request.message.subject, false, nonce, request.message.bytes}});
}

void LinkClient::completeAttempt(Peer &peer, const AttemptId &attempt, AttemptResult result)
{
    m_attempts.erase(attempt);
    if (auto node = peer.openAttempts.extract(attempt)) {
        peer.outgoingBodies.remove(attempt);
        logAnswerWait(node.mapped());
        node.mapped().attempt.reply(std::move(result));
    }
}

void LinkClient::checkLiveness(const PeerPtr &peer, TimePoint now)
{
    if (peer->openAttempts.empty() || now - peer->connection->lastReceivedAt() < PingDelay) {
        peer->pingedAt.reset();
        return;
    }
    if (!peer->pingedAt) {
        peer->pingedAt = now;
        peer->connection->send({{}, {}, PingFrame {++m_lastNonce}});
    } else if (now - *peer->pingedAt >= PingTimeout) {
        m_dependencies.sendTelemetry(LogEvent {"link.silent", "", "daemon=" + peer->daemon.name});
        const auto connection = peer->connection;
        connection->close();
        connectionBroken(peer);
    }
}

} // namespace Coltsfootwell::Internal
