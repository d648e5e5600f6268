// Folds the log stream "configuration" into the version in force. All folds over the same log reach
// the same content for a version, wherever they begin.
#pragma once

#include "decisions/ConfigurationRecords.h"
#include "kernel/Random.h"
#include "kernel/Time.h"

#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace Coltsfootwell {

/// \brief How long the log keeps records.
struct LogRetention
{
    Duration time = std::chrono::hours(24);
    /// Number of records of a stream that are kept; 0 when only the time counts.
    std::uint64_t records = 0;
};

/// \brief Why a record has no effect.
enum class RecordFault {
    Malformed,
    /// It breaks a rule of the configuration.
    RuleBroken,
    /// Its base is not the version in force: another operator was first.
    Conflict,
    /// Records before it have expired, so that it cannot be judged.
    AfterGap,
};

/// \param fault any value.
/// \return its name in metrics and messages.
std::string_view nameOf(RecordFault fault);

/// \brief A version has come into force.
struct VersionInForce
{
    ConfigurationPtr configuration;
};

/// \brief A record was skipped.
struct RecordRejected
{
    LogOffset offset = 0;
    std::string id;
    RecordFault fault = RecordFault::Malformed;
    std::string text;
};

/// \brief The next read of the log begins elsewhere than after the last record.
struct ReadFrom
{
    LogOffset offset = 0;
};

/// \brief The log has lost all records that were read and counts anew.
struct LogLost
{
};

/// \brief The log needs a new checkpoint.
struct AppendCheckpoint
{
    CheckpointRecord checkpoint;
};

using FoldOutput
    = std::variant<VersionInForce, RecordRejected, ReadFrom, LogLost, AppendCheckpoint>;

/// \brief What one read of the log has returned.
struct ConfigurationBatch
{
    /// Offset of the oldest record that the log still keeps.
    LogOffset first = 0;
    /// Offset that the next appended record gets.
    LogOffset end = 0;
    std::span<const ConfigurationEntry> entries;
};

/// \brief The fold of one daemon or tool. Spans that it returns last until the next call.
class ConfigurationFold
{
public:
    /// \param retention retention of the log.
    /// \param random jitter of checkpoints.
    /// \param now current time.
    ConfigurationFold(LogRetention retention, Random &random, TimePoint now);

    /// \brief Takes a configuration as the state before the first record of the log.
    /// \param configuration its version counts as written.
    void begin(ConfigurationPtr configuration);

    /// \brief Folds what was read.
    std::span<const FoldOutput> read(const ConfigurationBatch &batch, TimePoint now);

    /// \brief Takes over what a peer has folded.
    std::span<const FoldOutput> learn(const ConfigurationSnapshot &snapshot);

    /// \brief Asks for checkpoints that are due. Only for log readers.
    std::span<const FoldOutput> tick(TimePoint now);

    /// \return the state, with no configuration when none is known.
    const ConfigurationSnapshot &state() const { return m_state; }

    ConfigurationVersion version() const { return m_state.version; }

    /// \return offset of the next record to read.
    LogOffset readOffset() const { return m_readOffset; }

    /// \return false after a gap that nothing has covered yet; publishes then have no effect.
    bool isExact() const { return !m_gap; }

    /// \return the author of the publish that brought the version in force; empty when unknown.
    const std::string &author() const { return m_author; }

private:
    void apply(LogOffset offset, const PublishRecord &publish);
    void apply(LogOffset offset, const CheckpointRecord &checkpoint);
    void apply(LogOffset offset, const MalformedRecord &malformed);
    void applyReset(LogOffset offset, const CheckpointRecord &checkpoint);
    void adopt(const ConfigurationSnapshot &snapshot);
    void closeGapAt(LogOffset offset);
    void bringInForce(const ConfigurationPtr &configuration, std::string author);
    void noteLoss(const ConfigurationBatch &batch);
    void noteGap(LogOffset first);
    void scheduleCheckpoint(TimePoint now);
    void reject(LogOffset offset, std::string id, RecordFault fault, std::string text);

    LogRetention m_retention;
    Random &m_random;
    ConfigurationSnapshot m_state;
    std::string m_author;
    LogOffset m_readOffset = 0;
    /// Offset after the expired records that were never folded.
    std::optional<LogOffset> m_gap;
    bool m_lost = false;
    bool m_checkpointSeen = false;
    LogOffset m_checkpointOffset = 0;
    TimePoint m_checkpointDue;
    std::vector<FoldOutput> m_outputs;
};

} // namespace Coltsfootwell
