"""Tests with real processes that a backend server which leaves reads no request after its drain time, also if it or its daemon
stands still after the announcement: requests then wait in its accept queue and its receive buffers.

What counts is the time at which the backend server reads a request. Each scenario has a service of its own, and all run at
the same time. `--serve` is the backend server's own process, which the test stops and continues.
"""

import argparse
import dataclasses
import functools
import itertools
import json
import signal
import sys
import threading
import time

import fleet
import platform_path
from platform_path import HeartbeatSender, Site, expect, send_request

BASE_PORT = 28_000
# Time after the acknowledgement of an announcement after which the backend server must read no request.
DRAIN_S = 2.5
# Requests that a server may have in its buffers when it announces its shutdown: its slots.
MAX_BUFFERED = 8
# Time for which a backend server goes on after its announcement.
SERVES_ON_S = 5.0
WARM_UP_S = 2.5
CALLERS_PER_HOST = 6
CALL_INTERVAL_S = 0.005


@dataclasses.dataclass(frozen=True)
class Pause:
    """Times at which a process stops and continues, in seconds from the acknowledgement."""
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """How a backend server leaves, what stands still meanwhile, and how many others its service has."""
    announcement: str
    server_pause: Pause | None = None
    daemon_pause: Pause | None = None
    others: int = 1
    others_mode: str = ""
    # Signal to the daemon, right after the acknowledgement; it is started again if the signal ends it.
    daemon_signal: signal.Signals | None = None


SCENARIOS = {
    # The server stands still from its announcement until after its drain time.
    "draining-stall": Scenario("draining", Pause(0, 3), others=2),
    "deregister-stall": Scenario("deregister", Pause(0, 3)),
    # As above, and the other servers are in a slowdown.
    "draining-stall-slow-others": Scenario("draining", Pause(0, 3), others=2, others_mode="slow"),
    # The server stands still some time after its announcement.
    "draining-stall-later": Scenario("draining", Pause(0.15, 2.8)),
    "draining-stall-last": Scenario("draining", Pause(1.0, 3.2)),
    # No other server can take the calls.
    "draining-stall-alone": Scenario("draining", Pause(0, 3), others=0),
    # The daemon stands still after its acknowledgement, without its server and with it.
    "draining-daemon-pause": Scenario("draining", daemon_pause=Pause(0.02, 2.7)),
    "draining-daemon-pause-stall": Scenario("draining", Pause(0, 3), Pause(0.02, 2.2)),
    # The daemon is restarted or told to read its settings.
    "draining-kill": Scenario("draining", daemon_signal=signal.SIGKILL),
    "draining-stop": Scenario("draining", daemon_signal=signal.SIGTERM),
    "draining-hup": Scenario("draining", daemon_signal=signal.SIGHUP),
    # Nothing stands still.
    "draining-only": Scenario("draining"),
}


