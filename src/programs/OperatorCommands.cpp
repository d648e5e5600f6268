#include "programs/OperatorCommands.h"

#include "programs/ConfigurationFile.h"
#include "wire/ConfigurationJson.h"
#include "wire/ConfigurationRecordJson.h"
#include "wire/EndpointText.h"
#include "wire/JsonDiff.h"

#include <algorithm>
#include <ostream>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds StatusPeriod {100};
/// A reset begins a new range of versions, so that it cannot repeat the number of a version that
/// was accepted in the lost history.
constexpr ConfigurationVersion VersionsPerReset = 1'000'000;

bool hasInForce(const DaemonAnswer &answer, ConfigurationVersion version)
{
    return answer.status && answer.status->version >= version && answer.status->fresh;
}

} // namespace

OperatorCommands::OperatorCommands(OperatorOptions options, std::ostream &out, std::ostream &error)
    : m_options(std::move(options)), m_out(out), m_error(error), m_session(m_options.log)
{
}

OperatorExit OperatorCommands::publish(const std::string &file)
{
    Configuration next;
    if (!load(file, next)) {
        return OperatorExit::BadInput;
    }
    if (!foldLog()) {
        return logFailed();
    }
    if (m_options.reset) {
        return publishReset(std::move(next));
    }
    const ConfigurationVersion inForce = m_session.state().version();
    if (next.version != inForce && next.version != inForce + 1) {
        m_error << "conflict: " << file << " has version " << next.version << ", but "
                << inForceText() << '\n';
        return OperatorExit::Conflict;
    }
    return publishNext(std::move(next));
}

OperatorExit OperatorCommands::diff(const std::string &file)
{
    Configuration next;
    if (!load(file, next)) {
        return OperatorExit::BadInput;
    }
    if (!foldLog()) {
        return logFailed();
    }
    const ConfigurationPtr &inForce = m_session.state().state().configuration;
    const std::string before = inForce ? encodeConfiguration(*inForce) : "{}";
    for (const JsonDifference &difference : diffJson(before, encodeConfiguration(next))) {
        m_out << difference.path << ": "
              << (difference.before.empty() ? "(absent)" : difference.before) << " -> "
              << (difference.after.empty() ? "(absent)" : difference.after) << '\n';
    }
    return OperatorExit::Done;
}

OperatorExit OperatorCommands::show()
{
    if (!foldLog()) {
        return logFailed();
    }
    const ConfigurationPtr &inForce = m_session.state().state().configuration;
    if (!inForce) {
        m_error << "the log at " << m_options.log
                << " holds no configuration in force: publish one\n";
        return OperatorExit::BadInput;
    }
    m_out << encodeConfiguration(*inForce) << '\n';
    return OperatorExit::Done;
}

OperatorExit OperatorCommands::setInService(const std::string &dataCentre, bool inService)
{
    if (!foldLog()) {
        return logFailed();
    }
    const ConfigurationPtr &inForce = m_session.state().state().configuration;
    if (!inForce) {
        return nothingInForce();
    }
    if (!inForce->dataCentres.contains(dataCentre)) {
        m_error << "/dataCentres: \"" << dataCentre << "\" must name a data centre of the version"
                << " in force\n";
        return OperatorExit::BadInput;
    }
    Configuration next = *inForce;
    next.dataCentres[dataCentre].inService = inService;
    return change(std::move(next));
}

OperatorExit OperatorCommands::nothingInForce()
{
    m_error << "the log names no version in force: publish one, or wait until a daemon has written "
            << "the last one back\n";
    return OperatorExit::Conflict;
}

OperatorExit OperatorCommands::setDrained(const std::string &daemon, bool drained)
{
    if (!foldLog()) {
        return logFailed();
    }
    const ConfigurationPtr &inForce = m_session.state().state().configuration;
    if (!inForce) {
        return nothingInForce();
    }
    if (daemon.empty()) {
        m_error << "/drained: \"\" must be the name of a daemon\n";
        return OperatorExit::BadInput;
    }
    Configuration next = *inForce;
    if (drained) {
        next.drained.insert(daemon);
    } else {
        next.drained.erase(daemon);
    }
    return change(std::move(next));
}

OperatorExit OperatorCommands::status()
{
    std::error_code ec;
    const std::vector<Endpoint> endpoints = knownDaemons(ec);
    if (ec) {
        return logFailed();
    }
    if (endpoints.empty()) {
        return noDaemons(OperatorExit::LogUnavailable);
    }
    for (const DaemonAnswer &answer : m_session.ask(endpoints)) {
        m_out << endpointText(answer.endpoint);
        if (const auto &status = answer.status) {
            m_out << ' ' << status->id.name << ' ' << status->dataCentre << " version "
                  << status->version << (status->fresh ? " fresh" : " stale");
            if (status->age) {
                m_out << ", age " << status->age->count() << " ms";
            }
            m_out << (status->logReachable ? ", reads the log" : "") << '\n';
        } else {
            m_out << " does not answer\n";
        }
    }
    return OperatorExit::Done;
}

