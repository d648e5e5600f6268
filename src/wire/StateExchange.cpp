#include "wire/StateExchange.h"

#include "wire/ProtobufMessage.h"
#include "wire/generated/state.pb.h"

namespace Coltsfootwell {

namespace {

void encodePosition(const StorePosition &position, Wire::StorePosition &wire)
{
    wire.set_offset(position.offset);
    wire.set_epoch(position.epoch);
}

StorePosition decodePosition(const Wire::StorePosition &wire)
{
    return {wire.offset(), wire.epoch()};
}

void encodeAvailability(const AvailabilityState &state, Wire::StateAnswer &wire)
{
    encodePosition(state.position, *wire.mutable_position());
    encodePosition(state.origin, *wire.mutable_origin());
    encodePosition(state.possibleCopyEnd, *wire.mutable_possible_copy_end());
    for (const auto &[name, entry] : state.dataCentres) {
        Wire::DataCentreAvailability &encoded = *wire.add_data_centres();
        encoded.set_name(name);
        encoded.set_out(entry.isOut);
        encodePosition(entry.decidedAt, *encoded.mutable_decided_at());
        for (const AvailabilityRecord &record : entry.recentRecords) {
            Wire::AvailabilityRecord &encodedRecord = *encoded.add_recent_records();
            encodePosition(record.at, *encodedRecord.mutable_at());
            encodedRecord.set_out(record.isOut);
        }
    }
}

AvailabilityState decodeAvailability(const Wire::StateAnswer &wire)
{
    AvailabilityState state;
    state.position = decodePosition(wire.position());
    state.origin = decodePosition(wire.origin());
    state.possibleCopyEnd = decodePosition(wire.possible_copy_end());
    for (const Wire::DataCentreAvailability &entry : wire.data_centres()) {
        DataCentreAvailability &decoded = state.dataCentres[entry.name()];
        decoded.isOut = entry.out();
        decoded.decidedAt = decodePosition(entry.decided_at());
        for (const Wire::AvailabilityRecord &record : entry.recent_records()) {
            decoded.recentRecords.push_back({decodePosition(record.at()), record.out()});
        }
    }
    return state;
}

} // namespace

std::string encodeStateRequest(const StateRequest &request)
{
    Wire::StateQuestion wire;
    wire.set_held(request.heldVersion);
    return wire.SerializeAsString();
}

std::optional<StateRequest> decodeStateRequest(std::string_view bytes)
{
    Wire::StateQuestion wire;
    return Internal::parseMessage(bytes, wire) ? std::optional(StateRequest {wire.held()})
                                               : std::nullopt;
}

std::string encodeStateAnswer(const StateAnswer &answer)
{
    Wire::StateAnswer wire;
    encodeAvailability(answer.availability, wire);
    wire.set_version(answer.version);
    wire.set_base(answer.base);
    wire.set_key(answer.key);
    wire.set_content(answer.content);
    wire.set_complete(true);
    return wire.SerializeAsString();
}

std::optional<StateAnswer> decodeStateAnswer(std::string_view bytes)
{
    Wire::StateAnswer wire;
    if (!Internal::parseMessage(bytes, wire) || !wire.complete()) {
        return std::nullopt;
    }
    AvailabilityState availability = decodeAvailability(wire);
    if (availability.position == StorePosition {}) {
        return std::nullopt;
    }
    return StateAnswer {std::move(availability), wire.version(), wire.base(), wire.key(),
                        wire.content()};
}

} // namespace Coltsfootwell
