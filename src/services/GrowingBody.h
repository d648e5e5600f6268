// Body of a message for the parser of Beast, which takes memory only as bytes arrive.
// Include only from .cpp files, since it includes Beast.
#pragma once

#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>

namespace Coltsfootwell::Internal {

/// \brief A body in a string, like http::string_body, which takes memory for the whole announced
/// length before the first byte arrives.
struct GrowingBody
{
    using value_type = std::string;

    class reader : public boost::beast::http::string_body::reader
    {
    public:
        using boost::beast::http::string_body::reader::reader;

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &ec)
        {
            ec = {};
        }
    };
};

} // namespace Coltsfootwell::Internal
