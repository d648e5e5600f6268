#include "wire/StateExchange.h"

#include "wire/ProtobufMessage.h"
#include "wire/generated/state.pb.h"

namespace Coltsfootwell {

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
    for (const std::string &dataCentre : answer.outOfService) {
        wire.add_out(dataCentre);
    }
    wire.set_version(answer.version);
    wire.set_base(answer.base);
    wire.set_key(answer.key);
    wire.set_content(answer.content);
    wire.set_position(answer.position);
    return wire.SerializeAsString();
}

std::optional<StateAnswer> decodeStateAnswer(std::string_view bytes)
{
    Wire::StateAnswer wire;
    if (!Internal::parseMessage(bytes, wire) || wire.position() == 0) {
        return std::nullopt;
    }
    return StateAnswer {wire.position(), {wire.out().begin(), wire.out().end()},
                        wire.version(),  wire.base(),
                        wire.key(),      wire.content()};
}

} // namespace Coltsfootwell
