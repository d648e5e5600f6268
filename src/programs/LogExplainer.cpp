#include "programs/LogExplainer.h"

#include "wire/ParseNumber.h"

#include <algorithm>
#include <istream>
#include <ostream>

namespace Coltsfootwell {

namespace {

constexpr std::string_view FirstField = "timeMs=";

std::string fieldOf(const LogLine &line, std::string_view key)
{
    const auto it = line.fields.find(key);
    return it == line.fields.end() ? std::string() : it->second;
}

/// \return the last line of an event, or null.
const LogLine *findLast(const std::vector<LogLine> &lines, std::string_view event)
{
    const auto it = std::find_if(lines.rbegin(), lines.rend(),
                                 [event](const LogLine &line) { return line.event == event; });
    return it == lines.rend() ? nullptr : &*it;
}

/// \return how the last attempt in the steps of a call ended, such as "refused-cold" or "lost";
/// "no-attempt" if there was none and "no-answer" if it had not ended.
std::string endOfLastAttempt(const std::string &steps)
{
    const std::size_t send = steps.rfind(":send");
    const std::size_t end = steps.rfind(":end");
    if (send == std::string::npos) {
        return "no-attempt";
    }
    if (end == std::string::npos || end < send) {
        return "no-answer";
    }
    const std::size_t begin = std::min(steps.find(':', end + 1) + 1, steps.size());
    return steps.substr(begin, steps.find_first_of("(;", begin) - begin);
}

/// \param cause cause of an attempt, such as "failure".
/// \return why the last such attempt was not made, such as "retry-budget"; empty if none was
/// withheld.
std::string reasonWithheld(const std::string &steps, const std::string &cause)
{
    const std::string step = ":withheld:" + cause + ",";
    const std::size_t begin = steps.rfind(step);
    if (begin == std::string::npos) {
        return "";
    }
    const std::size_t reason = begin + step.size();
    return steps.substr(reason, steps.find(';', reason) - reason);
}

/// \return the status of the last answer in the steps of a call; empty if there was none.
std::string lastStatus(std::string_view steps)
{
    std::string status;
    for (std::size_t end = steps.find(":end"); end != std::string_view::npos;
         end = steps.find(":end", end + 1)) {
        const std::size_t begin = std::min(steps.find(':', end + 1), steps.size() - 1) + 1;
        const std::size_t length
            = std::min(steps.find_first_not_of("0123456789", begin), steps.size()) - begin;
        if (length > 0) {
            status = steps.substr(begin, length);
        }
    }
    return status;
}

Diagnosis diagnoseOutcome(const LogLine &call)
{
    const std::string outcome = fieldOf(call, "outcome");
    const std::string steps = fieldOf(call, "steps");
    const std::string last = endOfLastAttempt(steps);
    const std::string withheld = reasonWithheld(steps, "failure");
    const std::string withheldCause = withheld.empty() ? "" : "/withheld-" + withheld;
    const std::string withheldText
        = withheld.empty() ? "" : "; it was not sent again (" + withheld + ")";
    if (outcome == "answer") {
        return {"", "It was answered in time."};
    }
    if (outcome == "answer-late") {
        const bool slow = steps.find("slow=100") == std::string::npos;
        const std::string hedge = reasonWithheld(steps, "hedge");
        return {slow ? "late-slow-server" : "late",
                "It was answered after its objective, " + fieldOf(call, "elapsedUs")
                    + " us after it was received" + (slow ? "; the server reported a slowdown" : "")
                    + (hedge.empty() ? "" : "; no second attempt was made (" + hedge + ")") + "."};
    }
    if (outcome == "answer-failed") {
        const std::string status = lastStatus(steps);
        const bool repeated = last != status;
        return {"server-failed-" + status + (repeated ? "/" + last : "") + withheldCause,
                "The backend server answered with status " + status
                    + (repeated ? "; last attempt: " + last : "") + withheldText + "."};
    }
    if (outcome.ends_with("-cancelled")) {
        return {outcome + "/" + last,
                "Its caller left, or the connection to it broke, " + fieldOf(call, "elapsedUs")
                    + " us after it was received and before it was answered; last attempt: " + last
                    + "."};
    }
    if (outcome.starts_with("not-run")) {
        return {outcome + "/" + last,
                "It was refused as not run (" + outcome.substr(8) + "); last attempt: " + last
                    + "."};
    }
    return {outcome + "/" + last + withheldCause,
            "Whether it ran is unknown (" + outcome + "); last attempt: " + last + withheldText
                + "."};
}

Diagnosis diagnoseCall(const LogLine &call)
{
    Diagnosis diagnosis = diagnoseOutcome(call);
    if (!diagnosis.cause.empty() && fieldOf(call, "nested") == "yes") {
        diagnosis.cause = "nested/" + diagnosis.cause;
    }
    return diagnosis;
}

/// \return what became of the runs of a call whose entry daemon has no line of it.
std::string outcomeOfRuns(const std::vector<LogLine> &lines)
{
    if (const LogLine *answered = findLast(lines, "run.answered")) {
        return "/answered-" + fieldOf(*answered, "status");
    }
    if (const LogLine *lost = findLast(lines, "run.lost")) {
        return fieldOf(*lost, "cancelled") == "yes" ? "/cancelled" : "/lost";
    }
    if (const LogLine *refused = findLast(lines, "run.refused")) {
        return "/refused-" + fieldOf(*refused, "reason");
    }
    return "";
}

} // namespace

bool parseLogLine(std::string_view text, LogLine &line)
{
    const std::size_t begin = text.find(FirstField);
    if (begin == std::string_view::npos) {
        return false;
    }
    text.remove_prefix(begin);
    line = {};
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(' '), text.size());
        const std::string_view field = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos) {
            continue;
        }
        const std::string key(field.substr(0, equals));
        const std::string value(field.substr(equals + 1));
        if (key == "timeMs") {
            const auto time = parseNumber<std::int64_t>(value);
            if (!time) {
                return false;
            }
            line.timeMs = *time;
        } else if (key == "daemon" && line.daemon.empty()) {
            line.daemon = value;
        } else if (key == "event" && line.event.empty()) {
            line.event = value;
        } else if (key == "request" && line.request.empty()) {
            line.request = value;
        } else {
            line.fields.emplace(key, value);
        }
    }
    return !line.event.empty();
}

