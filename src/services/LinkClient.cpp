#include "services/LinkClient.h"

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

/// More than three round trips between regions (60 ms).
constexpr Duration ConnectTimeout = milliseconds(250);
/// Silence after which a peer with open attempts is pinged.
constexpr Duration PingAfter = milliseconds(200);
/// A connection whose ping was not answered in this time is replaced.
constexpr Duration PingTimeout = milliseconds(300);
/// How long attempts that must not run twice wait for a new connection.
constexpr Duration ResumeTime = milliseconds(1500);
constexpr Duration RetryDelay = milliseconds(150);
/// Unused connections are closed after this time.
constexpr Duration MaxIdle = seconds(60);
constexpr Duration QuestionTimeout = milliseconds(800);
/// Longer bodies are sent when the serving daemon is about to start the run.
constexpr std::size_t HeldBodyBytes = 16 * 1024;
constexpr std::size_t PartBytes = 32 * 1024;

microseconds leftUntil(TimePoint at, TimePoint now)
{
    return std::max(microseconds(0), std::chrono::duration_cast<microseconds>(at - now));
}

} // namespace

LinkClient::LinkClient(LinkClientDependencies parts) : m_parts(std::move(parts))
{
}

LinkClient::~LinkClient() = default;

void LinkClient::run(RunAttempt attempt)
{
    const PeerPtr peer = peerAt(attempt.target.endpoint);
    const AttemptId id = attempt.attempt;
    m_attempts[id] = peer;
    peer->lastUsed = now();
    Sent &sent = peer->sent[id];
    sent.attempt = std::move(attempt);
    if (peer->connection) {
        sendRun(*peer, sent);
    } else {
        connect(peer);
    }
}

void LinkClient::cancel(const AttemptId &attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    const PeerPtr peer = it->second;
    if (peer->connection && peer->sent[attempt].onWire) {
        peer->connection->send({attempt, {}, CancelFrame {}});
    }
    finish(*peer, attempt, AttemptLost {});
}

void LinkClient::ask(SendPeerRequest ask)
{
    const PeerPtr peer = peerAt(ask.endpoint);
    const std::uint64_t nonce = ++m_lastNonce;
    Question &question = peer->questions[nonce];
    question = {std::move(ask), now() + QuestionTimeout};
    peer->lastUsed = now();
    if (peer->connection) {
        sendQuestion(*peer, nonce, question);
    } else {
        connect(peer);
    }
}

void LinkClient::tick()
{
    const TimePoint at = now();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const PeerPtr peer = (it++)->second;
        std::erase_if(peer->questions, [at](const auto &item) { return at >= item.second.until; });
        const bool used = !peer->sent.empty() || !peer->questions.empty();
        if (used) {
            peer->lastUsed = at;
        } else if (at - peer->lastUsed > MaxIdle) {
            if (peer->connection) {
                peer->connection->close();
            }
            m_peers.erase(peer->endpoint);
            continue;
        }
        if (peer->connection) {
            checkLiveness(peer, at);
        } else if (used && !peer->connecting && at >= peer->nextTry) {
            connect(peer);
        }
        if (peer->brokenSince && at - *peer->brokenSince > ResumeTime) {
            giveUp(peer, false);
        }
    }
}

