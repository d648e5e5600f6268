#include "services/LinkServer.h"

#include "services/HttpIo.h"

#include <algorithm>
#include <utility>

namespace Coltsfootwell::Internal {

namespace {

using std::chrono::seconds;

/// Time for which the result of an attempt is retained, so that it can be resumed.
constexpr Duration ResultRetention = seconds(2);
/// Time after its last attempt for which a daemon receives load updates.
constexpr Duration LoadUpdateWindow = seconds(2);
/// Number of bytes waiting in a connection from which the bodies of further answers follow when the
/// entry daemon requests them. Otherwise a slow link would collect any number of short answers.
constexpr std::size_t MaxQueuedAnswerBytes = 256 * 1024;
/// Length in bytes up to which an answer is sent whole all the same.
constexpr std::size_t MaxAlwaysSentBytes = 4 * 1024;

} // namespace

const FrameTable<LinkServer, const LinkServer::ClientPtr &> LinkServer::FrameHandlers
    = FrameTable<LinkServer, const ClientPtr &>()
          .with<HelloFrame>(&LinkServer::helloReceived)
          .with<RunFrame>(&LinkServer::startAttempt)
          .with<BodyPartFrame>(&LinkServer::receiveBodyPart)
          .with<CancelFrame>(&LinkServer::cancelReceived)
          .with<ProceedFrame>(&LinkServer::sendAnswerBody)
          .with<ResumeFrame>(&LinkServer::resumeAttempt)
          .with<PingFrame>(&LinkServer::pingReceived)
          .with<ExchangeFrame>(&LinkServer::handlePeerRequest);

LinkServer::LinkServer(LinkServerDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void LinkServer::connectionAccepted(tcp::socket socket)
{
    const auto client = std::make_shared<Client>();
    client->connection = std::make_shared<LinkConnection>(
        std::move(socket), m_dependencies.executor, m_dependencies.traffic);
    m_clients.push_back(client);
    const std::weak_ptr<LinkServer> weakSelf = weak_from_this();
    const std::weak_ptr<Client> weak = client;
    client->connection->start({[weakSelf, weak](LinkFrame frame) {
                                   const auto self = weakSelf.lock();
                                   const auto client = weak.lock();
                                   if (self && client) {
                                       self->frameReceived(client, std::move(frame));
                                   }
                               },
                               [weakSelf, weak] {
                                   const auto self = weakSelf.lock();
                                   const auto client = weak.lock();
                                   if (self && client) {
                                       self->connectionClosed(client);
                                   }
                               },
                               [weak] {
                                   if (const auto client = weak.lock()) {
                                       client->outgoingBodies.sendParts(*client->connection);
                                   }
                               }});
    client->connection->send({{}, {}, HelloFrame {m_dependencies.self}});
}

void LinkServer::loadChanged(const LoadReport &load)
{
    const TimePoint now = m_dependencies.executor.now();
    for (const ClientPtr &client : m_clients) {
        if (client->lastRunAt != TimePoint() && now - client->lastRunAt < LoadUpdateWindow) {
            client->connection->send({{}, load, LoadUpdateFrame {}});
        }
    }
}

void LinkServer::tick()
{
    const TimePoint now = m_dependencies.executor.now();
    while (!m_expiries.empty() && now >= m_expiries.front().at) {
        const AttemptId attempt = m_expiries.front().attempt;
        m_expiries.pop_front();
        const auto it = m_served.find(attempt);
        if (it != m_served.end() && isAwaited(it->second, now)) {
            m_expiries.push_back({now + ResultRetention, attempt});
        } else if (it != m_served.end()) {
            dropResult(attempt);
        }
    }
    std::vector<AttemptId> orphans;
    for (const auto &[id, served] : m_served) {
        if (!served.result && served.disconnectedSince
            && now - *served.disconnectedSince >= OrphanTimeout) {
            orphans.push_back(id);
        }
    }
    for (const AttemptId &id : orphans) {
        cancelAttempt(id);
    }
}

bool LinkServer::isDelivering() const
{
    const TimePoint now = m_dependencies.executor.now();
    return std::ranges::any_of(m_served,
                               [now](const auto &item) {
                                   const ServedAttempt &served = item.second;
                                   return !served.disconnectedSince && isAwaited(served, now);
                               })
        || std::ranges::any_of(m_clients, [](const ClientPtr &client) {
               return client->connection->queuedBytes() > 0;
           });
}

void LinkServer::stop()
{
    for (const ClientPtr &client : std::exchange(m_clients, {})) {
        client->connection->close();
    }
}

void LinkServer::dropResult(const AttemptId &attempt)
{
    // The ledger of the runs still knows that the attempt has run.
    if (const auto node = m_served.extract(attempt)) {
        m_keptBytes -= node.mapped().keptBytes;
        if (const ClientPtr client = node.mapped().client.lock()) {
            client->outgoingBodies.remove(attempt);
        }
    }
}

void LinkServer::frameReceived(const ClientPtr &client, LinkFrame frame)
{
    FrameHandlers.dispatch(*this, client, frame);
}

void LinkServer::helloReceived(const ClientPtr &client, LinkFrame &frame)
{
    const auto &hello = std::get<HelloFrame>(frame.body);
    client->daemon = hello.daemon;
    client->connection->setDestination(m_dependencies.destinationOf(hello.daemon.name));
    client->acceptsAnswerParts = hello.acceptsAnswerParts;
}

void LinkServer::pingReceived(const ClientPtr &client, LinkFrame &frame)
{
    client->connection->send({{}, {}, PongFrame {std::get<PingFrame>(frame.body).nonce}});
}

void LinkServer::cancelReceived(const ClientPtr &, LinkFrame &frame)
{
    cancelAttempt(frame.attempt);
}

void LinkServer::startAttempt(const ClientPtr &client, LinkFrame &received)
{
    const AttemptId attempt = received.attempt;
    auto &frame = std::get<RunFrame>(received.body);
    const TimePoint now = m_dependencies.executor.now();
    client->lastRunAt = now;
    const auto [it, added] = m_served.try_emplace(attempt, m_dependencies.bodyBudget);
    if (!added) {
        return;
    }
    it->second.client = client;
    RunAttempt run;
    run.attempt = attempt;
    run.head = std::make_shared<const CallHead>(
        CallHead {std::move(frame.method), std::move(frame.target), std::move(frame.fields)});
    run.call = std::move(frame.call);
    run.service = std::move(frame.service);
    run.callerService = std::move(frame.callerService);
    run.body = std::make_shared<const std::string>(std::move(frame.body));
    run.pendingBodyBytes = frame.pendingBodyBytes;
    run.deadline = it->second.deadline = now + frame.deadlineIn;
    run.objective = now + frame.objectiveIn;
    run.startBy = now + frame.startWithin;
    run.priority = frame.priority;
    run.nested = frame.nested;
    run.repeat = frame.repeat;
    run.idempotent = frame.idempotent;
    const std::weak_ptr<LinkServer> weak = weak_from_this();
    run.reply = Reply<AttemptResult>(
        m_dependencies.executor, [weak, attempt](std::optional<AttemptResult> result) {
            if (const auto self = weak.lock()) {
                self->attemptFinished(attempt, result ? std::move(*result) : AttemptLost {});
            }
        });
    run.requestBody = [weak, attempt, bytes = run.pendingBodyBytes] {
        const auto self = weak.lock();
        return self && self->requestBodyFor(attempt, bytes);
    };
    m_dependencies.toBackend(std::move(run));
}

bool LinkServer::requestBodyFor(const AttemptId &attempt, std::uint64_t bytes)
{
    const auto it = m_served.find(attempt);
    if (it == m_served.end()) {
        return true;
    }
    ServedAttempt &served = it->second;
    if (!served.reservation.grow(bytes)) {
        return false;
    }
    served.body.clear();
    served.body.reserve(bytes);
    served.missingBodyBytes = bytes;
    if (const ClientPtr client = served.client.lock()) {
        client->connection->send({attempt, {}, ProceedFrame {}});
    }
    return true;
}

void LinkServer::receiveBodyPart(const ClientPtr &client, LinkFrame &frame)
{
    const AttemptId attempt = frame.attempt;
    const auto &part = std::get<BodyPartFrame>(frame.body);
    const auto it = m_served.find(attempt);
    // Ignores parts from a connection that has been replaced: the body is sent again over the new
    // one.
    if (it == m_served.end() || it->second.client.lock() != client) {
        return;
    }
    ServedAttempt &served = it->second;
    // Ignores what no memory is reserved for, such as parts that were under way when the run ended.
    if (part.bytes.size() > served.missingBodyBytes) {
        return;
    }
    served.missingBodyBytes -= part.bytes.size();
    served.body += part.bytes;
    if (part.last) {
        m_dependencies.toBackend(
            BodyArrived {attempt,
                         BodyReservation::makeBody(std::exchange(served.body, std::string()),
                                                   std::move(served.reservation))});
    }
}

void LinkServer::cancelAttempt(const AttemptId &attempt)
{
    const auto it = m_served.find(attempt);
    if (it == m_served.end()) {
        return;
    }
    if (it->second.result) {
        dropResult(attempt);
        return;
    }
    it->second.disconnectedSince.reset();
    m_dependencies.toBackend(CancelAttempt {attempt});
}

void LinkServer::resumeAttempt(const ClientPtr &client, LinkFrame &frame)
{
    const AttemptId attempt = frame.attempt;
    if (const auto it = m_served.find(attempt); it != m_served.end()) {
        it->second.client = client;
        it->second.disconnectedSince.reset();
        if (it->second.result) {
            sendResult(*client, attempt, it->second);
        } else if (it->second.missingBodyBytes > 0) {
            requestBodyFor(attempt, it->second.body.size() + it->second.missingBodyBytes);
        }
        return;
    }
    RevokeAttempt revoke {attempt, std::get<ResumeFrame>(frame.body).sentTo, {}};
    revoke.reply = Reply<bool>(
        m_dependencies.executor,
        [weak = std::weak_ptr(client), attempt](std::optional<bool> neverStarts) {
            const ClientPtr client = weak.lock();
            if (!client) {
                return;
            }
            if (neverStarts.value_or(false)) {
                client->connection->send({attempt, {}, RefusalFrame {Reason::Unreachable, false}});
            } else {
                client->connection->send({attempt, {}, LostFrame {}});
            }
        });
    m_dependencies.toBackend(std::move(revoke));
}

void LinkServer::handlePeerRequest(const ClientPtr &client, LinkFrame &frame)
{
    auto &exchange = std::get<ExchangeFrame>(frame.body);
    PeerRequestReceived request;
    request.bytes = std::move(exchange.bytes);
    request.reply = Reply<std::string>(
        m_dependencies.executor,
        [weak = std::weak_ptr(client), subject = exchange.subject,
         nonce = exchange.nonce](std::optional<std::string> bytes) {
            if (const ClientPtr client = weak.lock(); client && bytes) {
                client->connection->send(
                    {{}, {}, ExchangeFrame {subject, true, nonce, std::move(*bytes)}});
            }
        });
    m_dependencies.forwardPeerRequest(exchange.subject, std::move(request));
}

void LinkServer::attemptFinished(const AttemptId &attempt, AttemptResult result)
{
    const auto it = m_served.find(attempt);
    if (it == m_served.end()) {
        return;
    }
    LinkFrame frame;
    frame.attempt = attempt;
    if (auto *answered = std::get_if<AttemptAnswered>(&result)) {
        frame.load = answered->load;
        frame.body
            = AnswerFrame {answered->status, std::move(answered->headers), {}, answered->failure};
        it->second.answerBody = std::move(answered->body);
    } else if (const auto *refused = std::get_if<AttemptRefused>(&result)) {
        frame.load = refused->load;
        frame.body = RefusalFrame {refused->reason, refused->byServer};
    } else {
        frame.load = std::get<AttemptLost>(result).load;
        frame.body = LostFrame {};
    }
    it->second.result = std::move(frame);
    // Parts of a body that was not needed any more.
    it->second.body = {};
    it->second.missingBodyBytes = 0;
    it->second.reservation = BodyReservation(m_dependencies.bodyBudget);
    m_expiries.push_back({m_dependencies.executor.now() + ResultRetention, attempt});
    if (const ClientPtr client = it->second.client.lock()) {
        sendResult(*client, attempt, it->second);
    }
}

void LinkServer::sendResult(Client &client, const AttemptId &attempt, ServedAttempt &served)
{
    LinkFrame frame = *served.result;
    served.bodyFollows = false;
    if (auto *answer = std::get_if<AnswerFrame>(&frame.body); answer && served.answerBody) {
        const std::size_t bytes = served.answerBody->size();
        const bool isQueueLong = client.connection->queuedBytes() > MaxQueuedAnswerBytes;
        served.bodyFollows = client.acceptsAnswerParts
            && (bytes > BodyBudget::MaxFreeBytes || (isQueueLong && bytes > MaxAlwaysSentBytes));
        if (served.bodyFollows) {
            answer->pendingBodyBytes = bytes;
        } else {
            answer->body = *served.answerBody;
        }
    }
    client.connection->send(frame);
    if (!served.bodyFollows && served.answerBody) {
        keepSent(attempt, served);
    }
}

void LinkServer::keepSent(const AttemptId &attempt, ServedAttempt &served)
{
    if (served.keptBytes > 0 || served.answerBody->empty()) {
        return;
    }
    served.keptBytes = served.answerBody->size();
    m_keptBytes += served.keptBytes;
    m_kept.push_back(attempt);
    while (!m_kept.empty()
           && (m_keptBytes > m_dependencies.maxKeptAnswerBytes
               || !m_served.contains(m_kept.front()))) {
        const AttemptId oldest = m_kept.front();
        m_kept.pop_front();
        dropResult(oldest);
    }
}

void LinkServer::sendAnswerBody(const ClientPtr &client, LinkFrame &frame)
{
    const auto it = m_served.find(frame.attempt);
    if (it != m_served.end() && it->second.client.lock() == client && it->second.bodyFollows) {
        client->outgoingBodies.start(frame.attempt, it->second.answerBody);
        client->outgoingBodies.sendParts(*client->connection);
    }
}

bool LinkServer::isAwaited(const ServedAttempt &served, TimePoint now)
{
    // An entry daemon that stands still cancels nothing, and its connection stays open.
    const bool isExpired = now >= served.deadline + ResultRetention;
    const auto &since = served.disconnectedSince;
    return served.bodyFollows && !isExpired && (!since || now - *since < ResultRetention);
}

void LinkServer::connectionClosed(const ClientPtr &client)
{
    std::erase(m_clients, client);
    const TimePoint now = m_dependencies.executor.now();
    for (auto &[id, served] : m_served) {
        if (served.client.lock() == client) {
            served.client.reset();
            served.disconnectedSince = now;
        }
    }
}

} // namespace Coltsfootwell::Internal
