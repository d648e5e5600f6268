// Guards against malformed datagrams that are accepted or crash the daemon, and against datagrams
// of more than 1,200 bytes.
#include "support/MalformedInput.h"
#include "wire/MembershipCodec.h"
#include "wire/WireError.h"
#include "wire/generated/membership.pb.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace Coltsfootwell;
using namespace Coltsfootwell::Testing;
using namespace std::chrono_literals;

namespace {

MemberRecord record(const std::string &name)
{
    MemberRecord record;
    record.member.id = {name, 77};
    record.member.sequence = 5;
    record.member.endpoint = {"127.0.0.1", 12000};
    record.member.region = "nordeste-litoral";
    record.member.dataCentre = "recife-a";
    record.member.service = "estoque-consulta";
    record.member.backend = BackendState::Warm;
    record.member.slots = 9;
    return record;
}

Datagram sampleDatagram()
{
    MemberRecord suspect = record("recife-a-2");
    suspect.member.state = MemberState::Suspect;
    suspect.observers = {"recife-a-1", "salvador-b-1"};
    MemberRecord lost = record("recife-a-3");
    lost.member.state = MemberState::Unreachable;
    lost.downFor = 1500ms;
    return {record("recife-a-1"), Ack {9, {{4, 2}, 7, 1, 5}, 11}, {suspect, lost}};
}

std::error_code decodingErrorOf(const Wire::Datagram &wire)
{
    std::error_code ec;
    decodeDatagram(wire.SerializeAsString(), ec);
    return ec;
}

} // namespace

