#include "decisions/ConfigurationValidation.h"

#include <algorithm>

namespace Coltsfootwell {

namespace {

constexpr unsigned MaxSlots = 10'000;
constexpr std::chrono::milliseconds MaxDeadline {600'000};
/// Backend servers are guaranteed that they receive no more than two load probes per second.
constexpr double MaxProbesPerSecond = 2.0;

class ConfigurationValidator
{
public:
    explicit ConfigurationValidator(const Configuration &candidate) : m_candidate(candidate) { }

    std::vector<RuleViolation> validate()
    {
        checkDataCentres();
        for (const auto &[name, rules] : m_candidate.services) {
            checkService("/services/" + name, rules);
        }
        checkRoutes();
        for (const auto &[customer, regions] : m_candidate.customerRegions) {
            checkRegions("/customers/" + customer + "/homeRegions", regions);
        }
        return std::move(m_violations);
    }

private:
    void addViolation(std::string path, std::string value, std::string rule)
    {
        m_violations.push_back({std::move(path), std::move(value), std::move(rule)});
    }

    template <typename Number>
    void checkRange(const std::string &path, Number value, Number minimum, Number maximum)
    {
        // The negated comparison also rejects NaN.
        if (!(value >= minimum && value <= maximum)) {
            addViolation(path, std::to_string(value),
                         "must be from " + std::to_string(minimum) + " to "
                             + std::to_string(maximum));
        }
    }

    bool isRegion(std::string_view name) const
    {
        return std::ranges::any_of(m_candidate.dataCentres, [name](const auto &entry) {
            return entry.second.region == name;
        });
    }

    void checkDataCentres()
    {
        if (m_candidate.dataCentres.empty()) {
            addViolation("/dataCentres", "{}", "must name at least one data centre");
        }
        for (const auto &[name, rules] : m_candidate.dataCentres) {
            if (name.empty()) {
                addViolation("/dataCentres", name, "must not have an empty name");
            }
            if (rules.region.empty()) {
                addViolation("/dataCentres/" + name + "/region", rules.region,
                             "must name a region");
            }
        }
    }

    void checkService(const std::string &path, const ServiceRules &rules)
    {
        checkRange(path + "/slots", rules.slots, 1U, MaxSlots);
        checkRange(path + "/defaultDeadlineMs", rules.defaultDeadline.count(), std::int64_t {1},
                   static_cast<std::int64_t>(MaxDeadline.count()));
        checkRange(path + "/probesPerSecond", rules.probesPerSecond, 0.0, MaxProbesPerSecond);
        checkRange(path + "/coldStart/initialSlots", rules.coldStart.initialSlots, 1U,
                   std::max(1U, rules.slots));
    }

    void checkRegions(const std::string &path, const std::vector<std::string> &regions)
    {
        for (std::size_t i = 0; i < regions.size(); ++i) {
            if (!isRegion(regions[i])) {
                addViolation(path + '/' + std::to_string(i), regions[i],
                             "must be the region of a data centre");
            }
        }
    }

    void checkRoutes()
    {
        std::set<std::string_view> prefixes;
        for (std::size_t i = 0; i < m_candidate.routes.size(); ++i) {
            const Route &route = m_candidate.routes[i];
            const std::string path = "/routes/" + std::to_string(i);
            if (!route.prefix.starts_with('/')) {
                addViolation(path + "/prefix", route.prefix, "must begin with \"/\"");
            }
            if (route.prefix.starts_with("/coltsfootwell")) {
                addViolation(path + "/prefix", route.prefix,
                             "must not begin with \"/coltsfootwell\"");
            }
            if (!prefixes.insert(route.prefix).second) {
                addViolation(path + "/prefix", route.prefix, "must differ from all other prefixes");
            }
            if (!m_candidate.services.contains(route.service)) {
                addViolation(path + "/service", route.service, "must name a service in /services");
            }
            checkRegions(path + "/homeRegions", route.homeRegions);
        }
    }

    const Configuration &m_candidate;
    std::vector<RuleViolation> m_violations;
};

} // namespace

std::vector<RuleViolation> validateConfiguration(const Configuration &candidate)
{
    return ConfigurationValidator(candidate).validate();
}

std::vector<RuleViolation> validateSuccessor(const Configuration &candidate,
                                             ConfigurationVersion base)
{
    std::vector<RuleViolation> violations = validateConfiguration(candidate);
    if (candidate.version != base + 1) {
        violations.push_back(
            {"/version", std::to_string(candidate.version),
             "must be " + std::to_string(base + 1) + ", the base version plus one"});
    }
    return violations;
}

} // namespace Coltsfootwell
