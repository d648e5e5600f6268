#include "performance/TransportMemory.h"

#include "kernel/AsioExecutor.h"
#include "performance/TransportServers.h"

#include <fstream>
#include <unistd.h>

namespace Coltsfootwell::Testing {

namespace {

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

ConnectionMemory httpPoolMemory(unsigned n)
{
    TcpServer server(HttpPort, echoHttp);
    asio::io_context context {1};
    AsioExecutor executor(context);
    std::vector<std::shared_ptr<HttpPool>> pools;
    const auto open = [&] {
        pools.push_back(
            std::make_shared<HttpPool>(context, Endpoint {"127.0.0.1", server.endpoint().port()}));
        return exchangeOnce(context, executor, pools.back());
    };
    open();
    const double before = residentBytes();
    ConnectionMemory memory;
    for (unsigned i = 0; i < n; ++i) {
        memory.failed += open() ? 0 : 1;
    }
    memory.bytesEach = (residentBytes() - before) / n;
    return memory;
}

ConnectionMemory grpcChannelMemory(unsigned n)
{
    GrpcServer server;
    std::vector<std::unique_ptr<::coltsfootwell::logservice::Log::Stub>> stubs;
    const auto open = [&] {
        grpc::ChannelArguments arguments;
        // Channels to one address would otherwise share one connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        stubs.push_back(::coltsfootwell::logservice::Log::NewStub(grpc::CreateCustomChannel(
            GrpcServer::address(), grpc::InsecureChannelCredentials(), arguments)));
        return appendOnce(*stubs.back());
    };
    open();
    const double before = residentBytes();
    ConnectionMemory memory;
    for (unsigned i = 0; i < n; ++i) {
        memory.failed += open() ? 0 : 1;
    }
    memory.bytesEach = (residentBytes() - before) / n;
    return memory;
}

} // namespace Coltsfootwell::Testing
