#include "services/KeyedCalls.h"

#include "services/ServiceNames.h"
#include "wire/MintedKey.h"

#include <xxhash.h>

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// Distinguishes numbers of calls that are started here from numbers that sessions give, so that a
/// caller that goes away does not cancel the run for which repeats may wait.
constexpr std::uint64_t KeyedNumber = 1ULL << 63;

/// Tenants choose their keys independently of each other.
std::string tableKey(const CallEnvelope &envelope)
{
    return envelope.tenant + '\0' + envelope.key;
}

/// A streamed body has not been read yet, so its length stands for it.
CallFingerprint fingerprintOf(const SubmitCall &call)
{
    std::string text = call.head->method + '\0' + call.head->target + '\0';
    text += call.body.bytes ? *call.body.bytes : std::to_string(call.body.streamLength.value_or(0));
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

bool mayReach(const std::vector<std::string> &homes, const std::string &region)
{
    return homes.empty() || std::ranges::find(homes, region) != homes.end();
}

std::chrono::seconds wallClock()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

KeyedCalls::KeyedCalls(Kernel &kernel, Place place, const Guards &guards,
                       std::function<void(SubmitCall, CallFacts)> run)
    : m_kernel(kernel), m_place(std::move(place)), m_run(std::move(run)), m_table(guards),
      m_began(kernel.executor().now())
{
}

std::error_code KeyedCalls::start()
{
    std::error_code ec;
    m_peers = m_kernel.directory().find<PeersMessage>(ServiceName::Peers, ec);
    std::error_code none;
    m_claims = m_kernel.directory().find<ClaimKey>(ServiceName::Claims, none);
    return ec;
}

void KeyedCalls::submit(SubmitCall call, CallFacts facts, const Configuration &configuration)
{
    if (isMinted(call.envelope.key)) {
        const auto key = mintedKeyFromText(call.envelope.key);
        const bool mine = key && key->owner == m_place.self;
        if (!key || (mine && key->mintedAt > runningTime())) {
            call.reply(CallRefused {Outcome::NotRun, Reason::BadKey});
            return;
        }
        const TimePoint expires = m_began + key->mintedAt + MintedKeyLifetime;
        toOwner(std::move(call), std::move(facts), key->owner, expires);
        return;
    }
    const bool logAllowed
        = facts.homeRegions.empty() || mayReach(facts.homeRegions, configuration.logRegion);
    if (!call.envelope.keyCreated || !logAllowed) {
        call.reply(CallRefused {Outcome::NotRun, Reason::BadKey});
        return;
    }
    const auto expiry = callerKeyExpiry(std::chrono::seconds(*call.envelope.keyCreated),
                                        wallClock(), m_kernel.executor().now());
    if (const auto *reason = std::get_if<Reason>(&expiry)) {
        const Outcome outcome = *reason == Reason::BadKey ? Outcome::NotRun : Outcome::Unknown;
        call.reply(CallRefused {outcome, *reason});
        return;
    }
    const TimePoint expires = std::get<TimePoint>(expiry);
    if (call.envelope.keyOwner) {
        const DaemonId owner = *call.envelope.keyOwner;
        toOwner(std::move(call), std::move(facts), owner, expires);
    } else if (m_table.knows(tableKey(call.envelope))) {
        runHere(std::move(call), std::move(facts), expires);
    } else {
        claim(std::move(call), std::move(facts), expires);
    }
}

bool KeyedCalls::provesNotRun(const CallEnvelope &envelope) const
{
    const auto key = mintedKeyFromText(envelope.key);
    return key && key->owner == m_place.self && !m_table.knows(tableKey(envelope));
}

void KeyedCalls::membersChanged(std::span<const Member> members)
{
    m_daemons.clear();
    for (const Member &member : members) {
        if (member.state != MemberState::Left) {
            m_daemons[member.id] = {member.id, member.endpoint, member.region};
        }
    }
}

void KeyedCalls::expire()
{
    m_table.expire(m_kernel.executor().now());
}

std::string KeyedCalls::mint()
{
    return mintedKeyText({m_place.self, runningTime(), m_kernel.random().next()});
}

void KeyedCalls::claim(SubmitCall call, CallFacts facts, TimePoint expires)
{
    const std::uint64_t number = ++m_lastNumber;
    ClaimKey message {tableKey(call.envelope), {}};
    message.reply = Reply<KeyClaimed>(
        m_kernel.executor(),
        [this, number](const std::optional<KeyClaimed> &result) { claimed(number, result); });
    const Duration left = facts.deadline - m_kernel.executor().now();
    const TimerId timer
        = m_kernel.executor().after(left, [this, number] { claimed(number, std::nullopt); });
    m_pending.emplace(number, Pending {std::move(call), std::move(facts), expires, timer});
    m_claims.send(std::move(message));
}

void KeyedCalls::claimed(std::uint64_t number, const std::optional<KeyClaimed> &result)
{
    auto node = m_pending.extract(number);
    if (node.empty()) {
        return;
    }
    Pending &pending = node.mapped();
    m_kernel.executor().cancel(pending.timer);
    if (!result || !result->owner) {
        pending.call.reply(CallRefused {Outcome::Unknown, Reason::LogUnavailable});
        return;
    }
    toOwner(std::move(pending.call), std::move(pending.facts), *result->owner, pending.expires);
}

void KeyedCalls::toOwner(SubmitCall call, CallFacts facts, const DaemonId &owner, TimePoint expires)
{
    if (owner == m_place.self) {
        runHere(std::move(call), std::move(facts), expires);
    } else if (call.envelope.keyOwner) {
        // It was forwarded once, and this is not the process that owns the key.
        call.reply(CallRefused {Outcome::Unknown, Reason::KeyOwnerGone});
    } else {
        forward(std::move(call), facts, owner);
    }
}

void KeyedCalls::forward(SubmitCall call, const CallFacts &facts, const DaemonId &owner)
{
    const auto it = m_daemons.find(owner);
    if (it == m_daemons.end()) {
        call.reply(CallRefused {Outcome::Unknown, Reason::KeyOwnerGone});
        return;
    }
    if (!mayReach(facts.homeRegions, it->second.region)) {
        // An earlier call with the key may have had other home regions and may have run.
        call.reply(CallRefused {Outcome::Unknown, Reason::OutsideHomeRegions});
        return;
    }
    ForwardCall message {it->second,           call.head,      std::move(call.envelope),
                         std::move(call.body), facts.deadline, std::move(call.reply)};
    message.envelope.keyOwner = owner;
    message.envelope.homeRegions = facts.homeRegions;
    m_peers.send(std::move(message));
}

void KeyedCalls::runHere(SubmitCall call, CallFacts facts, TimePoint expires)
{
    const std::string key = tableKey(call.envelope);
    const KeyDecision decision
        = m_table.begin(key, fingerprintOf(call), expires, m_kernel.executor().now());
    switch (decision.verdict) {
    case KeyVerdict::Start:
        runFirst(key, std::move(call), std::move(facts));
        break;
    case KeyVerdict::Wait:
        wait(key, call, facts);
        break;
    case KeyVerdict::Replay:
        call.reply(answerOf(*decision.answer));
        break;
    case KeyVerdict::Refuse:
        call.reply(CallRefused {decision.outcome, decision.reason});
        break;
    }
}

void KeyedCalls::runFirst(const std::string &key, SubmitCall call, CallFacts facts)
{
    call.number = KeyedNumber | ++m_lastNumber;
    call.envelope.keyOwner.reset();
    call.reply = Reply<CallResult>(
        m_kernel.executor(),
        [this, key, first = std::move(call.reply)](std::optional<CallResult> result) {
            ended(key, first, std::move(result));
        });
    m_run(std::move(call), std::move(facts));
}

void KeyedCalls::wait(const std::string &key, const SubmitCall &call, const CallFacts &facts)
{
    const Duration left = facts.deadline - m_kernel.executor().now();
    const TimerId timer = m_kernel.executor().after(left, [this, key, reply = call.reply] {
        reply(CallRefused {Outcome::Unknown, Reason::KeyInProgress});
    });
    m_waiters[key].push_back({call.reply, timer});
}

void KeyedCalls::ended(const std::string &key, const Reply<CallResult> &first,
                       std::optional<CallResult> result)
{
    if (!result) {
        refuseAll(key, first, {Outcome::Unknown, Reason::AnswerLost});
    } else if (const auto *refused = std::get_if<CallRefused>(&*result)) {
        refuseAll(key, first, *refused);
    } else {
        const CallAnswered answered = std::get<CallAnswered>(std::move(*result));
        collectBody(answered.body, KeyTable::MaxAnswerBytes,
                    [this, key, first, answered](CollectedBody body) {
                        collected(key, first, answered, std::move(body));
                    });
    }
}

void KeyedCalls::collected(const std::string &key, const Reply<CallResult> &first,
                           const CallAnswered &answered, CollectedBody body)
{
    if (body.end == CollectedBody::End::Cut) {
        refuseAll(key, first, {Outcome::Unknown, Reason::AnswerLost});
        return;
    }
    const TimePoint now = m_kernel.executor().now();
    if (body.end == CollectedBody::End::TooLong) {
        m_table.ended(key, Outcome::Run, Reason::AnswerNotHeld, std::nullopt, now);
        answered.body->putBack({BodyChunk::Kind::Bytes, std::move(body.bytes)});
        first(answered);
        for (const Waiter &waiter : takeWaiters(key)) {
            waiter.reply(CallRefused {Outcome::Run, Reason::AnswerNotHeld});
        }
        return;
    }
    StoredAnswer stored;
    stored.status = answered.head.status;
    stored.servedBy = answered.servedBy.name;
    stored.body = std::move(body.bytes);
    for (const HeaderField &field : answered.head.headers) {
        stored.headers.emplace_back(field.name, field.value);
    }
    first(answerOf(stored));
    for (const Waiter &waiter : takeWaiters(key)) {
        waiter.reply(answerOf(stored));
    }
    m_table.ended(key, Outcome::Run, Reason::AnswerNotHeld, std::move(stored), now);
}

void KeyedCalls::refuseAll(const std::string &key, const Reply<CallResult> &first,
                           const CallRefused &refused)
{
    m_table.ended(key, refused.outcome, refused.reason, std::nullopt, m_kernel.executor().now());
    first(refused);
    for (const Waiter &waiter : takeWaiters(key)) {
        waiter.reply(refused);
    }
}

std::vector<KeyedCalls::Waiter> KeyedCalls::takeWaiters(const std::string &key)
{
    auto node = m_waiters.extract(key);
    if (node.empty()) {
        return {};
    }
    for (const Waiter &waiter : node.mapped()) {
        m_kernel.executor().cancel(waiter.timer);
    }
    return std::move(node.mapped());
}

CallAnswered KeyedCalls::answerOf(const StoredAnswer &stored)
{
    AnswerHead head;
    head.status = stored.status;
    head.length = stored.body.size();
    for (const auto &[name, value] : stored.headers) {
        head.headers.push_back({name, value});
    }
    return {std::move(head), pipeOf(m_kernel.executor(), stored.body),
            DaemonId {stored.servedBy, 0}};
}

std::chrono::seconds KeyedCalls::runningTime() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(m_kernel.executor().now() - m_began);
}

} // namespace Coltsfootwell
