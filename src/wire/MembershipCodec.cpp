#include "wire/MembershipCodec.h"

#include "wire/ProtobufMessage.h"
#include "wire/WireError.h"
#include "wire/generated/membership.pb.h"

#include <algorithm>
#include <limits>

namespace Coltsfootwell {

namespace {

using std::chrono::milliseconds;

/// Maximum length in bytes of an IPv6 address as text.
constexpr std::size_t MaxAddressBytes = 45;

/// Rounds up so that an age is never understated.
std::uint32_t ceilToMilliseconds(Duration duration)
{
    constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
    const auto ms = std::chrono::ceil<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, Max));
}

bool isValidName(std::string_view text, std::size_t minBytes)
{
    const auto isPrintable = [](char c) { return c > ' ' && c != '\x7f'; };
    return text.size() >= minBytes && text.size() <= MaxWireNameBytes
        && std::ranges::all_of(text, isPrintable);
}

bool isValidEndpoint(std::string_view address, std::uint32_t port)
{
    const auto isAddressCharacter = [](char c) {
        return std::string_view("0123456789abcdefABCDEF.:").find(c) != std::string_view::npos;
    };
    return !address.empty() && address.size() <= MaxAddressBytes
        && std::ranges::all_of(address, isAddressCharacter) && port > 0
        && port <= std::numeric_limits<std::uint16_t>::max();
}

bool isValid(const Wire::MemberRecord &wire)
{
    // A brief record carries only a suspicion or a loss, without an endpoint.
    const bool suspectOrUnreachable
        = wire.state() == static_cast<std::uint32_t>(MemberState::Suspect)
        || wire.state() == static_cast<std::uint32_t>(MemberState::Unreachable);
    return isValidName(wire.name(), 1) && isValidName(wire.region(), 0)
        && isValidName(wire.data_centre(), 0) && isValidName(wire.service(), 0)
        && (wire.brief() ? suspectOrUnreachable : isValidEndpoint(wire.address(), wire.port()))
        && wire.state() <= static_cast<std::uint32_t>(MemberState::Left)
        && wire.backend() <= static_cast<std::uint32_t>(BackendState::Gone)
        && static_cast<std::size_t>(wire.observers_size()) <= MemberRecord::MaxObservers
        && std::ranges::all_of(wire.observers(),
                               [](const std::string &name) { return isValidName(name, 1); });
}

void encodeRecord(const MemberRecord &record, Wire::MemberRecord &wire)
{
    const Member &member = record.member;
    wire.set_name(member.id.name);
    wire.set_incarnation(member.id.incarnation);
    wire.set_sequence(member.sequence);
    wire.set_state(static_cast<std::uint32_t>(member.state));
    for (const std::string &observer : record.observers) {
        wire.add_observers(observer);
    }
    wire.set_down_for_ms(ceilToMilliseconds(record.downFor));
    wire.set_brief(record.brief);
    if (record.brief) {
        return;
    }
    wire.set_address(member.endpoint.address);
    wire.set_port(member.endpoint.port);
    wire.set_caller_port(member.callerPort);
    wire.set_region(member.region);
    wire.set_data_centre(member.dataCentre);
    wire.set_service(member.service);
    wire.set_backend(static_cast<std::uint32_t>(member.backend));
    wire.set_slots(member.slots);
    wire.set_leaving(member.leaving);
    wire.set_store_lost(member.storeLost);
}

MemberRecord decodeRecord(const Wire::MemberRecord &wire, std::error_code &ec)
{
    MemberRecord record;
    if (!isValid(wire)) {
        ec = WireError::BadField;
        return record;
    }
    Member &member = record.member;
    member.id = {wire.name(), wire.incarnation()};
    member.sequence = wire.sequence();
    member.state = static_cast<MemberState>(wire.state());
    member.endpoint = {wire.address(), static_cast<std::uint16_t>(wire.port())};
    member.callerPort = static_cast<std::uint16_t>(wire.caller_port());
    member.region = wire.region();
    member.dataCentre = wire.data_centre();
    member.service = wire.service();
    member.backend = static_cast<BackendState>(wire.backend());
    member.slots = wire.slots();
    member.leaving = wire.leaving();
    member.storeLost = wire.store_lost();
    record.observers.assign(wire.observers().begin(), wire.observers().end());
    record.downFor = milliseconds(wire.down_for_ms());
    record.brief = wire.brief();
    return normalized(std::move(record));
}

/// \param body a Ping or Ack.
void encodeState(const ControlStateSummary &state, auto &body)
{
    body.set_version(state.position.offset);
    body.set_epoch(state.position.epoch);
    body.set_configuration(state.version);
    body.set_origin_epoch(state.originEpoch);
    body.set_availability(state.availabilityDigest);
}

ControlStateSummary decodeState(const auto &body)
{
    return {{body.version(), body.epoch()},
            body.configuration(),
            body.origin_epoch(),
            body.availability()};
}

void encodeBody(const Ping &ping, Wire::Datagram &wire)
{
    wire.mutable_ping()->set_nonce(ping.nonce);
    wire.mutable_ping()->set_want_digest(ping.digestRequested);
    encodeState(ping.state, *wire.mutable_ping());
}

void encodeBody(const Ack &ack, Wire::Datagram &wire)
{
    Wire::Ack &body = *wire.mutable_ack();
    body.set_nonce(ack.nonce);
    encodeState(ack.state, body);
    if (ack.digest) {
        body.set_digest(*ack.digest);
    }
}

