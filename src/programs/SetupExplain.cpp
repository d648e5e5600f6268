#include "programs/SetupPlan.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Coltsfootwell {

namespace {

std::string joinOrNone(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ", ") + item;
    }
    return text.empty() ? "none" : text;
}

class MarkdownPage
{
public:
    void addTitle(int level, const std::string &text)
    {
        m_out << (m_out.tellp() > 0 ? "\n" : "") << std::string(level, '#') << ' ' << text
              << "\n\n";
    }
    void addParagraph(const std::string &text) { m_out << text << "\n"; }
    void startTable() { m_out << "| setting | value | reason |\n| --- | --- | --- |\n"; }

    template <typename Value>
    void addRow(std::string_view setting, const Value &value, std::string_view reason)
    {
        m_out << "| `" << setting << "` | " << value << " | " << reason << " |\n";
    }

    std::string text() const { return m_out.str(); }

private:
    std::ostringstream m_out;
};

void explainService(MarkdownPage &page, const SetupAnswers &answers, const ServiceAnswers &service,
                    const ServiceRules &rules)
{
    page.addTitle(2, "Service " + service.name);
    std::ostringstream capacity;
    capacity << service.backendServers << " backend servers with " << service.slots << " slots and "
             << service.answerMs << " ms per call serve up to "
             << std::floor(service.backendServers * service.slots * 1000.0 / service.answerMs)
             << " calls/s when all are warm.";
    page.addParagraph(capacity.str() + "\n");
    page.startTable();
    page.addRow(
        "slots", rules.slots,
        "As answered: maximum concurrent calls that the daemon beside a backend server admits. "
        "Further calls are queued while they can still be answered in time, or sent to another "
        "backend server.");
    std::ostringstream deadline;
    deadline << "As answered. It must be at least twice the time of a call plus the round trip "
                "between regions ("
             << 2 * service.answerMs + 2 * answers.betweenRegionsMs << " ms).";
    page.addRow("defaultDeadlineMs", rules.defaultDeadline.count(), deadline.str());
    page.addRow("coldStart/initialSlots", rules.coldStart.initialSlots,
                "As answered: maximum concurrent calls of a cold backend server.");
    page.addRow("probesPerSecond", rules.probesPerSecond,
                "The lower of 2 per second and 1% of the calls that the slots can serve. Only the "
                "daemon beside the backend server sends health checks to it.");
    page.addRow("route " + service.prefix, service.name,
                "Matches calls whose path has this prefix, by whole path segments.");
    page.addRow(
        "idempotentMethods", joinOrNone(service.idempotentMethods),
        "Only calls with these methods are retried when it is unknown whether they ran. Other "
        "calls run at most once.");
    const bool anyRegion = service.homeRegions.empty();
    page.addRow("homeRegions", joinOrNone(service.homeRegions),
                anyRegion
                    ? "Every region may serve the call; the caller can restrict a single call by "
                      "header."
                    : "Calls are served, forwarded and stored only in these regions.");
}

} // namespace

std::string explainConfiguration(const SetupAnswers &answers, const Configuration &configuration)
{
    MarkdownPage page;
    page.addTitle(1, "Configuration of " + answers.company);
    page.addParagraph(
        "Written by `coltsfoot-setup` from the answers to its questions. Each value is "
        "listed with its reason.\n");
    page.startTable();
    page.addRow("version", configuration.version, "First version; each publish increments it.");
    for (const std::string &region : answers.regions) {
        page.addRow("dataCentres of " + region, joinOrNone(answers.dataCentres.at(region)),
                    "All start in service; `coltsfootctl out` and `back` change that.");
    }
    for (const ServiceAnswers &service : answers.services) {
        explainService(page, answers, service, configuration.services.at(service.name));
    }
    if (!answers.customers.empty()) {
        page.addTitle(2, "Customers");
        page.startTable();
        for (const auto &[name, regions] : answers.customers) {
            page.addRow(name, joinOrNone(regions),
                        "Calls with this name in `Coltsfootwell-Customer` stay in these regions.");
        }
    }
    return page.text();
}

} // namespace Coltsfootwell
