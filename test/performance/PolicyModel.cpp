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
        addMembers(m_members, "a", "a1", "s", ModelServers, ModelSlots);
        const ConfigurationPtr configuration = configurationFor(m_members);
        ServiceRules rules;
        rules.coldStart = {2, 10};
        m_servers.resize(ModelServers);
        for (unsigned i = 0; i < ModelServers; ++i) {
            m_servers[i].admission.rulesChanged(rules);
            m_servers[i].admission.announced(ModelSlots, m_now);
            m_routings.push_back(std::make_unique<Routing>(Place {m_members[i].id, "a", "a1"},
                                                           m_random,
                                                           makeRoutingStrategy(m_case.strategy)));
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
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        std::ranges::sort(m_result.latencies);
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
