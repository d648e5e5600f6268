#include "decisions/ConfigurationFold.h"

#include "decisions/ConfigurationRules.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

/// A checkpoint each third of the retention leaves two more chances before the last one expires.
constexpr int CheckpointsPerRetention = 3;
/// Share of the interval by which readers differ, so that seldom two of them write.
constexpr double CheckpointJitter = 0.25;

std::string textOf(const RuleViolation &violation)
{
    return violation.path + " \"" + violation.value + "\" " + violation.rule;
}

bool isConsistent(const ConfigurationSnapshot &snapshot)
{
    return snapshot.configuration && snapshot.version > 0
        && snapshot.configuration->version == snapshot.version;
}

} // namespace

std::string_view nameOf(RecordFault fault)
{
    switch (fault) {
    case RecordFault::Malformed:
        return "malformed";
    case RecordFault::RuleBroken:
        return "rule-broken";
    case RecordFault::Conflict:
        return "conflict";
    case RecordFault::AfterGap:
        return "after-gap";
    }
    return "unknown";
}

ConfigurationFold::ConfigurationFold(LogRetention retention, Random &random, TimePoint now)
    : m_retention(retention), m_random(random)
{
    // The age of checkpoints already in the log is unknown; readers that start together spread out.
    m_checkpointDue = now
        + std::chrono::duration_cast<Duration>(m_retention.time * m_random.unit()
                                               / CheckpointsPerRetention);
}

void ConfigurationFold::begin(ConfigurationPtr configuration)
{
    m_state = {configuration->version, 0, configuration};
}

std::span<const FoldOutput> ConfigurationFold::read(const ConfigurationBatch &batch, TimePoint now)
{
    m_outputs.clear();
    m_checkpointSeen = false;
    if (batch.end < m_readOffset) {
        noteLoss(batch);
    }
    if (batch.first > m_readOffset) {
        noteGap(batch.first);
    }
    for (const ConfigurationEntry &entry : batch.entries) {
        if (entry.offset < m_readOffset) {
            continue;
        }
        if (entry.offset > m_readOffset) {
            noteGap(entry.offset);
        }
        m_readOffset = entry.offset + 1;
        if (!m_gap) {
            m_state.through = m_readOffset;
        }
        std::visit([&](const auto &record) { apply(entry.offset, record); }, entry.record);
        if (m_readOffset <= entry.offset) {
            break;
        }
    }
    if (m_checkpointSeen) {
        scheduleCheckpoint(now);
    }
    return m_outputs;
}

std::span<const FoldOutput> ConfigurationFold::learn(const ConfigurationSnapshot &snapshot)
{
    m_outputs.clear();
    // A snapshot through offset 0 comes from a daemon that has folded no record of this log.
    if (isConsistent(snapshot) && (snapshot.through > 0 || snapshot.version > m_state.version)) {
        adopt(snapshot);
    }
    return m_outputs;
}

std::span<const FoldOutput> ConfigurationFold::tick(TimePoint now)
{
    m_outputs.clear();
    if (!m_state.configuration) {
        return m_outputs;
    }
    if (m_lost) {
        m_lost = false;
        CheckpointRecord checkpoint {m_state, true, "log-recovery", {}};
        checkpoint.snapshot.through = m_readOffset;
        m_outputs.emplace_back(AppendCheckpoint {std::move(checkpoint)});
        return m_outputs;
    }
    const bool manyRecords = m_retention.records > 0
        && m_readOffset - m_checkpointOffset >= m_retention.records / CheckpointsPerRetention;
    if (!m_gap && (now >= m_checkpointDue || manyRecords)) {
        m_checkpointOffset = m_readOffset;
        scheduleCheckpoint(now);
        m_outputs.emplace_back(AppendCheckpoint {{m_state, false, {}, {}}});
    }
    return m_outputs;
}

void ConfigurationFold::apply(LogOffset offset, const PublishRecord &publish)
{
    if (!publish.configuration) {
        reject(offset, publish.id, RecordFault::Malformed, "the record has no configuration");
        return;
    }
    if (m_gap) {
        reject(offset, publish.id, RecordFault::AfterGap,
               "records before offset " + std::to_string(*m_gap) + " have expired");
        return;
    }
    if (publish.base != m_state.version) {
        reject(offset, publish.id, RecordFault::Conflict,
               "base " + std::to_string(publish.base) + " is not the version in force, "
                   + std::to_string(m_state.version)
                   + (m_author.empty() ? std::string() : " by " + m_author));
        return;
    }
    const auto violations = checkSuccessor(*publish.configuration, publish.base);
    if (!violations.empty() || publish.version != publish.configuration->version) {
        reject(offset, publish.id, RecordFault::RuleBroken,
               violations.empty() ? "the record and its configuration differ in their version"
                                  : textOf(violations.front()));
        return;
    }
    bringInForce(publish.configuration, publish.author);
}

