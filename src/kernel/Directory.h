// Maps service names to mailbox addresses.
#pragma once

#include "kernel/KernelError.h"
#include "kernel/Mailbox.h"

#include <any>
#include <map>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Registry of the services of one process.
class Directory
{
public:
    /// \brief Registers a mailbox under a name.
    /// \param name name of the service.
    /// \param address address of the service's mailbox.
    /// \return KernelError::NameTaken if the name is already registered.
    template <typename Message>
    std::error_code publish(std::string_view name, Address<Message> address)
    {
        const auto [it, added] = m_addresses.try_emplace(std::string(name), std::move(address));
        return added ? std::error_code() : make_error_code(KernelError::NameTaken);
    }

    /// \brief Looks up the mailbox address of a service.
    /// \param name name of the service.
    /// \param ec set to NameUnknown or MessageTypeMismatch on failure; cleared on success.
    /// \return the address, or an empty address that drops all messages on failure.
    template <typename Message>
    Address<Message> find(std::string_view name, std::error_code &ec) const
    {
        ec.clear();
        const auto it = m_addresses.find(name);
        if (it == m_addresses.end()) {
            ec = KernelError::NameUnknown;
            return {};
        }
        if (const auto *address = std::any_cast<Address<Message>>(&it->second)) {
            return *address;
        }
        ec = KernelError::MessageTypeMismatch;
        return {};
    }

private:
    std::map<std::string, std::any, std::less<>> m_addresses;
};

} // namespace Coltsfootwell
