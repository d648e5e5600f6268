// Synchronous access of coltsfootctl to the store and the daemons.
#pragma once

#include "decisions/Configuration.h"
#include "decisions/Member.h"
#include "decisions/StorePosition.h"
#include "kernel/Time.h"
#include "wire/StatusJson.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief Newest published configuration.
struct PublishedState
{
    /// Null before the first version.
    ConfigurationPtr configuration;
    /// Offset of the end of the topic when it was read. A publish is conditional on it, so that it
    /// never overwrites a concurrent one.
    std::uint64_t end = 0;
    /// Epoch in which the topic had this end; std::nullopt if the store does not name it.
    std::optional<StoreEpoch> epoch;
};

/// \brief Result of a publish.
enum class PublishOutcome {
    Published,
    /// Something was published since the state was read.
    Conflict,
    /// The store has come back from an older copy since the state was read. The configuration may
    /// be lost, or may have replaced one that was never read.
    StoreReturned,
    /// The store has not answered.
    Unknown,
};

/// \brief A daemon and its status.
struct DaemonAnswer
{
    Endpoint endpoint;
    /// std::nullopt if the daemon did not answer.
    std::optional<DaemonStatus> status;
};

/// \brief Connection to the store and event loop of one run of the tool. Each function blocks until
/// its result is available.
class OperatorSession
{
public:
    /// \param store address of the store.
    explicit OperatorSession(const Endpoint &store);
    ~OperatorSession();

    /// \brief Reads the newest configuration.
    /// \param ec set to ServiceError::StoreUnavailable, or cleared.
    PublishedState read(std::error_code &ec);

    /// \brief Publishes a configuration unless something was published since the state was read.
    /// \param configuration configuration to publish.
    /// \param state state from which it was made.
    PublishOutcome publish(const Configuration &configuration, const PublishedState &state);

    /// \param ec set to the error of the store, or cleared.
    /// \return endpoints for callers of the daemons that are registered in the store.
    std::vector<Endpoint> readRegisteredDaemons(std::error_code &ec);

    /// \brief Queries the status of all given daemons concurrently.
    std::vector<DaemonAnswer> queryStatus(std::span<const Endpoint> endpoints);

    /// \brief Blocks for the given time.
    void sleepFor(Duration delay);

private:
    struct Runtime;

    std::unique_ptr<Runtime> m_runtime;
};

} // namespace Coltsfootwell