void ConfigurationFold::apply(LogOffset offset, const CheckpointRecord &checkpoint)
{
    const ConfigurationSnapshot &snapshot = checkpoint.snapshot;
    if (!isConsistent(snapshot) || snapshot.through > offset) {
        reject(offset, checkpoint.id, RecordFault::Malformed,
               "the checkpoint contradicts itself or claims later records");
        return;
    }
    if (const auto violations = checkConfiguration(*snapshot.configuration); !violations.empty()) {
        reject(offset, checkpoint.id, RecordFault::RuleBroken, textOf(violations.front()));
        return;
    }
    m_checkpointSeen = true;
    m_checkpointOffset = offset;
    if (checkpoint.reset) {
        applyReset(offset, checkpoint);
    } else if (m_gap && snapshot.through > 0) {
        adopt(snapshot);
    }
}

void ConfigurationFold::apply(LogOffset offset, const MalformedRecord &malformed)
{
    reject(offset, {}, RecordFault::Malformed, malformed.fault);
}

/// A reset states that nothing is known of the records before its snapshot. After a gap it counts
/// only when its writer knew of all records in the gap, because an earlier reset may be among them.
void ConfigurationFold::applyReset(LogOffset offset, const CheckpointRecord &checkpoint)
{
    const ConfigurationSnapshot &snapshot = checkpoint.snapshot;
    if (m_gap && (snapshot.through < *m_gap || snapshot.version < m_state.version)) {
        reject(offset, checkpoint.id, RecordFault::AfterGap, "the reset does not cover the gap");
        return;
    }
    if (snapshot.version > m_state.version) {
        bringInForce(snapshot.configuration, checkpoint.author);
    } else if (!m_gap) {
        reject(offset, checkpoint.id, RecordFault::Conflict,
               "the reset does not raise version " + std::to_string(m_state.version));
    }
    m_gap.reset();
    m_lost = false;
    m_state.through = offset + 1;
}

void ConfigurationFold::adopt(const ConfigurationSnapshot &snapshot)
{
    if (snapshot.version < m_state.version) {
        return;
    }
    const bool newer = snapshot.version > m_state.version;
    if (newer) {
        bringInForce(snapshot.configuration, {});
    }
    if (m_gap) {
        if (snapshot.through >= *m_gap) {
            closeGapAt(snapshot.through);
        } else if (newer) {
            m_state.through = snapshot.through;
        }
    } else if (snapshot.through > m_readOffset) {
        closeGapAt(snapshot.through);
    } else if (newer && snapshot.through < m_readOffset) {
        // The sender counts the offsets of another log; the records here cannot be judged from it.
        noteGap(m_readOffset);
    }
}

void ConfigurationFold::closeGapAt(LogOffset offset)
{
    m_gap.reset();
    m_lost = false;
    m_state.through = offset;
    if (offset != m_readOffset) {
        m_readOffset = offset;
        m_outputs.emplace_back(ReadFrom {offset});
    }
}

void ConfigurationFold::bringInForce(const ConfigurationPtr &configuration, std::string author)
{
    m_state.version = configuration->version;
    m_state.configuration = configuration;
    m_author = std::move(author);
    m_outputs.emplace_back(VersionInForce {configuration});
}

/// The log has lost records and counts anew. What is known stays in force; a reader writes it back.
void ConfigurationFold::noteLoss(const ConfigurationBatch &batch)
{
    m_gap = batch.end;
    m_lost = true;
    m_state.through = 0;
    m_readOffset = batch.first;
    m_checkpointOffset = batch.first;
    m_outputs.emplace_back(LogLost {});
    m_outputs.emplace_back(ReadFrom {m_readOffset});
}

void ConfigurationFold::noteGap(LogOffset first)
{
    m_gap = m_gap ? std::max(*m_gap, first) : first;
    m_readOffset = std::max(m_readOffset, first);
}

void ConfigurationFold::scheduleCheckpoint(TimePoint now)
{
    const double factor = 1.0 - CheckpointJitter * m_random.unit();
    m_checkpointDue = now
        + std::chrono::duration_cast<Duration>(m_retention.time * factor / CheckpointsPerRetention);
}

void ConfigurationFold::reject(LogOffset offset, std::string id, RecordFault fault,
                               std::string text)
{
    m_outputs.emplace_back(RecordRejected {offset, std::move(id), fault, std::move(text)});
}

} // namespace Coltsfootwell
