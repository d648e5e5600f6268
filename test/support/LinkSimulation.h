// An entry daemon's LinkClient and a serving daemon's LinkServer on real sockets, with a relay
// between them that delays frames and breaks connections, while the serving daemon restarts. The
// clock of both runs faster than real time.
#pragma once

#include "decisions/RunLedger.h"
#include "kernel/AsioExecutor.h"
#include "kernel/Random.h"
#include "services/LinkClient.h"
#include "services/LinkServer.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Coltsfootwell::Testing {

using namespace Internal;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// \brief Executor whose clock runs faster than real time.
class FastExecutor final : public Executor
{
public:
    /// Simulated time divided by real time.
    static constexpr int Speed = 20;

    explicit FastExecutor(boost::asio::io_context &context) : m_executor(context) { }

    void post(Task task) override { m_executor.post(std::move(task)); }
    TimerId scheduleAfter(Duration delay, Task task) override
    {
        return m_executor.scheduleAfter(delay / Speed, std::move(task));
    }
    void cancel(TimerId timer) override { m_executor.cancel(timer); }
    TimePoint now() const override
    {
        return m_start + (std::chrono::steady_clock::now() - m_start) * Speed;
    }

private:
    AsioExecutor m_executor;
    const TimePoint m_start = std::chrono::steady_clock::now();
};

/// \brief Probabilities of faults, each from 0 to 1.
struct LinkFaults
{
    /// Of a break of the connection, for each frame.
    double cut = 0;
    /// Of a break right before the first frame of the serving daemon, and of one right after it.
    double cutAtHello = 0;
    /// Of a restart of the serving daemon after a break.
    double restart = 0;
    Duration maxDelay {};
    /// Of a frame that is held back, and all that follow it, until long after the connection counts
    /// as broken, as by a process that stands still.
    double stall = 0;
    Duration maxStall {};
};

/// \brief What became of one attempt.
struct LinkAttempt
{
    unsigned starts = 0;
    unsigned results = 0;
    bool refused = false;
};

/// \return the body of the answer to an attempt; that of each fifth one is sent in parts.
inline std::string answerOf(const AttemptId &id)
{
    constexpr std::size_t LongAnswerBytes = 100'000;
    return std::string(id.low % 5 == 0 ? LongAnswerBytes : id.low % 5,
                       static_cast<char>('a' + id.low % 26));
}

/// \brief One process of the serving daemon: its LinkServer, and runs that start and end after
/// random times.
class ServingProcess : public std::enable_shared_from_this<ServingProcess>
{
public:
    ServingProcess(Executor &executor, Random &random, Incarnation incarnation,
                   std::function<void(const AttemptId &, const std::string &)> onStart)
        : m_executor(executor), m_random(random), m_ledger(incarnation),
          m_onStart(std::move(onStart)),
          server(std::make_shared<LinkServer>(LinkServerDependencies {
              executor,
              {"serving", incarnation},
              std::make_shared<LinkTraffic>(),
              std::make_shared<SharedBodyBudget>(executor, MaxBodyBytes),
              [this](BackendMessage message) {
                  later({}, [this, kept = std::make_shared<BackendMessage>(std::move(message))] {
                      std::visit([this](auto &body) { handle(body); }, *kept);
                  });
              },
              [](ExchangeSubject, PeerRequestReceived) {}}))
    {
    }

private:
    static constexpr std::size_t MaxBodyBytes = 64 << 20;
    static constexpr Duration MaxQueueTime = 300ms;
    static constexpr Duration MaxRunTime = 300ms;
    static constexpr double RefusalProbability = 0.15;
    static constexpr double LossProbability = 0.1;

    /// Runs a task unless the process has ended by then.
    void later(Duration delay, Task task)
    {
        const auto run = [weak = weak_from_this(), task = std::move(task)] {
            if (const auto self = weak.lock()) {
                task();
            }
        };
        delay > Duration() ? static_cast<void>(m_executor.scheduleAfter(delay, run))
                           : m_executor.post(run);
    }

    Duration randomTime(Duration max) { return Duration(m_random.below(max.count())); }

