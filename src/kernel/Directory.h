// Maps names of services to the addresses of their mailboxes.
#pragma once

#include "kernel/KernelError.h"
#include "kernel/Mailbox.h"

#include <any>
#include <map>
#include <string>
#include <string_view>

namespace Coltsfootwell {

/// \brief Names and addresses of the services of one process.
class Directory
{
public:
    /// \brief Makes a mailbox known under a name.
    /// \param name name of the service.
    /// \param address address of its mailbox.
    /// \return KernelError::NameTaken when the name is in use.
    template <typename Message>
    std::error_code publish(std::string_view name, Address<Message> address)
    {
        const auto [it, added] = m_addresses.try_emplace(std::string(name), std::move(address));
        return added ? std::error_code() : make_error_code(KernelError::NameTaken);
    }

    /// \brief Finds a service.
    /// \param name name of the service.
    /// \param ec NameUnknown or MessageTypeMismatch; cleared on success.
    /// \return its address; messages to an address that was not found are dropped.
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
