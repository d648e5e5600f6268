#include "programs/OperatorCommands.h"

#include "programs/ConfigurationFile.h"
#include "wire/ConfigurationJson.h"
#include "wire/EndpointText.h"
#include "wire/JsonDiff.h"

#include <algorithm>
#include <ostream>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds StatusPollInterval {100};

bool isActiveOn(const DaemonAnswer &answer, ConfigurationVersion version)
{
    return answer.status && answer.status->version >= version;
}

} // namespace

OperatorCommands::OperatorCommands(OperatorOptions options, std::ostream &out, std::ostream &error)
    : m_options(std::move(options)), m_out(out), m_error(error), m_session(m_options.store)
{
}

OperatorExit OperatorCommands::publish(const std::string &file)
{
    Configuration next;
    if (!loadConfiguration(file, next)) {
        return OperatorExit::BadInput;
    }
    if (!readStore()) {
        return reportStoreUnavailable();
    }
    const ConfigurationVersion newest = m_state.configuration ? m_state.configuration->version : 0;
    if (next.version != newest && next.version != newest + 1) {
        m_error << "conflict: " << file << " has version " << next.version
                << "; expected the newest published version " << newest << " or the next one\n";
        return OperatorExit::Conflict;
    }
    return publishNextVersion(std::move(next));
}

OperatorExit OperatorCommands::diff(const std::string &file)
{
    Configuration next;
    if (!loadConfiguration(file, next)) {
        return OperatorExit::BadInput;
    }
    if (!readStore()) {
        return reportStoreUnavailable();
    }
    const std::string before
        = m_state.configuration ? encodeConfiguration(*m_state.configuration) : "{}";
    for (const JsonDifference &difference : diffJson(before, encodeConfiguration(next))) {
        m_out << difference.path << ": "
              << (difference.before.empty() ? "(absent)" : difference.before) << " -> "
              << (difference.after.empty() ? "(absent)" : difference.after) << '\n';
    }
    return OperatorExit::Done;
}

OperatorExit OperatorCommands::show()
{
    if (!readStore()) {
        return reportStoreUnavailable();
    }
    if (!m_state.configuration) {
        return reportNothingPublished();
    }
    m_out << encodeConfiguration(*m_state.configuration) << '\n';
    return OperatorExit::Done;
}

OperatorExit OperatorCommands::setInService(const std::string &dataCentre, bool inService)
{
    if (!readStore()) {
        return reportStoreUnavailable();
    }
    if (!m_state.configuration) {
        return reportNothingPublished();
    }
    if (!m_state.configuration->dataCentres.contains(dataCentre)) {
        m_error << "/dataCentres: \"" << dataCentre
                << "\" must name a data centre of the newest version\n";
        return OperatorExit::BadInput;
    }
    Configuration next = *m_state.configuration;
    next.dataCentres[dataCentre].inService = inService;
    return publishChange(std::move(next));
}

OperatorExit OperatorCommands::setDrained(const std::string &daemon, bool drained)
{
    if (!readStore()) {
        return reportStoreUnavailable();
    }
    if (!m_state.configuration) {
        return reportNothingPublished();
    }
    if (daemon.empty()) {
        m_error << "/drained: \"\" must be the name of a daemon\n";
        return OperatorExit::BadInput;
    }
    Configuration next = *m_state.configuration;
    if (drained) {
        next.drained.insert(daemon);
    } else {
        next.drained.erase(daemon);
    }
    return publishChange(std::move(next));
}

OperatorExit OperatorCommands::status()
{
    std::error_code ec;
    const std::vector<Endpoint> endpoints = daemonEndpoints(ec);
    if (ec) {
        return reportStoreUnavailable();
    }
    if (endpoints.empty()) {
        return reportNoDaemons(OperatorExit::StoreUnavailable);
    }
    for (const DaemonAnswer &answer : m_session.queryStatus(endpoints)) {
        m_out << formatEndpoint(answer.endpoint);
        if (const auto &status = answer.status) {
            m_out << ' ' << status->id.name << ' ' << status->dataCentre << " version "
                  << status->version << (status->ready ? " ready" : " not ready") << '\n';
        } else {
            m_out << " did not answer\n";
        }
    }
    return OperatorExit::Done;
}

