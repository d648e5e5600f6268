#include "wire/WireError.h"

namespace Coltsfootwell {

namespace {

class WireCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "wire"; }

    std::string message(int value) const override
    {
        switch (static_cast<WireError>(value)) {
        case WireError::BadHeader:
            return "a header has a malformed value";
        case WireError::BadJson:
            return "the text is not well-formed JSON";
        case WireError::BadField:
            return "a field is missing or invalid";
        case WireError::BadFrame:
            return "the message cannot be decoded";
        }
        return "unknown wire error";
    }
};

} // namespace

const std::error_category &wireCategory()
{
    static const WireCategory category;
    return category;
}

std::error_code make_error_code(WireError error)
{
    return {static_cast<int>(error), wireCategory()};
}

} // namespace Coltsfootwell
