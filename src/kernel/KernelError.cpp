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
            return "no service has this name";
        case KernelError::NameTaken:
            return "a service with this name exists already";
        case KernelError::MessageTypeMismatch:
            return "the service with this name takes messages of another type";
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