bool OperatorCommands::loadConfiguration(const std::string &file, Configuration &configuration)
{
    std::vector<std::string> messages;
    configuration = readConfiguration(file, messages);
    for (const std::string &message : messages) {
        m_error << message << '\n';
    }
    return messages.empty();
}

bool OperatorCommands::readStore()
{
    std::error_code ec;
    m_state = m_session.read(ec);
    return !ec;
}

OperatorExit OperatorCommands::publishChange(Configuration next)
{
    if (encodeConfiguration(next) == encodeConfiguration(*m_state.configuration)) {
        m_out << "no change: the configuration equals version " << next.version << '\n';
        return waitUntilActive(next.version);
    }
    return publishNextVersion(std::move(next));
}

OperatorExit OperatorCommands::publishNextVersion(Configuration next)
{
    next.version = (m_state.configuration ? m_state.configuration->version : 0) + 1;
    switch (m_session.publish(next, m_state)) {
    case PublishOutcome::Published:
        break;
    case PublishOutcome::Conflict:
        m_error << "conflict: another operator has published a version after version "
                << next.version - 1 << " was read\n";
        return OperatorExit::Conflict;
    case PublishOutcome::StoreReturned:
        m_error << "conflict: the store has come back from an older copy after version "
                << next.version - 1 << " was read; version " << next.version
                << " may be lost or may have replaced another one\n";
        return OperatorExit::Conflict;
    case PublishOutcome::Unknown:
        m_error << "unknown whether version " << next.version << " was published\n";
        return reportStoreUnavailable();
    }
    m_out << "accepted version " << next.version << '\n';
    return waitUntilActive(next.version);
}

OperatorExit OperatorCommands::waitUntilActive(ConfigurationVersion version)
{
    if (m_options.wait.count() == 0) {
        return OperatorExit::Done;
    }
    std::error_code ec;
    const std::vector<Endpoint> endpoints = daemonEndpoints(ec);
    if (endpoints.empty()) {
        return reportNoDaemons(OperatorExit::NotActive);
    }
    const auto start = std::chrono::steady_clock::now();
    while (true) {
        const std::vector<DaemonAnswer> answers = m_session.queryStatus(endpoints);
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
        if (std::ranges::all_of(
                answers, [&](const DaemonAnswer &answer) { return isActiveOn(answer, version); })) {
            m_out << "version " << version << " active on " << answers.size() << " daemons after "
                  << waited.count() << " ms\n";
            return OperatorExit::Done;
        }
        if (waited >= m_options.wait) {
            for (const DaemonAnswer &answer : answers) {
                if (!isActiveOn(answer, version)) {
                    m_error << formatEndpoint(answer.endpoint)
                            << (answer.status ? ": an older version is active\n"
                                              : ": did not answer\n");
                }
            }
            return OperatorExit::NotActive;
        }
        m_session.sleepFor(StatusPollInterval);
    }
}

std::vector<Endpoint> OperatorCommands::daemonEndpoints(std::error_code &ec)
{
    ec.clear();
    return m_options.daemons.empty() ? m_session.readRegisteredDaemons(ec) : m_options.daemons;
}

OperatorExit OperatorCommands::reportNoDaemons(OperatorExit exit)
{
    m_error << "no daemons found in the store at " << formatEndpoint(m_options.store)
            << "; specify daemons with --daemon\n";
    return exit;
}

OperatorExit OperatorCommands::reportStoreUnavailable()
{
    m_error << "the store at " << formatEndpoint(m_options.store)
            << " is unavailable; --store must be its IP address:port\n";
    return OperatorExit::StoreUnavailable;
}

OperatorExit OperatorCommands::reportNothingPublished()
{
    m_error << "the store at " << formatEndpoint(m_options.store)
            << " has no published configuration; publish one first\n";
    return OperatorExit::BadInput;
}

} // namespace Coltsfootwell
