#include "performance/PolicyModel.h"

#include "RoutingWorld.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace Coltsfootwell::Testing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr microseconds Hop {250};
constexpr seconds WarmUp {4};
constexpr seconds ColdTurnAt {6};
constexpr seconds End {24};
/// Share of the offered load during the first half of the warm-up.
constexpr double RampShare = 0.3;
constexpr unsigned MaxAttempts = 3;
constexpr double StragglerFactor = 10;
constexpr microseconds FailTime {200};
/// A cold server is this much slower, and slower still with more than ColdBears calls at once.
constexpr double ColdFactor = 5;
constexpr double ColdBears = 2;
constexpr unsigned ColdAnswers = 100;
constexpr milliseconds StaleFor {1000};
constexpr seconds OutAt {8};
constexpr seconds BackAt {14};
/// An entry daemon learns of a change within this time: one poll of the log by a reader and one
/// ping of a reader.
constexpr milliseconds NewsTime {750};
constexpr milliseconds Window {500};
constexpr double ReturnedShare = 0.4;
constexpr std::size_t LastWindows = 4;

struct Call
{
    AttemptId id;
    unsigned entry = 0;
    TimePoint arrived;
    TimePoint deadline;
    std::vector<DaemonId> tried;
    TimePoint sent;
};

struct Server
{
    Admission admission;
    std::deque<Call> waiting;
    std::deque<Call> backlog;
    bool out = false;
    unsigned running = 0;
    unsigned coldAnswersLeft = 0;
    LoadReport published;
    std::optional<TimePoint> nextTick;
};

class Model
{
public:
    explicit Model(const PolicyCase &policyCase) : m_case(policyCase), m_random(policyCase.seed)
    {
        const unsigned leaving = is("data-centre") ? ModelServers / 2 : 0;
        addMembers(m_members, "a", "a1", "s", ModelServers - leaving, ModelSlots);
        addMembers(m_members, "a", "a2", "s", leaving, ModelSlots);
        const ConfigurationPtr configuration = configurationFor(m_members);
        ServiceRules rules;
        rules.coldStart = {2, 10};
        m_servers.resize(ModelServers);
        for (unsigned i = 0; i < ModelServers; ++i) {
            m_servers[i].admission.rulesChanged(rules);
            m_servers[i].admission.announced(ModelSlots, m_now);
            m_routings.push_back(
                std::make_unique<Routing>(Place {m_members[i].id, "a", m_members[i].dataCentre},
                                          m_random, makeRoutingStrategy(m_case.strategy)));
            m_routings.back()->membersChanged(m_members);
            m_routings.back()->configurationChanged(configuration);
        }
    }

