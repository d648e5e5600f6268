// One GET of a control path of another daemon, with its whole answer in memory.
#pragma once

#include "decisions/Member.h"
#include "kernel/Executor.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Coltsfootwell {

class HttpExchange;

/// \brief Asks a daemon.
/// \param context runs the connection.
/// \param executor runs the handler.
/// \param endpoint the daemon's address.
/// \param path path below "/coltsfootwell/".
/// \param done called once, with nothing when there is no whole answer of status 200.
/// \return the exchange, to cancel it.
std::shared_ptr<HttpExchange> fetchControl(boost::asio::io_context &context, Executor &executor,
                                           const Endpoint &endpoint, std::string_view path,
                                           std::function<void(std::optional<std::string>)> done);

} // namespace Coltsfootwell
