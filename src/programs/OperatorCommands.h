// The commands of the operators' tool that read or change the configuration.
#pragma once

#include "programs/OperatorSession.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Coltsfootwell {

/// \brief Exit codes of the tool.
enum class OperatorExit {
    Done = 0,
    BadInput = 2,
    Conflict = 3,
    StoreUnavailable = 4,
    NotInForce = 5,
};

/// \brief Options that several commands share.
struct OperatorOptions
{
    Endpoint store {"127.0.0.1", 7000};
    /// Daemons to ask in place of those in the store.
    std::vector<Endpoint> daemons;
    /// Longest wait until the version is in force everywhere; zero not to wait.
    std::chrono::milliseconds wait {0};
};

/// \brief Carries out the commands of one run.
class OperatorCommands
{
public:
    /// \param options shared options.
    /// \param out gets results.
    /// \param error gets messages about failures.
    OperatorCommands(OperatorOptions options, std::ostream &out, std::ostream &error);

    /// \brief Publishes the configuration of a file, whose version is either the version that it
    /// was edited from or the next one.
    OperatorExit publish(const std::string &file);

    /// \brief Prints what a file would change.
    OperatorExit diff(const std::string &file);

    /// \brief Prints the newest configuration.
    OperatorExit show();

    /// \brief Takes a data centre out of service or brings it back.
    OperatorExit setInService(const std::string &dataCentre, bool inService);

    /// \brief Drains the backend server of a daemon or ends that.
    OperatorExit setDrained(const std::string &daemon, bool drained);

    /// \brief Prints which daemons have which version in force.
    OperatorExit status();

private:
    bool load(const std::string &file, Configuration &configuration);
    bool readStore();
    OperatorExit change(Configuration next);
    OperatorExit publishNext(Configuration next);
    OperatorExit waitInForce(ConfigurationVersion version);
    std::vector<Endpoint> knownDaemons(std::error_code &ec);
    OperatorExit noDaemons(OperatorExit exit);
    OperatorExit storeFailed();
    OperatorExit nothingPublished();

    OperatorOptions m_options;
    std::ostream &m_out;
    std::ostream &m_error;
    OperatorSession m_session;
    PublishedState m_state;
};

} // namespace Coltsfootwell
