// One hop to a server on a thread of its own, by each of the transports compared.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

namespace Coltsfootwell::Testing {

constexpr std::size_t HopBodyBytes = 1024;

/// \brief A transport with its server.
class TransportHop
{
public:
    virtual ~TransportHop() = default;

    virtual const char *name() const = 0;

    /// \brief Sends a body and waits for the answer.
    /// \return false when no whole answer came.
    virtual bool run() = 0;
};

/// \return gRPC unary, HttpExchange, a frame over TCP and a UDP datagram.
std::vector<std::unique_ptr<TransportHop>> makeTransportHops();

} // namespace Coltsfootwell::Testing
