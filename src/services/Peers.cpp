#include "services/Peers.h"

#include "services/BodyCollector.h"
#include "services/CallsMessage.h"
#include "services/HttpExchange.h"
#include "services/ServiceNames.h"
#include "wire/HeaderNames.h"
#include "wire/RevocationJson.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <unordered_map>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout {250};
constexpr std::chrono::seconds MaxIdle {10};
constexpr std::chrono::milliseconds RevocationTimeout {500};
constexpr std::size_t MaxVerdictBytes = 256;
/// Longest wait for the next byte of an answer that is on its way.
constexpr std::chrono::seconds MaxProgressWait {30};

/// Headers of an answer that only daemons read.
constexpr std::array<std::string_view, 2> DaemonHeaders {Header::Attempt, Header::Load};

std::optional<LoadReport> takeLoad(const AnswerHead &head)
{
    const auto text = headerValue(head.headers, Header::Load);
    return text ? loadFromText(*text) : std::nullopt;
}

ConfigurationVersion versionOf(std::string_view text)
{
    ConfigurationVersion version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

void removeDaemonHeaders(AnswerHead &head)
{
    std::erase_if(head.headers, [](const HeaderField &field) {
        return std::ranges::find(DaemonHeaders, field.name) != DaemonHeaders.end();
    });
}

/// A serving daemon marks its refusals by an outcome; a backend server's answer has none.
AttemptResult resultOf(AnswerHead head, BodyPipePtr body)
{
    const std::optional<LoadReport> load = takeLoad(head);
    removeDaemonHeaders(head);
    const auto outcome = headerValue(head.headers, Header::Outcome);
    if (!outcome) {
        return AttemptAnswered {std::move(head), std::move(body), load};
    }
    body->abandon();
    const auto version = headerValue(head.headers, Header::Version);
    if (outcomeFromName(*outcome) == Outcome::NotRun) {
        const auto reason = reasonFromName(headerValue(head.headers, Header::Reason).value_or(""));
        return AttemptRefused {reason.value_or(Reason::Overloaded), load,
                               versionOf(version.value_or(""))};
    }
    return AttemptLost {true, true};
}

/// The owner of a key answers as it answers its own callers: a reason marks what does not come from
/// a backend server.
CallResult forwardedResultOf(AnswerHead head, BodyPipePtr body)
{
    const std::string outcome(headerValue(head.headers, Header::Outcome).value_or(""));
    const DaemonId servedBy {std::string(headerValue(head.headers, Header::ServedBy).value_or("")),
                             0};
    if (const auto reason = headerValue(head.headers, Header::Reason); reason || outcome.empty()) {
        body->abandon();
        return CallRefused {outcomeFromName(outcome).value_or(Outcome::Unknown),
                            reasonFromName(reason.value_or("")).value_or(Reason::AnswerLost)};
    }
    std::erase_if(head.headers, [](const HeaderField &field) {
        return field.name == Header::Outcome || field.name == Header::ServedBy;
    });
    return CallAnswered {std::move(head), std::move(body), servedBy};
}

class Peers final : public Service
{
public:
    Peers(Kernel &kernel, boost::asio::io_context &context)
        : m_kernel(kernel), m_context(context),
          m_mailbox(kernel.executor(), [this](PeersMessage message) {
              std::visit([this](auto &&body) { handle(std::move(body)); }, std::move(message));
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Peers; }

    std::error_code start() override
    {
        expireIdle();
        return {};
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_expiry);
        done();
    }

private:
    void handle(RunAttempt run)
    {
        const AttemptId id = run.envelope.attempt->attempt;
        const Duration left = run.deadline - m_kernel.executor().now();
        ExchangeRequest request;
        request.head = run.head;
        request.headers = run.head->headers;
        run.envelope.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(left);
        encodeEnvelope(run.envelope, request.headers);
        request.body = run.body;
        request.echo = attemptText(id);
        request.askBeforeBody = true;
        request.connectTimeout = std::min<Duration>(ConnectTimeout, left);
        request.progressTimeout = std::min<Duration>(MaxProgressWait, left);
        request.maxIdle = MaxIdle;
        ExchangeHandlers handlers;
        handlers.mayBegin = [] { return true; };
        handlers.answered = [reply = run.reply](AnswerHead head, BodyPipePtr body) {
            reply(resultOf(std::move(head), std::move(body)));
        };
        handlers.lost = [reply = run.reply](AttemptLost lost) { reply(lost); };
        handlers.ended = [this, id](bool) { m_exchanges.erase(id); };
        auto exchange = std::make_shared<HttpExchange>(m_context, m_kernel.executor(),
                                                       pool(run.target.endpoint),
                                                       std::move(request), std::move(handlers));
        m_exchanges[id] = exchange;
        exchange->start();
    }

    void handle(CancelAttempt cancel)
    {
        if (const auto it = m_exchanges.find(cancel.attempt); it != m_exchanges.end()) {
            it->second->cancel();
        }
    }

    /// Goes over a new connection: the attempt's own may be the one that is silent.
    void handle(RevokeAttempt revoke)
    {
        auto head = std::make_shared<CallHead>();
        head->method = "POST";
        head->target = "/coltsfootwell/revoke";
        ExchangeRequest request;
        request.body.bytes = std::make_shared<const std::string>(
            encodeRevocation({revoke.attempt, revoke.target.daemon}));
        request.head = std::move(head);
        request.connectTimeout = RevocationTimeout;
        request.progressTimeout = RevocationTimeout;
        ExchangeHandlers handlers;
        handlers.mayBegin = [] { return true; };
        handlers.answered = [reply = revoke.reply](const AnswerHead &, BodyPipePtr body) {
            collectBody(std::move(body), MaxVerdictBytes, [reply](const CollectedBody &collected) {
                if (const auto verdict = decodeVerdict(collected.bytes)) {
                    reply(*verdict);
                }
            });
        };
        handlers.lost = [](AttemptLost) {};
        const TimerId timer
            = m_kernel.executor().after(RevocationTimeout, [this, id = revoke.attempt] {
                  if (const auto it = m_revocations.find(id); it != m_revocations.end()) {
                      it->second->cancel();
                  }
              });
        handlers.ended = [this, timer, id = revoke.attempt](bool) {
            m_kernel.executor().cancel(timer);
            m_revocations.erase(id);
        };
        auto exchange = std::make_shared<HttpExchange>(
            m_context, m_kernel.executor(),
            std::make_shared<HttpPool>(m_context, revoke.target.endpoint), std::move(request),
            std::move(handlers));
        m_revocations[revoke.attempt] = exchange;
        exchange->start();
    }

    void handle(ForwardCall forward)
    {
        const TimePoint deadline = forward.deadline;
        const Duration left = deadline - m_kernel.executor().now();
        ExchangeRequest request;
        request.head = forward.head;
        request.headers = forward.head->headers;
        forward.envelope.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(left);
        encodeEnvelope(forward.envelope, request.headers);
        request.body = forward.body;
        request.askBeforeBody = true;
        request.connectTimeout = std::min<Duration>(ConnectTimeout, left);
        request.progressTimeout = std::min<Duration>(MaxProgressWait, left);
        request.maxIdle = MaxIdle;
        ExchangeHandlers handlers;
        handlers.mayBegin = [] { return true; };
        handlers.answered = [reply = forward.reply](AnswerHead head, BodyPipePtr body) {
            reply(forwardedResultOf(std::move(head), std::move(body)));
        };
        // An earlier call with the key may have run, so that even an unsent one is not "not run".
        handlers.lost = [this, deadline, reply = forward.reply](AttemptLost lost) {
            const bool late = m_kernel.executor().now() >= deadline;
            reply(CallRefused {Outcome::Unknown,
                               late            ? Reason::Deadline
                                   : lost.sent ? Reason::AnswerLost
                                               : Reason::KeyOwnerGone});
        };
        handlers.ended = [](bool) {};
        std::make_shared<HttpExchange>(m_context, m_kernel.executor(), pool(forward.owner.endpoint),
                                       std::move(request), std::move(handlers))
            ->start();
    }

    std::shared_ptr<HttpPool> pool(const Endpoint &endpoint)
    {
        auto &entry = m_pools[endpoint];
        if (!entry) {
            entry = std::make_shared<HttpPool>(m_context, endpoint);
        }
        return entry;
    }

    void expireIdle()
    {
        for (auto it = m_pools.begin(); it != m_pools.end();) {
            it->second->expire(MaxIdle, m_kernel.executor().now());
            it = it->second->idle() == 0 && it->second.use_count() == 1 ? m_pools.erase(it)
                                                                        : std::next(it);
        }
        m_expiry = m_kernel.executor().after(MaxIdle, [this] { expireIdle(); });
    }

    Kernel &m_kernel;
    boost::asio::io_context &m_context;
    std::map<Endpoint, std::shared_ptr<HttpPool>> m_pools;
    std::unordered_map<AttemptId, std::shared_ptr<HttpExchange>> m_exchanges;
    std::unordered_map<AttemptId, std::shared_ptr<HttpExchange>> m_revocations;
    TimerId m_expiry = 0;
    Mailbox<PeersMessage> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makePeers(Kernel &kernel, boost::asio::io_context &context)
{
    return std::make_unique<Peers>(kernel, context);
}

} // namespace Coltsfootwell