    void handle(RunAttempt &run)
    {
        const RunVerdict verdict = m_ledger.tryStart(run.attempt);
        if (verdict == RunVerdict::AlreadyStarted) {
            run.reply(AttemptLost {});
        } else if (verdict == RunVerdict::Revoked) {
            run.reply(AttemptRefused {Reason::Cancelled, {}, false});
        } else if (m_random.uniform() < RefusalProbability) {
            refuse(run, Reason::Overloaded);
        } else {
            const AttemptId id = run.attempt;
            m_queued[id] = std::move(run);
            later(randomTime(MaxQueueTime), [this, id] { leaveQueue(id); });
        }
    }

    void handle(BodyArrived &arrived)
    {
        if (const auto it = m_queued.find(arrived.attempt); it != m_queued.end()) {
            it->second.body = arrived.body;
            start(arrived.attempt);
        }
    }

    void handle(CancelAttempt &cancel)
    {
        if (const auto queued = m_queued.extract(cancel.attempt)) {
            refuse(queued.mapped(), Reason::Cancelled);
        } else if (const auto running = m_running.extract(cancel.attempt)) {
            running.mapped().reply(AttemptLost {});
        }
    }

    void handle(RevokeAttempt &revoke)
    {
        revoke.reply(m_ledger.revoke(revoke.attempt, revoke.sentTo) == RevokeVerdict::NeverStarts);
    }

    void handle(NestedCallMade &) { }
    void handle(NestedCallRefused &) { }

    void refuse(const RunAttempt &run, Reason reason)
    {
        m_ledger.retractStart(run.attempt);
        run.reply(AttemptRefused {reason, {}, false});
    }

    void leaveQueue(const AttemptId &id)
    {
        const auto it = m_queued.find(id);
        if (it == m_queued.end()) {
            return;
        }
        if (it->second.pendingBodyBytes == 0) {
            start(id);
        } else if (!it->second.requestBody()) {
            const auto queued = m_queued.extract(id);
            refuse(queued.mapped(), Reason::Overloaded);
        }
    }

    void start(const AttemptId &id)
    {
        auto queued = m_queued.extract(id);
        m_onStart(id, *queued.mapped().body);
        m_running.insert(std::move(queued));
        later(randomTime(MaxRunTime), [this, id] {
            if (const auto running = m_running.extract(id)) {
                m_random.uniform() < LossProbability
                    ? running.mapped().reply(AttemptLost {})
                    : running.mapped().reply(AttemptAnswered {
                        200, {}, std::make_shared<const std::string>(answerOf(id)), false, {}});
            }
        });
    }

    Executor &m_executor;
    Random &m_random;
    RunLedger m_ledger;
    std::unordered_map<AttemptId, RunAttempt> m_queued;
    std::unordered_map<AttemptId, RunAttempt> m_running;
    std::function<void(const AttemptId &, const std::string &)> m_onStart;

public:
    const std::shared_ptr<LinkServer> server;
};

/// \brief Forwards the frames of one connection in both directions, each after a random delay and
/// in order. When one side closes, frames that are under way still arrive at the other side.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(tcp::socket client, tcp::socket server, Executor &executor, Random &random,
                      const LinkFaults &faults, Task onBroken)
        : m_executor(executor), m_random(random), m_faults(faults),
          m_onBroken(std::move(onBroken)), m_sides {makeLink(std::move(client)),
                                                    makeLink(std::move(server))}
    {
    }

    void start()
    {
        for (const std::size_t side : {ClientSide, ServerSide}) {
            m_sides[side]->start(
                {[this, self = shared_from_this(), side](const LinkFrame &frame) {
                     forward(1 - side, frame);
                 },
                 [this, self = shared_from_this(), side] { closeAfterDelay(1 - side); }});
        }
    }

    void close()
    {
        m_sides[ClientSide]->close();
        m_sides[ServerSide]->close();
    }

