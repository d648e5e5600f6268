// Commands of coltsfootctl that read or change the configuration.
#pragma once

#include "programs/OperatorSession.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief Exit codes of coltsfootctl.
enum class OperatorExit {
    Done = 0,
    BadInput = 2,
    Conflict = 3,
    StoreUnavailable = 4,
    NotActive = 5,
};

/// \brief Options that apply to several commands.
struct OperatorOptions
{
    Endpoint store {"127.0.0.1", 7000};
    /// Daemons to query instead of those registered in the store.
    std::vector<Endpoint> daemons;
    /// Maximum time to wait until the version is active on all daemons; zero not to wait.
    std::chrono::milliseconds wait {0};
};

/// \brief Executes the commands of one run of the tool.
class OperatorCommands
{
public:
    /// \param options options of the command line.
    /// \param out output stream for results.
    /// \param error output stream for error messages.
    OperatorCommands(OperatorOptions options, std::ostream &out, std::ostream &error);

    /// \brief Publishes the configuration in a file, whose version must be the newest published
    /// version, from which it was edited, or the next one.
    OperatorExit publish(const std::string &file);

    /// \brief Prints the differences between the newest published configuration and a file.
    OperatorExit diff(const std::string &file);

    /// \brief Prints the newest published configuration.
    OperatorExit show();

    /// \brief Takes a data centre out of service or returns it to service.
    OperatorExit setInService(const std::string &dataCentre, bool inService);

    /// \brief Starts or ends the drain of a daemon's backend server.
    OperatorExit setDrained(const std::string &daemon, bool drained);

    /// \brief Prints the active configuration version of each daemon.
    OperatorExit status();

private:
    bool loadConfiguration(const std::string &file, Configuration &configuration);
    bool readStore();
    OperatorExit publishChange(Configuration next);
    OperatorExit publishNextVersion(Configuration next);
    OperatorExit waitUntilActive(ConfigurationVersion version);
    std::vector<Endpoint> daemonEndpoints(std::error_code &ec);
    OperatorExit reportNoDaemons(OperatorExit exit);
    OperatorExit reportStoreUnavailable();
    OperatorExit reportNothingPublished();

    OperatorOptions m_options;
    std::ostream &m_out;
    std::ostream &m_error;
    OperatorSession m_session;
    PublishedState m_state;
};

} // namespace Coltsfootwell