class ServerProcess(HeartbeatSender):
    """A backend server in a process of its own, whose output is a line for each request that it has read."""

    def __init__(self, directory, modes, name, service, port, heartbeat_port):
        super().__init__(name, service, port, heartbeat_port)
        self.log = directory / f"{name}.runs"
        self.process = fleet.Process([sys.executable, __file__, "--serve", name, service, port, modes[name]], self.log)
        self.process.start()
        self.start_heartbeats()

    @property
    def runs(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def stop(self):
        self.stopped.set()
        self.process.kill()


class RunLog(list):
    """Writes each run to standard output in place of keeping it."""

    def append(self, run):
        # One call writes the whole line, since the server has many threads.
        sys.stdout.write(json.dumps({"time": run["time"], "id": run["id"]}) + "\n")
        sys.stdout.flush()


def serve(name, service, port, mode):
    class Server(platform_path.BackendServer):
        def start_heartbeats(self):
            """The test's process sends the heartbeats, since this one stands still at times."""

    server = Server(name, service, int(port), 0)
    server.runs, server.mode = RunLog(), mode
    threading.Event().wait()


class Callers:
    """Threads that call one service at the daemons of its hosts, with requests of both kinds."""

    def __init__(self, site, service, hosts):
        self.ended = threading.Event()
        # Time at which each request was sent, by id.
        self.sent_at = {}
        # Times at which requests that were not served ended.
        self.unserved_at = []
        self.threads = [threading.Thread(target=self.call, args=(site.ports[host], service, f"{host}-{i}"))
                        for host in hosts for i in range(CALLERS_PER_HOST)]
        for thread in self.threads:
            thread.start()

    def call(self, port, service, name):
        for number in itertools.count():
            if self.ended.wait(CALL_INTERVAL_S):
                return
            request_id = f"{name}-{number}"
            kind, method = ("order", "POST") if number % 2 else ("read", "GET")
            self.sent_at[request_id] = time.monotonic()
            status, _, _ = send_request(port, method, f"/{service}/{kind}/x", b"x" if number % 2 else None,
                                        {"Host": "a.example", "X-Attempt-Id": request_id, "X-Deadline-Ms": "1000"})
            if status != 200:
                self.unserved_at.append(time.monotonic())

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def hosts_of(name):
    """The host of the server that leaves comes first."""
    return [f"{name}-{i}" for i in range(SCENARIOS[name].others + 1)]


def pause_process(process, pause, start):
    """Stops a process and continues it at the times of the pause, which count from start."""
    time.sleep(max(0.0, start + pause.start_s - time.monotonic()))
    process.send_signal(signal.SIGSTOP)
    time.sleep(max(0.0, start + pause.end_s - time.monotonic()))
    process.send_signal(signal.SIGCONT)


def restart_daemon(daemon, signal_number):
    daemon.send_signal(signal_number)
    if signal_number != signal.SIGHUP:
        daemon.child.wait()
        daemon.start()


def run_scenario(site, name, scenario):
    """Returns the violations and a summary as text."""
    hosts = hosts_of(name)
    server, daemon = site.backend_servers[hosts[0]], site.daemons[hosts[0]]
    callers = Callers(site, name, hosts)
    time.sleep(WARM_UP_S)
    server.stopped.set()
    late_heartbeat = server.heartbeat("ready")
    status = server.deregister() if scenario.announcement == "deregister" else server.send_heartbeat("draining")
    acknowledged_at = time.monotonic()
    threads = [threading.Thread(target=pause_process, args=(process, pause, acknowledged_at))
               for process, pause in ((server.process, scenario.server_pause), (daemon, scenario.daemon_pause)) if pause]
    if scenario.daemon_signal:
        threads.append(threading.Thread(target=restart_daemon, args=(daemon, scenario.daemon_signal)))
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    server.send_heartbeat("ready", late_heartbeat)
    for _ in range(3):
        time.sleep(1.0)
        if scenario.announcement == "draining":
            server.send_heartbeat("draining")
    time.sleep(max(0.0, acknowledged_at + SERVES_ON_S - time.monotonic()))
    callers.stop()
    for thread in threads:
        thread.join()
    late = [run for run in server.runs if run["time"] > acknowledged_at + DRAIN_S]
    # A request that was sent before the acknowledgement may have been with the server then.
    violations = [run for run in late if callers.sent_at.get(run["id"], 0) > acknowledged_at]
    after = sum(run["time"] > acknowledged_at for run in server.runs)
    unserved = sum(acknowledged_at < at < acknowledged_at + DRAIN_S for at in callers.unserved_at)
    summary = (f"{after} requests read after the acknowledgement, {len(late)} of them more than {DRAIN_S} s after it, "
               f"{len(violations)} of these sent after it; {unserved} of {len(callers.sent_at)} not served within {DRAIN_S} s of it")
    return (expect(status == 200, f"the announcement got {status}, expected 200")
            + expect(not violations, f"{len(violations)} requests that callers sent after the acknowledgement were read more "
                     f"than {DRAIN_S} s after it, expected 0")
            # What a server has in its buffers when it announces its shutdown, it may read later.
            + expect(after <= MAX_BUFFERED, f"{after} requests were read after the acknowledgement, expected at most {MAX_BUFFERED}"),
            summary)


def configuration():
    """One service for each scenario, with a route for orders and one for reads."""
    routes = [{"name": f"{name}-{kind}", "host": "a.example", "pathPrefix": f"/{name}/{kind}/", "kind": repeatable,
               "timeoutS": 1.0, "targetLatencyS": 0.4, "priority": 1, "service": name, "maxAttempts": 2, "allowedRegions": []}
              for name in SCENARIOS for kind, repeatable in (("order", "non_idempotent"), ("read", "idempotent"))]
    return {"version": "00000003", "limits": platform_path.CONFIGURATION["limits"], "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 60, "coldStartS": 1.0, "coldPerS": 100}
                         for name in SCENARIOS]}


def make_site():
    hosts = [(host, "klang-a", name) for name in SCENARIOS for host in hosts_of(name)]
    modes = {host: scenario.others_mode if i > 0 else "" for name, scenario in SCENARIOS.items()
             for i, host in enumerate(hosts_of(name))}
    site = Site(hosts, BASE_PORT, configuration())
    site.make_backend_server = functools.partial(ServerProcess, site.directory, modes)
    return site


def run_all(site):
    results = {}
    threads = [threading.Thread(target=lambda n=name, s=scenario: results.update({n: run_scenario(site, n, s)}))
               for name, scenario in SCENARIOS.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", nargs=4, metavar=("NAME", "SERVICE", "PORT", "MODE"), help="run one backend server")
    arguments = parser.parse_args()
    if arguments.serve:
        serve(*arguments.serve)
    site = make_site()
    try:
        site.start()
        results = run_all(site)
    finally:
        site.stop()
    for name in SCENARIOS:
        violations, summary = results[name]
        print(f"{name}: {'FAIL' if violations else 'pass'}: {summary}")
        for violation in violations:
            print(f"    {violation}")
    failed = sum(bool(violations) for violations, _ in results.values())
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
