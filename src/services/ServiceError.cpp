#include "services/ServiceError.h"

namespace Coltsfootwell {

namespace {

class ServiceCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "services"; }

    /// The messages of errors of the store are values of a metric label (see TopicReader) and must
    /// not change.
    std::string message(int value) const override
    {
        switch (static_cast<ServiceError>(value)) {
        case ServiceError::AddressInUse:
            return "cannot listen on the address and port";
        case ServiceError::BadAddress:
            return "not a valid IP address";
        case ServiceError::MissingService:
            return "a required service is not registered";
        case ServiceError::BadIdentity:
            return "the daemon's id, region and data centre must each be a name of 1 to 64 bytes";
        case ServiceError::StoreUnavailable:
            return "the store cannot be reached or does not answer";
        case ServiceError::HistoryLost:
            return "the store has dropped the records that were asked for";
        case ServiceError::Conflict:
            return "the topic has changed since it was read";
        case ServiceError::AnswerTooLarge:
            return "the answer of the store is longer than was allowed";
        case ServiceError::FieldTooLong:
            return "a field of the message is too long for the HTTP parser";
        case ServiceError::UnreadableMessage:
            return "the HTTP parser cannot take the message";
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