private:
    static constexpr std::size_t ClientSide = 0;
    static constexpr std::size_t ServerSide = 1;

    std::shared_ptr<LinkConnection> makeLink(tcp::socket socket)
    {
        return std::make_shared<LinkConnection>(std::move(socket), m_executor,
                                                std::make_shared<LinkTraffic>());
    }

    /// Runs a task after a random delay, in the order of the calls for this side.
    void later(std::size_t to, Task task)
    {
        TimePoint &last = m_lastArrival[to];
        const Duration max = chance(m_faults.stall) ? m_faults.maxStall : m_faults.maxDelay;
        const auto delay = Duration(m_random.below(max.count()));
        last = std::max(last, m_executor.now() + delay);
        m_tasks[to].push_back(std::move(task));
        m_executor.scheduleAfter(last - m_executor.now(), [self = shared_from_this(), to] {
            const Task next = std::move(self->m_tasks[to].front());
            self->m_tasks[to].pop_front();
            next();
        });
    }

    void forward(std::size_t to, const LinkFrame &frame)
    {
        later(to, [this, to, frame] {
            const bool hello = to == ClientSide && std::holds_alternative<HelloFrame>(frame.body);
            if (hello && chance(m_faults.cutAtHello)) {
                cut();
                return;
            }
            m_sides[to]->send(frame);
            if (chance(hello ? m_faults.cutAtHello : m_faults.cut)) {
                cut();
            }
        });
    }

    bool chance(double probability) { return m_random.uniform() < probability; }

    /// Breaks the connection for the client. What it has sent may still reach the server.
    void cut()
    {
        if (std::exchange(m_cut, true)) {
            return;
        }
        // The last frame leaves the socket before it is reset.
        m_executor.scheduleAfter(1ms, [self = shared_from_this()] {
            self->m_sides[ClientSide]->close();
            self->closeAfterDelay(ServerSide);
            self->m_onBroken();
        });
    }

    void closeAfterDelay(std::size_t side)
    {
        later(side, [this, side] { m_sides[side]->close(); });
    }

    Executor &m_executor;
    Random &m_random;
    const LinkFaults &m_faults;
    Task m_onBroken;
    std::array<std::shared_ptr<LinkConnection>, 2> m_sides;
    std::array<TimePoint, 2> m_lastArrival {};
    std::array<std::deque<Task>, 2> m_tasks;
    bool m_cut = false;
};

/// \brief One entry daemon, one serving daemon and the relay between them.
class LinkSimulation
{
public:
    LinkSimulation(boost::asio::io_context &context, std::uint64_t seed)
        : m_context(context), m_executor(context), m_random(seed), m_acceptor(listen()),
          m_serverAcceptor(listen()),
          m_client({context,
                    m_executor,
                    {"entry", 1},
                    std::make_shared<LinkTraffic>(),
                    std::make_shared<AnswerMemory>(
                        context, AnswerLimits {MaxAnswerBytes, MaxAnswerBytes, MaxAnswerBytes}),
                    [](const LoadReportReceived &) {},
                    [](const DaemonUnreachable &) {},
                    [](const TelemetryMessage &) {}})
    {
        m_faults.cut = 0.1 * m_random.uniform();
        m_faults.cutAtHello = 0.4 * m_random.uniform();
        m_faults.restart = 0.6 * m_random.uniform();
        m_faults.maxDelay = std::chrono::milliseconds(1 + m_random.below(200));
        m_faults.stall = 0.05 * m_random.uniform();
        m_faults.maxStall = MaxStall;
        restart();
        acceptClient();
        acceptServer();
        tick();
        sendNext();
    }

    ~LinkSimulation()
    {
        m_client.stop();
        m_process->server->stop();
        for (const auto &weak : m_connections) {
            if (const auto connection = weak.lock()) {
                connection->close();
            }
        }
    }

    /// \return true once all attempts have a result and all frames under way have arrived.
    bool finished() const { return m_settled; }

    const std::map<AttemptId, LinkAttempt> &attempts() const { return m_attempts; }
    unsigned restarts() const { return m_restarts; }
    unsigned cuts() const { return m_cuts; }
    /// \return number of runs that started with another body than the one that was sent, and of
    /// answers that arrived with another body.
    unsigned spoiltBodies() const { return m_spoiltBodies; }

private:
    static constexpr unsigned Attempts = 40;
    static constexpr Duration MaxSendInterval = 100ms;
    static constexpr Duration MaxDeadline = 3s;
    /// Time in which frames under way arrive and runs start that were not prevented.
    static constexpr Duration SettlingTime = 8s;
    static constexpr Duration MaxStall = 3s;
    /// Memory for one long answer, so that others wait.
    static constexpr std::size_t MaxAnswerBytes = 150'000;
    /// Longer than what is sent with the run.
    static constexpr std::size_t LongBodyBytes = 50'000;

