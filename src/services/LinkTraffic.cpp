#include "services/LinkTraffic.h"

#include <variant>

namespace Coltsfootwell::Internal {

namespace {

bool isControl(const LinkFrame &frame)
{
    return std::holds_alternative<HelloFrame>(frame.body)
        || std::holds_alternative<PingFrame>(frame.body)
        || std::holds_alternative<PongFrame>(frame.body)
        || std::holds_alternative<LoadUpdateFrame>(frame.body)
        || std::holds_alternative<ExchangeFrame>(frame.body);
}

} // namespace

void LinkTraffic::add(const LinkFrame &frame, std::size_t bytes)
{
    (isControl(frame) ? control : calls) += bytes;
}

} // namespace Coltsfootwell::Internal
