// The log and the daemons as the operators' tool sees them: each function waits for its result.
#pragma once

#include "decisions/ConfigurationFold.h"
#include "decisions/Member.h"
#include "wire/StatusJson.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace Coltsfootwell {

/// \brief What became of a record that the tool has appended.
struct RecordOutcome
{
    bool accepted = false;
    /// Why it has no effect.
    std::string reason;
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
    /// \param logAddress "IP number:port" of the log.
    explicit OperatorSession(const std::string &logAddress);
    ~OperatorSession();

    /// \brief Folds the whole stream "configuration"; after a gap asks the daemons for snapshots.
    /// \param ec LogUnavailable or cleared.
    void fold(std::error_code &ec);

    /// \return the state after fold().
    const ConfigurationFold &state() const { return m_fold; }

    /// \brief Highest version that any record or daemon has named.
    ConfigurationVersion highestVersion() const { return m_highest; }

    /// \brief Appends a record and folds on until its outcome is known. When the answer is lost,
    /// the record is looked for by its id. \param id unique id of the record. \param content
    /// encoded record. \param ec LogUnavailable when the outcome is unknown or the record was not
    /// appended; cleared otherwise.
    RecordOutcome append(const std::string &id, const std::string &content, std::error_code &ec);

    /// \return a new id for a record.
    std::string newId();

    /// \brief Addresses of the daemons in the log stream "members".
    std::vector<Endpoint> daemons(std::error_code &ec);

    /// \brief Asks daemons for their status at the same time.
    std::vector<DaemonAnswer> ask(std::span<const Endpoint> endpoints);

    /// \brief Waits without work.
    void pause(Duration delay);

private:
    struct Runtime;

    bool foldOnce(std::error_code &ec);
    void learnFromDaemons();

    std::unique_ptr<Runtime> m_runtime;
    ConfigurationFold m_fold;
    ConfigurationVersion m_highest = 0;
    /// Own record that is looked for, and what was seen of it.
    std::string m_wantedId;
    bool m_wantedSeen = false;
    std::optional<RecordRejected> m_wantedRejected;
};

} // namespace Coltsfootwell
