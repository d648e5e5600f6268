// The store and the daemons as the operators' tool sees them: each function waits for its result.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"
#include "kernel/Time.h"
#include "wire/StatusJson.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief What operators have published.
struct PublishedState
{
    /// Null before the first version.
    ConfigurationPtr configuration;
    /// End of the topic when it was read; a publish names it, so that it never overwrites another.
    std::uint64_t end = 0;
};

/// \brief A daemon and its answer, if it gave one.
struct DaemonAnswer
{
    Endpoint endpoint;
    std::optional<DaemonStatus> status;
};

/// \brief One run of the tool.
class OperatorSession
{
public:
    /// \param store address of the store.
    explicit OperatorSession(const Endpoint &store);
    ~OperatorSession();

    /// \brief Reads the newest configuration.
    /// \param ec StoreUnavailable or cleared.
    PublishedState read(std::error_code &ec);

    /// \brief Publishes a configuration if nothing else was published since a state was read.
    /// \param ec StoreUnavailable when the outcome is unknown, Conflict when another operator was
    /// first, or cleared.
    void publish(const Configuration &configuration, std::uint64_t end, std::error_code &ec);

    /// \return callers' addresses of the daemons that have a record in the store.
    std::vector<Endpoint> daemons(std::error_code &ec);

    /// \brief Asks daemons for their status at the same time.
    std::vector<DaemonAnswer> ask(std::span<const Endpoint> endpoints);

    /// \brief Waits without work.
    void pause(Duration delay);

private:
    struct Runtime;

    std::unique_ptr<Runtime> m_runtime;
};

} // namespace Coltsfootwell
