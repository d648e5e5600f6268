#include "services/HttpIo.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>

namespace Coltsfootwell::Internal {

bool isHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> Names {"connection",
                                                             "keep-alive",
                                                             "proxy-connection",
                                                             "transfer-encoding",
                                                             "te",
                                                             "trailer",
                                                             "upgrade",
                                                             "expect",
                                                             "content-length",
                                                             "proxy-authenticate",
                                                             "proxy-authorization"};
    return std::ranges::any_of(Names, [name](std::string_view hop) {
        return beast::iequals(beast::string_view(hop.data(), hop.size()),
                              beast::string_view(name.data(), name.size()));
    });
}

std::size_t bodyBytesWanted(boost::optional<std::uint64_t> left)
{
    const std::uint64_t bytes = left ? *left : BodyBufferBytes;
    return static_cast<std::size_t>(std::clamp<std::uint64_t>(bytes, 1, BodyBufferBytes));
}

std::vector<HeaderField> passedHeaders(const http::fields &fields)
{
    std::vector<HeaderField> headers;
    for (const auto &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!isHopHeader(name)) {
            headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    return headers;
}

void resetStream(beast::tcp_stream &stream)
{
    boost::system::error_code ec;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
    stream.socket().close(ec);
}

} // namespace Coltsfootwell::Internal