void encodeBody(const IndirectPing &ping, Wire::Datagram &wire)
{
    Wire::IndirectPing &body = *wire.mutable_indirect_ping();
    body.set_nonce(ping.nonce);
    body.set_target(ping.target);
    body.set_address(ping.endpoint.address);
    body.set_port(ping.endpoint.port);
}

void encodeBody(const IndirectAck &ack, Wire::Datagram &wire)
{
    wire.mutable_indirect_ack()->set_nonce(ack.nonce);
    wire.mutable_indirect_ack()->set_target(ack.target);
}

Ack decodeAck(const Wire::Ack &wire)
{
    Ack ack {wire.nonce(), decodeState(wire), {}};
    if (wire.has_digest()) {
        ack.digest = wire.digest();
    }
    return ack;
}

void decodeBody(const Wire::Datagram &wire, Datagram &datagram, std::error_code &ec)
{
    switch (wire.body_case()) {
    case Wire::Datagram::kPing:
        datagram.body
            = Ping {wire.ping().nonce(), wire.ping().want_digest(), decodeState(wire.ping())};
        return;
    case Wire::Datagram::kAck:
        datagram.body = decodeAck(wire.ack());
        return;
    case Wire::Datagram::kIndirectPing: {
        const Wire::IndirectPing &body = wire.indirect_ping();
        if (!isValidName(body.target(), 1) || !isValidEndpoint(body.address(), body.port())) {
            ec = WireError::BadField;
        }
        datagram.body = IndirectPing {
            body.nonce(), body.target(), {body.address(), static_cast<std::uint16_t>(body.port())}};
        return;
    }
    case Wire::Datagram::kIndirectAck:
        if (!isValidName(wire.indirect_ack().target(), 1)) {
            ec = WireError::BadField;
        }
        datagram.body = IndirectAck {wire.indirect_ack().nonce(), wire.indirect_ack().target()};
        return;
    case Wire::Datagram::BODY_NOT_SET:
        break;
    }
    ec = WireError::BadFrame;
}

template <typename WireRecords>
std::vector<MemberRecord> decodeRecords(const WireRecords &wire, std::error_code &ec)
{
    std::vector<MemberRecord> records;
    records.reserve(static_cast<std::size_t>(wire.size()));
    for (const Wire::MemberRecord &record : wire) {
        records.push_back(decodeRecord(record, ec));
        if (ec) {
            break;
        }
    }
    return records;
}

} // namespace

std::string encodeDatagram(const Datagram &datagram)
{
    Wire::Datagram wire;
    encodeRecord(datagram.from, *wire.mutable_from());
    std::visit([&wire](const auto &body) { encodeBody(body, wire); }, datagram.body);
    for (const MemberRecord &record : datagram.records) {
        encodeRecord(record, *wire.add_records());
    }
    while (wire.ByteSizeLong() > Datagram::MaxBytes && wire.records_size() > 0) {
        wire.mutable_records()->RemoveLast();
    }
    return wire.SerializeAsString();
}

Datagram decodeDatagram(std::string_view bytes, std::error_code &ec)
{
    ec.clear();
    Datagram datagram;
    Wire::Datagram wire;
    if (bytes.size() > Datagram::MaxBytes || !Internal::parseMessage(bytes, wire)
        || !wire.has_from() || wire.from().brief()) {
        ec = WireError::BadFrame;
        return datagram;
    }
    if (static_cast<std::size_t>(wire.records_size()) > Datagram::MaxRecords) {
        ec = WireError::BadField;
        return datagram;
    }
    datagram.from = decodeRecord(wire.from(), ec);
    if (!ec) {
        datagram.records = decodeRecords(wire.records(), ec);
    }
    if (!ec) {
        decodeBody(wire, datagram, ec);
    }
    return datagram;
}

std::string encodeSyncRequest(const SyncRequest &request)
{
    Wire::SyncRequest wire;
    encodeRecord(request.from, *wire.mutable_from());
    wire.mutable_known()->Add(request.summary.begin(), request.summary.end());
    wire.set_salt(request.salt);
    wire.set_max_bytes(request.maxBytes);
    return wire.SerializeAsString();
}

SyncRequest decodeSyncRequest(std::string_view bytes, std::error_code &ec)
{
    ec.clear();
    SyncRequest request;
    Wire::SyncRequest wire;
    if (!Internal::parseMessage(bytes, wire) || !wire.has_from() || wire.from().brief()) {
        ec = WireError::BadFrame;
        return request;
    }
    if (static_cast<std::size_t>(wire.known_size()) > MaxSyncRecords) {
        ec = WireError::BadField;
        return request;
    }
    request.from = decodeRecord(wire.from(), ec);
    request.summary.assign(wire.known().begin(), wire.known().end());
    request.salt = wire.salt();
    request.maxBytes = wire.max_bytes();
    return request;
}

std::string encodeSyncAnswer(const SyncAnswer &answer)
{
    Wire::SyncAnswer wire;
    for (const MemberRecord &record : answer.records) {
        encodeRecord(record, *wire.add_records());
    }
    wire.set_partial(answer.partial);
    return wire.SerializeAsString();
}

SyncAnswer decodeSyncAnswer(std::string_view bytes, std::error_code &ec)
{
    ec.clear();
    Wire::SyncAnswer wire;
    if (!Internal::parseMessage(bytes, wire)) {
        ec = WireError::BadFrame;
        return {};
    }
    if (static_cast<std::size_t>(wire.records_size()) > MaxSyncRecords) {
        ec = WireError::BadField;
        return {};
    }
    return {decodeRecords(wire.records(), ec), wire.partial()};
}

} // namespace Coltsfootwell