    PolicyResult run()
    {
        arrive();
        if (is("cold-turn")) {
            after(ColdTurnAt, [this] { m_servers[0].coldAnswersLeft = ColdAnswers; });
        }
        if (is("stale-reports")) {
            publishReports();
        }
        if (is("data-centre")) {
            after(OutAt, [this] { publishInService(false); });
            after(BackAt, [this] { publishInService(true); });
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        std::ranges::sort(m_result.latencies);
        if (is("data-centre")) {
            judgeReturn();
        }
        return std::move(m_result);
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    bool is(std::string_view scenario) const { return m_case.scenario == scenario; }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_number, std::move(action)});
    }

    Duration exponential(double meanNanoseconds)
    {
        return Duration(
            static_cast<std::int64_t>(-std::log(1 - m_random.unit()) * meanNanoseconds));
    }

    /// Each daemon learns of the configuration at its own time.
    void publishInService(bool inService)
    {
        auto configuration = std::make_shared<Configuration>(*configurationFor(m_members));
        configuration->version = inService ? 3 : 2;
        configuration->dataCentres["a2"].inService = inService;
        for (unsigned i = 0; i < ModelServers; ++i) {
            after(Duration(m_random.below(Duration(NewsTime).count())),
                  [this, i, configuration, inService] {
                      m_routings[i]->configurationChanged(configuration);
                      if (m_members[i].dataCentre == "a2") {
                          Server &server = m_servers[i];
                          server.out = !inService;
                          if (inService) {
                              server.coldAnswersLeft = ColdAnswers;
                              decide(server, server.admission.warmAgain(m_now));
                          }
                      }
                  });
        }
    }

    PhaseResult *phaseOf(const Call &call)
    {
        if (!is("data-centre") || !measured(call)) {
            return nullptr;
        }
        const Duration at = call.arrived - TimePoint();
        return &m_result.phases[at < OutAt ? 0 : at < BackAt ? 1 : 2];
    }

    struct WindowCounts
    {
        unsigned runs = 0;
        unsigned runsReturned = 0;
        unsigned bad = 0;
    };

    WindowCounts &window()
    {
        const auto n = static_cast<std::size_t>((m_now - TimePoint()) / Window);
        m_windows.resize(std::max(m_windows.size(), n + 1));
        return m_windows[n];
    }

    void judgeReturn()
    {
        const std::size_t back = BackAt / Window;
        // The load ends with the last window, which says nothing.
        const std::size_t end = std::min<std::size_t>(m_windows.size(), End / Window);
        WindowCounts last;
        for (std::size_t i = back; i < end; ++i) {
            const WindowCounts &counts = m_windows[i];
            const std::chrono::duration<double> passed = (i + 1 - back) * Window;
            if (counts.bad > 0) {
                m_result.secondsToLastBad = passed.count();
            }
            if (m_result.secondsToShare < 0 && counts.runsReturned >= ReturnedShare * counts.runs) {
                m_result.secondsToShare = passed.count();
            }
            if (i + LastWindows >= end) {
                last.runs += counts.runs;
                last.runsReturned += counts.runsReturned;
            }
        }
        m_result.shareAtEnd = last.runsReturned / std::max(1.0, 1.0 * last.runs);
    }

    void countStart(const Server &server)
    {
        const auto number = static_cast<std::size_t>(&server - m_servers.data());
        const bool returning = m_members[number].dataCentre == "a2";
        const Duration at = m_now - TimePoint();
        m_result.runsWhileOut += returning && at > OutAt + seconds(1) && at < BackAt ? 1 : 0;
        window().runs += 1;
        window().runsReturned += returning ? 1 : 0;
    }

    void arrive()
    {
        if (m_now - TimePoint() > End) {
            return;
        }
        const double share = m_now - TimePoint() < WarmUp / 2 ? RampShare : 1;
        const double perSecond = m_case.load * share * ModelServers * ModelSlots
            / std::chrono::duration<double>(ModelServiceTime).count();
        after(exponential(1e9 / perSecond), [this] { arrive(); });
        Call call;
        call.id = {0, ++m_calls};
        call.entry = static_cast<unsigned>(m_random.below(ModelServers));
        call.arrived = m_now;
        call.deadline = m_now + m_case.deadline;
        m_result.calls += measured(call) ? 1 : 0;
        if (PhaseResult *phase = phaseOf(call)) {
            ++phase->calls;
        }
        attempt(std::move(call));
    }

    static bool measured(const Call &call) { return call.arrived - TimePoint() > WarmUp; }

    void attempt(Call call)
    {
        Routing &routing = *m_routings[call.entry];
        const Routing::Choice choice = routing.pick(factsFor("s"), call.tried, m_now);
        const Target *target = std::get_if<Target>(&choice);
        if (!target || call.tried.size() == MaxAttempts) {
            m_result.refused += measured(call) ? 1 : 0;
            if (PhaseResult *phase = phaseOf(call)) {
                ++phase->refused;
                window().bad += 1;
            }
            return;
        }
        m_result.attempts += measured(call) ? 1 : 0;
        routing.sent(target->daemon, m_now);
        call.sent = m_now;
        call.tried.push_back(target->daemon);
        after(Hop, [this, call] { received(call); });
    }

    Server &serverOf(const Call &call)
    {
        const auto it = std::ranges::find(m_members, call.tried.back(), &Member::id);
        return m_servers[static_cast<std::size_t>(it - m_members.begin())];
    }

    void received(const Call &call)
    {
        Server &server = serverOf(call);
        if (!m_case.limits) {
            start(server, call);
            return;
        }
        if (server.out) {
            refuse(server, call);
            return;
        }
        Reason reason {};
        switch (server.admission.admit(call.id, call.deadline, m_now, reason)) {
        case AdmissionVerdict::Admitted:
            start(server, call);
            break;
        case AdmissionVerdict::Queued:
            server.waiting.push_back(call);
            scheduleTick(server);
            break;
        case AdmissionVerdict::Refused:
            refuse(server, call);
            break;
        }
    }

    void decide(Server &server, Admission::Outputs outputs)
    {
        for (const QueuedCallDecided &output : outputs) {
            const auto it = std::ranges::find(server.waiting, output.call, &Call::id);
            const Call call = *it;
            server.waiting.erase(it);
            output.refusal ? refuse(server, call) : start(server, call);
        }
        scheduleTick(server);
    }

    void scheduleTick(Server &server)
    {
        const auto next = server.admission.nextTick();
        if (!next || server.nextTick == next) {
            return;
        }
        server.nextTick = next;
        after(*next - m_now, [this, &server, at = *next] {
            if (server.nextTick == at) {
                server.nextTick.reset();
                decide(server, server.admission.tick(m_now));
            }
        });
    }

    void refuse(Server &server, const Call &call)
    {
        const LoadReport report = reportOf(server);
        after(Hop, [this, call, report] {
            m_routings[call.entry]->reported(call.tried.back(), report, m_now);
            m_routings[call.entry]->finished(call.tried.back(), {false, m_now - call.sent, true},
                                             m_now);
            attempt(call);
        });
    }

    /// The server itself works on as many calls as it has slots and queues the rest.
    void start(Server &server, const Call &call)
    {
        if (server.running >= ModelSlots) {
            server.backlog.push_back(call);
            return;
        }
        ++server.running;
        countStart(server);
        const bool first = &server == m_servers.data();
        m_result.runsOnFirst += first && measured(call) ? 1 : 0;
        if (first && server.coldAnswersLeft > 0 && m_now - TimePoint() > ColdTurnAt + seconds(1)) {
            m_result.peakOnCold = std::max(m_result.peakOnCold, server.running);
        }
        const bool fails = first && is("fail-fast");
        const Duration took = fails ? Duration(FailTime) : serviceTime(server);
        after(took, [this, &server, call, took, fails] { finish(server, call, took, !fails); });
    }

    Duration serviceTime(const Server &server)
    {
        const double mean = static_cast<double>(Duration(ModelServiceTime).count());
        double factor = 1;
        if (&server == m_servers.data() && is("straggler")) {
            factor = StragglerFactor;
        }
        if (server.coldAnswersLeft > 0) {
            factor = ColdFactor * std::max(1.0, server.running / ColdBears);
        }
        // Half of the time is fixed, so that the mean is far from the tail but not everything.
        return Duration(static_cast<std::int64_t>(factor * mean / 2))
            + exponential(factor * mean / 2);
    }

    void finish(Server &server, const Call &call, Duration took, bool good)
    {
        --server.running;
        server.coldAnswersLeft -= server.coldAnswersLeft > 0 ? 1 : 0;
        answer(server, call, good);
        if (m_case.limits) {
            decide(server,
                   server.admission.finished(good ? RunEnd::Good : RunEnd::Bad, took, m_now));
        } else if (!server.backlog.empty()) {
            const Call next = server.backlog.front();
            server.backlog.pop_front();
            start(server, next);
        }
    }

    void answer(const Server &server, const Call &call, bool good)
    {
        const LoadReport report = reportOf(server);
        after(Hop, [this, call, good, report] {
            const Duration elapsed = m_now - call.sent;
            m_routings[call.entry]->reported(call.tried.back(), report, m_now);
            m_routings[call.entry]->finished(call.tried.back(), {good, elapsed}, m_now);
            if (measured(call)) {
                ++(!good                        ? m_result.failed
                       : m_now <= call.deadline ? m_result.good
                                                : m_result.late);
                if (PhaseResult *phase = phaseOf(call)) {
                    const bool late = m_now > call.deadline;
                    ++(late ? phase->late : phase->good);
                    window().bad += late ? 1 : 0;
                }
                if (good) {
                    m_result.latencies.push_back(
                        std::chrono::duration<double, std::milli>(m_now - call.arrived).count());
                }
            }
        });
    }

    LoadReport reportOf(const Server &server) const
    {
        if (is("stale-reports")) {
            return server.published;
        }
        LoadReport report = server.admission.report();
        if (!m_case.limits) {
            report.inUse = server.running;
            report.waiting = static_cast<std::uint32_t>(server.backlog.size());
        }
        return report;
    }

    void publishReports()
    {
        for (Server &server : m_servers) {
            server.published = server.admission.report();
        }
        if (m_now - TimePoint() < End) {
            after(StaleFor, [this] { publishReports(); });
        }
    }

    PolicyCase m_case;
    SeededRandom m_random;
    std::vector<Member> m_members;
    std::vector<Server> m_servers;
    std::vector<std::unique_ptr<Routing>> m_routings;
    std::priority_queue<Event> m_events;
    PolicyResult m_result;
    std::vector<WindowCounts> m_windows;
    TimePoint m_now {};
    std::uint64_t m_number = 0;
    std::uint64_t m_calls = 0;
};

} // namespace

double PolicyResult::percentile(double share) const
{
    if (latencies.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
    return latencies[std::min(index, latencies.size() - 1)];
}

PolicyResult runPolicyCase(const PolicyCase &policyCase)
{
    return Model(policyCase).run();
}

} // namespace Coltsfootwell::Testing