Diagnosis diagnose(const std::vector<LogLine> &lines)
{
    if (const LogLine *call = findLast(lines, "call.ended")) {
        return diagnoseCall(*call);
    }
    if (const LogLine *refused = findLast(lines, "call.refused")) {
        const std::string reason = fieldOf(*refused, "reason");
        return {"not-run-" + reason + "/no-attempt",
                "It was refused at once as not run (" + reason + ")."};
    }
    if (const LogLine *dropped = findLast(lines, "call.dropped")) {
        const std::string reason = fieldOf(*dropped, "reason");
        return {"dropped-" + reason,
                "It was not processed, and its connection was closed without an answer to it ("
                    + reason + ")."};
    }
    if (const LogLine *malformed = findLast(lines, "call.malformed")) {
        return {"malformed", "Its header " + fieldOf(*malformed, "header") + " was malformed."};
    }
    return {"no-entry-line" + outcomeOfRuns(lines),
            "No log line of its entry daemon was found; the log lines of other daemons "
            "do not show the answer that the caller got."};
}

void LogExplainer::read(std::istream &in, const std::string &name)
{
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        LogLine line;
        if (!parseLogLine(text, line)) {
            if (!text.empty()) {
                m_unparsableLines.push_back(name + ':' + std::to_string(number));
            }
            continue;
        }
        countOmittedLines(line);
        recordRestarts(line);
        if (!line.request.empty()) {
            m_requests[line.request].push_back(std::move(line));
        }
    }
    for (auto &[request, lines] : m_requests) {
        std::ranges::stable_sort(lines, {}, &LogLine::timeMs);
    }
}

void LogExplainer::countOmittedLines(const LogLine &line)
{
    if (line.event != "log.omitted" || fieldOf(line, "of") != "call.ended") {
        return;
    }
    m_omittedCallEnds[fieldOf(line, "weight")]
        += parseNumber<std::uint64_t>(fieldOf(line, "lines")).value_or(0);
}

void LogExplainer::recordRestarts(const LogLine &line)
{
    const auto [it, added] = m_daemons.try_emplace(line.daemon);
    DaemonLines &daemon = it->second;
    if (line.event == "daemon.started") {
        if (!added) {
            m_restarts.push_back({line.daemon, daemon.lastMs, line.timeMs, daemon.stopping});
        }
        daemon.stopping = false;
    }
    daemon.stopping = daemon.stopping || line.event == "daemon.stopping";
    daemon.lastMs = line.timeMs;
}

bool LogExplainer::explain(std::string_view request, std::ostream &out) const
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        explainMissing(out);
        return false;
    }
    for (const LogLine &line : it->second) {
        out << line.timeMs << ' ' << line.daemon << ' ' << line.event;
        for (const auto &[key, value] : line.fields) {
            out << ' ' << key << '=' << value;
        }
        out << '\n';
    }
    out << diagnose(it->second).explanation << '\n';
    return true;
}

void LogExplainer::explainMissing(std::ostream &out) const
{
    out << "No daemon has a line of it.";
    if (!m_restarts.empty()) {
        out << " A request that a daemon had in hand when it ended, or that was sent to it before "
               "it had started again, has none:";
    }
    out << '\n';
    for (const Restart &restart : m_restarts) {
        out << restart.daemon << " wrote nothing from " << restart.lastMs << " to "
            << restart.startedMs << " and then started again; "
            << (restart.planned ? "its stop was planned\n" : "it had ended without notice\n");
    }
}

void LogExplainer::printSummary(std::ostream &out) const
{
    std::map<std::string, std::size_t> causes;
    std::size_t answeredInTime = 0;
    for (const auto &[request, lines] : m_requests) {
        const std::string cause = diagnose(lines).cause;
        if (cause.empty()) {
            ++answeredInTime;
        } else {
            ++causes[cause];
        }
    }
    out << answeredInTime << " answered in time\n";
    for (const auto &[cause, count] : causes) {
        out << count << ' ' << cause << '\n';
    }
    if (!m_restarts.empty()) {
        const auto planned = std::ranges::count(m_restarts, true, &Restart::planned);
        out << m_restarts.size() - static_cast<std::size_t>(planned)
            << " starts of daemons that had ended without notice, " << planned
            << " after a planned stop\n";
    }
    for (const auto &[weight, lines] : m_omittedCallEnds) {
        out << lines << ' ' << weight
            << " call.ended lines were omitted by the log rate limit of daemons\n";
    }
}

} // namespace Coltsfootwell