bool OperatorCommands::load(const std::string &file, Configuration &configuration)
{
    std::vector<std::string> messages;
    configuration = readConfiguration(file, messages);
    for (const std::string &message : messages) {
        m_error << message << '\n';
    }
    return messages.empty();
}

bool OperatorCommands::foldLog()
{
    std::error_code ec;
    m_session.fold(ec);
    return !ec;
}

OperatorExit OperatorCommands::change(Configuration next)
{
    const ConfigurationVersion inForce = m_session.state().version();
    if (encodeConfiguration(next)
        == encodeConfiguration(*m_session.state().state().configuration)) {
        m_out << "nothing to change in version " << inForce << '\n';
        return waitInForce(inForce);
    }
    return publishNext(std::move(next));
}

OperatorExit OperatorCommands::publishNext(Configuration next)
{
    if (!m_session.state().isExact()) {
        m_error << "conflict: the log no longer holds the history of the version in force, and no"
                << " daemon knows it; publish with --reset\n";
        return OperatorExit::Conflict;
    }
    PublishRecord record;
    record.id = m_session.newId();
    record.base = m_session.state().version();
    record.version = record.base + 1;
    record.author = m_options.author;
    next.version = record.version;
    record.configuration = std::make_shared<Configuration>(std::move(next));
    return append(record.id, encodeRecord(record), record.version);
}

OperatorExit OperatorCommands::publishReset(Configuration next)
{
    CheckpointRecord record;
    record.reset = true;
    record.id = m_session.newId();
    record.author = m_options.author;
    const ConfigurationVersion highest
        = std::max(m_session.highestVersion(), m_session.state().version());
    next.version = (highest / VersionsPerReset + 1) * VersionsPerReset;
    record.snapshot.version = next.version;
    record.snapshot.through = m_session.state().readOffset();
    record.snapshot.configuration = std::make_shared<Configuration>(std::move(next));
    return append(record.id, encodeRecord(record), record.snapshot.version);
}

OperatorExit OperatorCommands::append(const std::string &id, const std::string &record,
                                      ConfigurationVersion version)
{
    std::error_code ec;
    const RecordOutcome outcome = m_session.append(id, record, ec);
    if (ec) {
        m_error << "record " << id << " was not found in the log; it has no effect, or its effect"
                << " is unknown until the log answers\n";
        return logFailed();
    }
    if (!outcome.accepted) {
        m_error << "conflict: " << outcome.reason << '\n';
        return OperatorExit::Conflict;
    }
    m_out << "accepted version " << version << '\n';
    return waitInForce(version);
}

OperatorExit OperatorCommands::waitInForce(ConfigurationVersion version)
{
    if (m_options.wait.count() == 0) {
        return OperatorExit::Done;
    }
    std::error_code ec;
    const std::vector<Endpoint> endpoints = knownDaemons(ec);
    if (endpoints.empty()) {
        return noDaemons(OperatorExit::NotInForce);
    }
    const auto start = std::chrono::steady_clock::now();
    while (true) {
        const std::vector<DaemonAnswer> answers = m_session.ask(endpoints);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
        if (std::ranges::all_of(
                answers, [&](const DaemonAnswer &answer) { return hasInForce(answer, version); })) {
            m_out << "version " << version << " in force on " << answers.size() << " daemons after "
                  << waited.count() << " ms\n";
            return OperatorExit::Done;
        }
        if (waited >= m_options.wait) {
            for (const DaemonAnswer &answer : answers) {
                if (!hasInForce(answer, version)) {
                    m_error << endpointText(answer.endpoint)
                            << (answer.status ? ": an older or stale version\n"
                                              : ": does not answer\n");
                }
            }
            return OperatorExit::NotInForce;
        }
        m_session.pause(StatusPeriod);
    }
}

std::vector<Endpoint> OperatorCommands::knownDaemons(std::error_code &ec)
{
    ec.clear();
    return m_options.daemons.empty() ? m_session.daemons(ec) : m_options.daemons;
}

OperatorExit OperatorCommands::noDaemons(OperatorExit exit)
{
    m_error << "the log at " << m_options.log << " names no daemon; name daemons with --daemon\n";
    return exit;
}

OperatorExit OperatorCommands::logFailed()
{
    m_error << "the log at " << m_options.log
            << " cannot be reached; --log must be its IP number:port\n";
    return OperatorExit::LogUnavailable;
}

std::string OperatorCommands::inForceText() const
{
    const std::string &author = m_session.state().author();
    return "version " + std::to_string(m_session.state().version()) + " is in force"
        + (author.empty() ? std::string() : ", published by " + author);
}

} // namespace Coltsfootwell
