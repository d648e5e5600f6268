#include "services/ServiceError.h"

namespace Coltsfootwell {

namespace {

class ServiceCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "services"; }

    std::string message(int value) const override
    {
        switch (static_cast<ServiceError>(value)) {
        case ServiceError::AddressInUse:
            return "the address and port to listen on cannot be opened";
        case ServiceError::BadAddress:
            return "the address is not an IP number";
        case ServiceError::MissingService:
            return "a service that this one needs is not registered";
        case ServiceError::LogUnavailable:
            return "the log service cannot be reached";
        case ServiceError::BadIdentity:
            return "the daemon's id, region or data centre is not a name of 1 to 64 bytes";
        }
        return "unknown service error";
    }
};

} // namespace

const std::error_category &serviceCategory()
{
    static const ServiceCategory category;
    return category;
}

std::error_code make_error_code(ServiceError error)
{
    return {static_cast<int>(error), serviceCategory()};
}

} // namespace Coltsfootwell
