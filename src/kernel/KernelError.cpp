#include "kernel/KernelError.h"

namespace Coltsfootwell {

namespace {

class KernelCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "kernel"; }

    std::string message(int value) const override
    {
        switch (static_cast<KernelError>(value)) {
        case KernelError::NameUnknown:
            return "no service is registered under this name";
        case KernelError::NameTaken:
            return "a service is already registered under this name";
        case KernelError::MessageTypeMismatch:
            return "the service registered under this name accepts another message type";
        }
        return "unknown kernel error";
    }
};

} // namespace

const std::error_category &kernelCategory()
{
    static const KernelCategory category;
    return category;
}

std::error_code make_error_code(KernelError error)
{
    return {static_cast<int>(error), kernelCategory()};
}

} // namespace Coltsfootwell