void LinkClient::stop()
{
    for (const auto &[endpoint, peer] : m_peers) {
        m_parts.executor.cancel(peer->connectTimer);
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

LinkClient::PeerPtr LinkClient::peerAt(const Endpoint &endpoint)
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
    const auto socket = std::make_shared<tcp::socket>(m_parts.context);
    peer->connecting = socket;
    peer->connectTimer
        = m_parts.executor.scheduleAfter(ConnectTimeout, [socket] { resetSocket(*socket); });
    socket->async_connect(tcp::endpoint(address, peer->endpoint.port),
                          [this, weak = std::weak_ptr(peer), socket](boost::system::error_code ec) {
                              const PeerPtr peer = weak.lock();
                              if (!peer || peer->connecting != socket) {
                                  return;
                              }
                              m_parts.executor.cancel(peer->connectTimer);
                              ec ? connectFailed(peer) : connected(peer);
                          });
}

void LinkClient::connected(const PeerPtr &peer)
{
    const auto socket = std::exchange(peer->connecting, nullptr);
    peer->connection
        = std::make_shared<LinkConnection>(std::move(*socket), m_parts.executor, m_parts.traffic);
    peer->brokenSince.reset();
    peer->pingedAt.reset();
    peer->daemon = {};
    const std::weak_ptr<Peer> weak = peer;
    peer->connection->start({[this, weak](LinkFrame frame) {
                                 if (const PeerPtr peer = weak.lock()) {
                                     received(peer, std::move(frame));
                                 }
                             },
                             [this, weak] {
                                 if (const PeerPtr peer = weak.lock()) {
                                     broken(peer);
                                 }
                             }});
    peer->connection->send({{}, {}, HelloFrame {m_parts.self}});
    m_parts.tell(IncrementCounter {"link_connections_total", "made"});
    for (auto &[id, sent] : peer->sent) {
        if (sent.onWire) {
            m_parts.tell(LogEvent {"attempt.resumed", sent.attempt.call.requestId,
                                   "daemon=" + peer->daemon.name});
            peer->connection->send({id, {}, ResumeFrame {sent.sentTo}});
        } else {
            sendRun(*peer, sent);
        }
    }
    for (const auto &[nonce, question] : peer->questions) {
        sendQuestion(*peer, nonce, question);
    }
}

void LinkClient::connectFailed(const PeerPtr &peer)
{
    peer->connecting.reset();
    peer->nextTry = now() + RetryDelay;
    peer->questions.clear();
    m_parts.tell(IncrementCounter {"link_connections_total", "failed"});
    m_parts.tell(LogEvent {"link.unreachable", "", "endpoint=" + formatEndpoint(peer->endpoint)});
    giveUp(peer, true);
}

/// The connection broke. What was sent over it is asked for over a new one.
void LinkClient::broken(const PeerPtr &peer)
{
    peer->connection.reset();
    peer->pingedAt.reset();
    m_parts.tell(IncrementCounter {"link_connections_total", "broken"});
    m_parts.tell(LogEvent {"link.broken", "",
                           "daemon=" + peer->daemon.name
                               + " openAttempts=" + std::to_string(peer->sent.size())});
    if (!peer->sent.empty() || !peer->questions.empty()) {
        peer->brokenSince = now();
        connect(peer);
    }
}

/// \param idempotentOnly leaves attempts that were sent and must not run twice.
void LinkClient::giveUp(const PeerPtr &peer, bool idempotentOnly)
{
    std::vector<std::pair<AttemptId, bool>> ended;
    std::optional<DaemonId> daemon;
    for (const auto &[id, sent] : peer->sent) {
        daemon = sent.attempt.target.daemon;
        if (!sent.onWire || sent.attempt.idempotent || !idempotentOnly) {
            ended.emplace_back(id, sent.onWire);
        }
    }
    if (daemon) {
        m_parts.unreachable({*daemon});
    }
    for (const auto &[id, onWire] : ended) {
        finish(*peer, id,
               onWire ? AttemptResult(AttemptLost {})
                      : AttemptResult(AttemptRefused {Reason::Unreachable, {}, false}));
    }
    if (peer->sent.empty()) {
        peer->brokenSince.reset();
    } else if (!peer->brokenSince) {
        peer->brokenSince = now();
    }
}

void LinkClient::received(const PeerPtr &peer, LinkFrame frame)
{
    if (const auto *hello = std::get_if<HelloFrame>(&frame.body)) {
        peer->daemon = hello->daemon;
        for (auto &[id, sent] : peer->sent) {
            // Asked for or not, an attempt that is still open belongs to the process it was sent
            // to.
            sent.sentTo = sent.sentTo == 0 ? hello->daemon.incarnation : sent.sentTo;
        }
    } else if (std::holds_alternative<PongFrame>(frame.body)) {
        peer->pingedAt.reset();
    } else if (std::holds_alternative<ProceedFrame>(frame.body)) {
        sendBody(*peer, frame.attempt);
    } else if (auto *exchange = std::get_if<ExchangeFrame>(&frame.body)) {
        if (const auto it = peer->questions.find(exchange->nonce); it != peer->questions.end()) {
            it->second.ask.reply(std::move(exchange->bytes));
            peer->questions.erase(it);
        }
    } else if (std::holds_alternative<LoadUpdateFrame>(frame.body)) {
        if (frame.load && !peer->daemon.name.empty()) {
            m_parts.loadLearned({peer->daemon, *frame.load});
        }
    } else {
        answered(peer, frame);
    }
}

void LinkClient::answered(const PeerPtr &peer, LinkFrame &frame)
{
    if (auto *answer = std::get_if<AnswerFrame>(&frame.body)) {
        finish(*peer, frame.attempt,
               AttemptAnswered {answer->status, std::move(answer->fields),
                                std::make_shared<const std::string>(std::move(answer->body)),
                                answer->failure, frame.load});
    } else if (const auto *refusal = std::get_if<RefusalFrame>(&frame.body)) {
        finish(*peer, frame.attempt,
               AttemptRefused {refusal->reason, frame.load, refusal->byServer});
    } else if (std::holds_alternative<LostFrame>(frame.body)) {
        finish(*peer, frame.attempt, AttemptLost {frame.load});
    }
}

void LinkClient::sendRun(Peer &peer, Sent &sent)
{
    const RunAttempt &attempt = sent.attempt;
    RunFrame run;
    run.service = attempt.service;
    run.callerService = attempt.callerService;
    run.method = attempt.head->method;
    run.target = attempt.head->target;
    run.fields = attempt.head->headers;
    if (attempt.body && attempt.body->size() > HeldBodyBytes) {
        run.laterBytes = attempt.body->size();
    } else if (attempt.body) {
        run.body = *attempt.body;
    }
    run.deadlineIn = leftUntil(attempt.deadline, now());
    run.objectiveIn = leftUntil(attempt.objective, now());
    run.startWithin = leftUntil(attempt.startBy, now());
    run.priority = attempt.priority;
    run.nested = attempt.nested;
    run.repeat = attempt.repeat;
    run.idempotent = attempt.idempotent;
    run.call = attempt.call;
    sent.onWire = true;
    sent.sentTo = peer.daemon.incarnation;
    peer.connection->send({attempt.attempt, {}, std::move(run)});
}

void LinkClient::sendBody(Peer &peer, const AttemptId &attempt)
{
    const auto it = peer.sent.find(attempt);
    if (it == peer.sent.end() || !peer.connection) {
        return;
    }
    const std::string_view body = *it->second.attempt.body;
    for (std::size_t begin = 0; begin < body.size(); begin += PartBytes) {
        const bool last = begin + PartBytes >= body.size();
        peer.connection->send(
            {attempt, {}, BodyPartFrame {std::string(body.substr(begin, PartBytes)), last}});
    }
}

void LinkClient::sendQuestion(Peer &peer, std::uint64_t nonce, const Question &question)
{
    peer.connection->send(
        {{}, {}, ExchangeFrame {question.ask.subject, false, nonce, question.ask.bytes}});
}

void LinkClient::finish(Peer &peer, const AttemptId &attempt, AttemptResult result)
{
    m_attempts.erase(attempt);
    if (auto node = peer.sent.extract(attempt)) {
        node.mapped().attempt.reply(std::move(result));
    }
}

void LinkClient::checkLiveness(const PeerPtr &peer, TimePoint now)
{
    if (peer->sent.empty() || now - peer->connection->lastHeard() < PingAfter) {
        peer->pingedAt.reset();
        return;
    }
    if (!peer->pingedAt) {
        peer->pingedAt = now;
        peer->connection->send({{}, {}, PingFrame {++m_lastNonce}});
    } else if (now - *peer->pingedAt >= PingTimeout) {
        m_parts.tell(LogEvent {"link.silent", "", "daemon=" + peer->daemon.name});
        const auto connection = peer->connection;
        connection->close();
        broken(peer);
    }
}

} // namespace Coltsfootwell::Internal