    tcp::acceptor listen()
    {
        return {m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    }

    void restart()
    {
        if (m_process) {
            m_process->server->stop();
            ++m_restarts;
        }
        m_process = std::make_shared<ServingProcess>(
            m_executor, m_random, ++m_incarnation,
            [this](const AttemptId &id, const std::string &body) {
                ++m_attempts[id].starts;
                m_spoiltBodies += body == bodyOf(id) ? 0 : 1;
            });
    }

    void acceptClient()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket client) {
            if (ec) {
                return;
            }
            tcp::socket server(m_context);
            server.connect(m_serverAcceptor.local_endpoint());
            const auto connection = std::make_shared<RelayedConnection>(
                std::move(client), std::move(server), m_executor, m_random, m_faults,
                [this] { connectionBroken(); });
            m_connections.push_back(connection);
            connection->start();
            acceptClient();
        });
    }

    void connectionBroken()
    {
        ++m_cuts;
        if (m_random.uniform() < m_faults.restart) {
            restart();
        }
    }

    void acceptServer()
    {
        m_serverAcceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
            if (!ec) {
                m_process->server->connectionAccepted(std::move(socket));
                acceptServer();
            }
        });
    }

    void tick()
    {
        m_client.tick();
        m_process->server->tick();
        m_executor.scheduleAfter(LinkClient::TickInterval, [this] { tick(); });
    }

    static std::string bodyOf(const AttemptId &id)
    {
        return std::string(id.low % 4 == 0 ? LongBodyBytes : id.low % 4,
                           static_cast<char>('a' + id.low % 26));
    }

    void sendNext()
    {
        const AttemptId id {1, ++m_lastAttempt};
        m_attempts[id];
        RunAttempt run;
        run.attempt = id;
        run.target = {{"serving", 1}, {"127.0.0.1", m_acceptor.local_endpoint().port()}, "r"};
        run.head = std::make_shared<const CallHead>(CallHead {"POST", "/orders", {}});
        run.body = std::make_shared<const std::string>(bodyOf(id));
        run.deadline = m_executor.now() + MaxDeadline;
        run.reply
            = Reply<AttemptResult>(m_executor, [this, id](std::optional<AttemptResult> result) {
                  LinkAttempt &attempt = m_attempts[id];
                  ++attempt.results;
                  attempt.refused = result && std::holds_alternative<AttemptRefused>(*result);
                  if (const auto *answered
                      = result ? std::get_if<AttemptAnswered>(&*result) : nullptr) {
                      m_spoiltBodies += *answered->body == answerOf(id) ? 0 : 1;
                  }
                  attemptEnded();
              });
        m_client.sendAttempt(std::move(run));
        // The entry daemon gives an attempt up at the deadline of its call.
        m_executor.scheduleAfter(Duration(m_random.below(MaxDeadline.count())),
                                 [this, id] { m_client.cancelAttempt(id); });
        if (m_lastAttempt < Attempts) {
            m_executor.scheduleAfter(Duration(m_random.below(MaxSendInterval.count())),
                                     [this] { sendNext(); });
        }
    }

    void attemptEnded()
    {
        if (++m_ended == Attempts) {
            m_executor.scheduleAfter(SettlingTime, [this] { m_settled = true; });
        }
    }

    boost::asio::io_context &m_context;
    FastExecutor m_executor;
    SeededRandom m_random;
    LinkFaults m_faults;
    /// Of the relay, to which the client connects.
    tcp::acceptor m_acceptor;
    tcp::acceptor m_serverAcceptor;
    LinkClient m_client;
    std::shared_ptr<ServingProcess> m_process;
    std::vector<std::weak_ptr<RelayedConnection>> m_connections;
    std::map<AttemptId, LinkAttempt> m_attempts;
    Incarnation m_incarnation = 0;
    std::uint64_t m_lastAttempt = 0;
    unsigned m_ended = 0;
    unsigned m_restarts = 0;
    unsigned m_cuts = 0;
    unsigned m_spoiltBodies = 0;
    bool m_settled = false;
};

} // namespace Coltsfootwell::Testing
