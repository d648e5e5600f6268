// Resident memory of connections that were used once.
#pragma once

namespace Coltsfootwell::Testing {

/// \brief Growth of this process, which holds both ends of each connection.
struct ConnectionMemory
{
    double bytesEach = 0;
    unsigned failed = 0;
};

/// \param n number of pools with one connection each.
ConnectionMemory httpPoolMemory(unsigned n);

/// \param n number of channels; none shares its connection with another.
ConnectionMemory grpcChannelMemory(unsigned n);

} // namespace Coltsfootwell::Testing