TEST_CASE("encoded messages are decoded to equal messages")
{
    std::error_code ec;
    CHECK(decodeDatagram(encodeDatagram(sampleDatagram()), ec) == sampleDatagram());
    CHECK_FALSE(ec);
    const SyncRequest request {sampleDatagram().from, {1, ~std::uint32_t(0)}, 7, 40'000};
    CHECK(decodeSyncRequest(encodeSyncRequest(request), ec) == request);
    CHECK_FALSE(ec);
    const SyncAnswer answer {sampleDatagram().records, true};
    CHECK(decodeSyncAnswer(encodeSyncAnswer(answer), ec) == answer);
    CHECK_FALSE(ec);
}

TEST_CASE("a brief record of a suspicion is accepted, and one of an alive member is rejected")
{
    MemberRecord brief;
    brief.member.id = {"recife-a-2", 77};
    brief.member.sequence = 5;
    brief.member.state = MemberState::Suspect;
    brief.observers = {"recife-a-1"};
    brief.brief = true;
    Datagram datagram = sampleDatagram();
    datagram.records = {brief};
    std::error_code ec;
    CHECK(decodeDatagram(encodeDatagram(datagram), ec) == datagram);
    CHECK_FALSE(ec);
    datagram.records.front().member.state = MemberState::Alive;
    decodeDatagram(encodeDatagram(datagram), ec);
    CHECK(ec == WireError::BadField);
}

TEST_CASE(
    "the time since a loss is rounded up, so that the loss never seems more recent than it is")
{
    Datagram datagram = sampleDatagram();
    MemberRecord lost = record("lost");
    lost.member.state = MemberState::Unreachable;
    lost.downFor = 250ms + 1us;
    datagram.records = {lost};
    std::error_code ec;
    const Datagram decoded = decodeDatagram(encodeDatagram(datagram), ec);
    CHECK(decoded.records.front().downFor == 251ms);
}

TEST_CASE("an encoded datagram has at most 1,200 bytes")
{
    Datagram datagram = sampleDatagram();
    for (std::size_t i = 0; i < Datagram::MaxRecords; ++i) {
        datagram.records.push_back(record(std::string(MaxWireNameBytes, 'n')));
        datagram.records.back().member.service = std::string(MaxWireNameBytes, 's');
        datagram.records.back().member.region = std::string(MaxWireNameBytes, 'r');
    }
    CHECK(encodeDatagram(datagram).size() <= Datagram::MaxBytes);
}

TEST_CASE("a value out of range is rejected in each field")
{
    Wire::Datagram valid;
    REQUIRE(valid.ParseFromString(encodeDatagram(sampleDatagram())));
    REQUIRE_FALSE(decodingErrorOf(valid));
    const std::vector<std::function<void(Wire::MemberRecord &)>> faults {
        [](auto &r) { r.set_name(""); },
        [](auto &r) { r.set_name(std::string(MaxWireNameBytes + 1, 'n')); },
        [](auto &r) { r.set_name("two words"); },
        [](auto &r) { r.set_region(std::string(MaxWireNameBytes + 1, 'n')); },
        [](auto &r) { r.set_address("host.example"); },
        [](auto &r) { r.set_address(""); },
        [](auto &r) { r.set_port(0); },
        [](auto &r) { r.set_port(65'536); },
        [](auto &r) { r.set_state(4); },
        [](auto &r) { r.set_backend(5); },
        [](auto &r) { r.add_observers(""); },
        [](auto &r) {
            for (int i = 0; i < 3; ++i) {
                r.add_observers("n");
            }
        },
    };
    for (const auto &fault : faults) {
        Wire::Datagram wire = valid;
        fault(*wire.mutable_from());
        CHECK(decodingErrorOf(wire) == WireError::BadField);
        wire = valid;
        fault(*wire.mutable_records(1));
        CHECK(decodingErrorOf(wire) == WireError::BadField);
    }
    Wire::Datagram wire = valid;
    wire.clear_ack();
    CHECK(decodingErrorOf(wire) == WireError::BadFrame);
    wire = valid;
    wire.clear_from();
    CHECK(decodingErrorOf(wire) == WireError::BadFrame);
    wire = valid;
    wire.mutable_indirect_ping()->set_target("");
    CHECK(decodingErrorOf(wire) == WireError::BadField);
}

TEST_CASE("arbitrary corrupt bytes are decoded or rejected without a crash")
{
    CHECK(rc::check([] {
        std::string bytes = encodeDatagram(sampleDatagram());
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
        bytes.resize(bytes.size() - cut);
        std::error_code ec;
        const Datagram decoded = decodeDatagram(bytes, ec);
        if (!ec) {
            RC_ASSERT(encodeDatagram(decoded).size() <= Datagram::MaxBytes);
        }
        decodeSyncRequest(bytes, ec);
        decodeSyncAnswer(bytes, ec);
    }));
}

TEST_CASE("datagrams and sync messages with any values survive encoding and decoding")
{
    SeededRandom random(6);
    const auto randomRecord = [&random] {
        MemberRecord record = sampleDatagram().from;
        record.member.id = {"n-" + std::to_string(random.below(1000)), random.next()};
        record.member.sequence = random.next();
        record.member.endpoint.port = std::uint16_t(1 + random.below(65'535));
        record.member.callerPort = std::uint16_t(random.below(65'536));
        record.member.backend = static_cast<BackendState>(random.below(5));
        record.member.slots = unsigned(random.below(1'000'000));
        record.member.leaving = random.below(2) == 0;
        record.member.storeLost = random.below(2) == 0;
        record.member.state = static_cast<MemberState>(random.below(4));
        if (record.member.state == MemberState::Unreachable) {
            record.downFor = std::chrono::milliseconds(random.below(1'000'000));
        }
        return normalized(std::move(record));
    };
    const auto randomState = [&random] {
        return ControlStateSummary {
            {random.next(), random.next()}, random.next(), random.next(), random.next()};
    };
    for (unsigned n = 0; n < 200; ++n) {
        Datagram datagram {randomRecord(),
                           Ping {random.next(), true, randomState()},
                           {randomRecord(), randomRecord()}};
        if (n % 4 == 1) {
            datagram.body = Ack {random.next(), randomState(), random.next()};
        } else if (n % 4 == 2) {
            datagram.body = IndirectPing {random.next(), "target", {"10.0.0.1", 7600}};
        } else if (n % 4 == 3) {
            datagram.body = IndirectAck {random.next(), "target"};
        }
        std::error_code ec;
        CHECK(decodeDatagram(encodeDatagram(datagram), ec) == datagram);
        CHECK_FALSE(ec);
        const SyncRequest request {
            randomRecord(), {std::uint32_t(random.next())}, std::uint32_t(random.next()), 40'000};
        CHECK(decodeSyncRequest(encodeSyncRequest(request), ec) == request);
        CHECK_FALSE(ec);
        const SyncAnswer answer {{randomRecord(), randomRecord()}, n % 2 == 0};
        CHECK(decodeSyncAnswer(encodeSyncAnswer(answer), ec) == answer);
        CHECK_FALSE(ec);
    }
}

TEST_CASE("a malformed message is rejected with an error of the wire, or decoded within limits")
{
    const auto known = [](std::error_code ec) {
        return !ec || ec == WireError::BadFrame || ec == WireError::BadField;
    };
    MalformedInput input([&known](std::string_view bytes) {
        std::error_code ec;
        const Datagram datagram = decodeDatagram(bytes, ec);
        CHECK(known(ec));
        if (!ec) {
            CHECK(datagram.records.size() <= Datagram::MaxRecords);
            CHECK_FALSE(datagram.from.member.id.name.empty());
            CHECK(encodeDatagram(datagram).size() <= Datagram::MaxBytes);
        }
        decodeSyncRequest(bytes, ec);
        CHECK(known(ec));
        decodeSyncAnswer(bytes, ec);
        CHECK(known(ec));
    });
    input.visitAll(encodeDatagram(sampleDatagram()));
    input.visitAll(encodeSyncRequest({sampleDatagram().from, {1, 2, 3}, 7, 40'000}));
    input.visitAll(encodeSyncAnswer({sampleDatagram().records, true}));
}
