"""A randomized soak: real processes, callers without pause, and faults that come in overlapping series.

A seed decides which faults strike which part, when and for how long. The promises are checked on what callers
were told and on what backend servers ran, while the soak runs and at its end.

  soak.py --seeds 50              fresh seeds; prints each
  soak.py --seed 7 --seconds 60   one seed again
  soak.py --ci                    a short fixed part, and each seed that ever failed
"""

import argparse
import collections
import concurrent.futures
import http.client
import json
import queue
import random
import signal
import subprocess
import sys
import threading
import time

import callers
import checkers
import fleet
import matrix

# Below the ports that the system gives to outgoing connections, and apart from those of the other tests.
FIRST_PORT = 14_000
PORTS_PER_SOAK = 512
REGIONS = {"klang-a": "klang", "klang-b": "klang", "penang-a": "penang"}
HOME = "klang"
SERVICES = ("bookings", "catalogue")
SECONDS = 12
SETTLE_S = 3.0
# Longest time that a planned stop is waited for.
STOP_S = 8
# Calls that are under way when a process is told to stop may take this long.
DEADLINE_MS = 1500
# A configuration in force is only demanded while nothing has struck for as long as this.
CALM_S = 4.0
CI_SEEDS = (1, 2)
# Routes that every other version has besides.
MORE_ROUTES = 1_500
# A daemon that was mended last has the newest version in force after this time.
NEWEST_S = 3.0
# Seeds that failed once, each with its cause.
REGRESSIONS = {}


class KeptCaller(threading.Thread):
    """Calls over one open connection until that ends, and goes on over a new one."""

    def __init__(self, soak, name, seed):
        super().__init__()
        self.soak, self.label = soak, name
        self.random = random.Random(seed)
        self.records = []

    def run(self):
        n = 0
        while not self.soak.over.is_set():
            daemon = self.random.choice(self.soak.daemons())
            connection = http.client.HTTPConnection("127.0.0.1", daemon.port, timeout=callers.CONNECT_TIMEOUT_S)
            for _ in range(self.random.randint(1, 40)):
                n += 1
                if self.soak.over.is_set() or not self.call(connection, f"{self.label}-{n}"):
                    break
                time.sleep(self.random.uniform(0.002, 0.02))
            connection.close()

    def call(self, connection, order):
        """Returns false when the connection cannot be used again."""
        kind = self.random.choice(("read", "read", "order", "photo"))
        service = self.random.choice(SERVICES)
        home = kind != "read" and self.random.random() < 0.3
        record, usable = callers.call_over(connection, kind, f"home-{order}" if home else order, DEADLINE_MS,
                                           {"Coltsfootwell-Home-Regions": HOME} if home else None, f"/{service}/x")
        self.records.append(record)
        return usable


class Soak:
    """One fleet under one seed."""

    def __init__(self, seed, index, seconds, hosts, binary):
        self.random = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.over = threading.Event()
        places = list(REGIONS.items())
        rows = [(f"h{i}", places[i % 3][1], places[i % 3][0], SERVICES[(i // 3) % 2]) for i in range(hosts)]
        self.fleet = fleet.Fleet(FIRST_PORT + index * PORTS_PER_SOAK, rows, SERVICES, binary=binary)
        self.version = 1
        self.lock = threading.Lock()
        # (begin, end, what) of all that was done, in nanoseconds.
        self.strikes = []
        self.stops = []
        self.errors = []
        # Children that were told to stop, and a lock for each process that is started again.
        self.stopping = {}
        self.restarting = collections.defaultdict(threading.Lock)
        self.outs = []

    def daemons(self):
        return list(self.fleet.daemons.values())

    # Faults: each strikes, and returns what mends it.

    def link(self):
        daemon = self.random.choice(self.daemons())
        relay = self.random.choice((daemon.relay, daemon.store_relay))
        mode = self.random.choice(("cut", "drop-to", "drop-from", "silent", "delay"))
        relay.set_mode(mode, self.random.uniform(0.05, 0.4))
        return f"{daemon.name} {'store ' if relay is daemon.store_relay else ''}{mode}", lambda: relay.set_mode("pass")

    def pause(self):
        daemon = self.random.choice(self.daemons())
        process = self.random.choice((daemon.process, daemon.backend, self.fleet.store))
        process.send(signal.SIGSTOP)
        return f"pause {process.arguments[0].rsplit('/', 1)[1]} of {daemon.name}", lambda: process.send(signal.SIGCONT)

    def kill(self):
        daemon = self.random.choice(self.daemons())
        process = self.random.choice((daemon.process, daemon.backend))
        process.kill()
        return f"kill {process.arguments[0].rsplit('/', 1)[1]} of {daemon.name}", lambda: self.restart(process)

    def herd(self):
        victims = self.random.sample(self.daemons(), len(self.daemons()) // 2)
        for daemon in victims:
            daemon.process.kill()
        return f"kill daemons of {[d.name for d in victims]}", lambda: [self.restart(d.process) for d in victims]

    def stop(self):
        daemon = self.random.choice(self.daemons())
        self.stops.append((time.monotonic_ns(), daemon.port))
        self.stopping[daemon.process] = daemon.process.child
        daemon.process.send(signal.SIGTERM)
        return f"stop {daemon.name}", lambda: self.restart(daemon.process)

    def hang_up(self):
        daemon = self.random.choice(self.daemons())
        daemon.process.send(signal.SIGHUP)
        return f"reload {daemon.name}", lambda: None

    def store(self):
        faults = self.random.choice(({"down": "reset"}, {"down": "silent"}, {"down": "busy"}, {"delayMs": 400},
                                     {"loseAnswers": 5}, {"forgetHistory": True}))
        self.fleet.set_store_faults(**faults)
        return f"store {faults}", lambda: self.fleet.set_store_faults()

    def store_links(self):
        """The store answers one daemon only, and the operators publish."""
        served = self.random.choice(self.daemons())
        victims = [daemon for daemon in self.daemons() if daemon is not served]
        mode = self.random.choice(("cut", "drop-from"))
        for daemon in victims:
            daemon.store_relay.set_mode(mode)
        published, _ = self.configuration()
        return (f"store {mode} but for {served.name}, {published}",
                lambda: [daemon.store_relay.set_mode("pass") for daemon in victims])

    def backend(self):
        daemon = self.random.choice(self.daemons())
        fault = self.random.choice(({"straggleMs": 300}, {"failFastShare": 0.7}, {"cold": True}, {"cutAfterBytes": 10},
                                    {"loseAnswers": 10}, {"loadLie": 3}))
        self.fleet.post_backend(daemon, "/fault", fault)
        calm = {"straggleMs": 0, "failFastShare": 0, "cutAfterBytes": -1, "loadLie": 1}
        return f"{daemon.name} backend {fault}", lambda: self.fleet.post_backend(daemon, "/fault", calm)

    def configuration(self):
        with self.lock:
            self.version += self.random.randint(1, 5)
            document = dict(self.fleet.configuration, version=self.version)
            if self.version % 2:
                # Long enough that only some daemons read it from the store.
                document["routes"] = document["routes"] + [
                    {"prefix": f"/more-{n}", "service": SERVICES[0], "idempotentMethods": ["GET"]}
                    for n in range(MORE_ROUTES)]
            path = self.fleet.directory / f"version-{self.version}.json"
        path.write_text(json.dumps(document))
        code = self.operate("publish", path)
        if code == 0:
            self.fleet.accepted.append((time.monotonic_ns(), self.version))
        return f"publish {self.version}: {code}", lambda: None

    def operate(self, *arguments):
        """Returns the exit code of the operators' tool, or -1 when it waits for a store that is silent."""
        try:
            return self.fleet.control(*arguments)[0]
        except subprocess.TimeoutExpired:
            return -1

    def data_centre(self):
        name = self.random.choice(list(REGIONS))
        code = self.operate("out", name)
        if code == 0:
            self.outs.append([time.monotonic_ns(), None, name])
        entry = self.outs[-1] if code == 0 else None

        def back():
            if entry:
                entry[1] = time.monotonic_ns()
            self.operate("back", name)
        return f"out {name}: {code}", back

    FAULTS = (link, link, pause, kill, herd, stop, hang_up, store, store_links, backend, backend, configuration,
              data_centre)

    def restart(self, process):
        """Starts a process again. Two series may have ended the same one, and only one of them starts it."""
        with self.restarting[process]:
            if process.running() and not self.is_stopping(process):
                return
            if process.running():
                # A planned stop that takes longer than the pause; a second process would find its ports taken.
                try:
                    process.child.wait(STOP_S)
                except subprocess.TimeoutExpired:
                    process.kill()
            process.start()
            self.stopping.pop(process, None)

    def is_stopping(self, process):
        """Returns whether the running child is the one that was told to stop."""
        return self.stopping.get(process) is process.child

    def series(self, seed):
        """Strikes again and again; several series overlap."""
        rng = random.Random(seed)
        try:
            while not self.over.wait(rng.uniform(0.1, 1.0)):
                began = time.monotonic_ns()
                what, mend = rng.choice(self.FAULTS)(self)
                self.over.wait(rng.uniform(0.1, 2.0))
                mend()
                self.strikes.append((began, time.monotonic_ns(), what))
        except Exception as error:  # A series that ends early must not pass for one that found nothing.
            self.errors.append(repr(error))

    def run(self):
        """Returns the violations by promise, and the calls."""
        self.fleet.start()
        expected = self.fleet.expected_bodies(callers.BODY)
        sampler = matrix.Sampler(self.fleet)
        crowd = [KeptCaller(self, f"k{i}", self.random.random()) for i in range(8)]
        storms = [threading.Thread(target=self.series, args=(self.random.random(),)) for _ in range(3)]
        for thread in crowd + storms:
            thread.start()
        time.sleep(self.seconds)
        self.over.set()
        for thread in crowd + storms:
            thread.join()
        healed = self.heal()
        behind = self.behind()
        # Work of calls that were given up may still begin for a moment.
        time.sleep(0.5)
        samples = sampler.stop()
        calls = [record for caller in crowd for record in caller.records]
        return self.judge(calls, self.fleet.runs(), expected, samples, healed, behind), calls

    def heal(self):
        """Mends all; returns whether all services are served again by every daemon."""
        self.fleet.set_store_faults()
        for daemon in self.daemons():
            for process in (daemon.process, daemon.backend):
                process.send(signal.SIGCONT)
                self.restart(process)
        end = time.monotonic() + fleet.START_TIMEOUT_S
        while time.monotonic() < end:
            if all(self.fleet.call_ready(daemon, service) for daemon in self.daemons() for service in SERVICES):
                return True
            time.sleep(0.2)
        return False

    def behind(self):
        """Returns what daemons lack of the versions that were accepted, all faults being mended."""
        newest = max((version for _, version in self.fleet.accepted), default=0)
        end = time.monotonic() + NEWEST_S
        while True:
            held = {daemon: version for _, daemon, _, version in self.fleet.versions()}
            faults = [f"{daemon.name} has version {held.get(daemon.name)} in force, accepted was {newest}"
                      for daemon in self.daemons() if held.get(daemon.name, 0) < newest]
            if not faults or time.monotonic() > end:
                return faults
            time.sleep(0.1)

    def judge(self, calls, runs, expected, samples, healed, behind):
        home_daemons = {d.name for d in self.daemons() if d.region == HOME}
        violations = {
            "whole answers": checkers.whole_answers(calls, runs, expected),
            "not run is true": checkers.not_run_is_true(calls, runs),
            "at most once": checkers.at_most_once(calls, runs),
            "versions never revert": checkers.versions_in_force(samples, []),
            "the newest version is in force": behind,
            "home regions": checkers.stays_at_home("home-", home_daemons, runs, {}),
            "out of service": self.out_of_service(runs),
            "planned stop": self.planned_stops(calls),
            "soak": self.errors,
            "served again": [] if healed else ["not every daemon serves every service 15 s after the last fault"],
            "calls were served": [] if sum(c["status"] == 200 for c in calls) > 20 else ["hardly a call was served"],
        }
        return {promise: faults for promise, faults in violations.items() if faults}

    def disturbed(self, begin, end, words):
        """Returns whether a fault whose description has one of the words fell into a time."""
        return any(b < end and e > begin and any(word in what for word in words) for b, e, what in self.strikes)

    def out_of_service(self, runs):
        """Promise 3, wherever no daemon was cut off, paused or started since shortly before."""
        faults = []
        for out, back, name in self.outs:
            end = back or time.monotonic_ns()
            if not self.disturbed(out - int(CALM_S * 1e9), end, ("cut", "drop", "silent", "delay", "pause", "kill", "stop", "store")):
                faults += checkers.no_run_after(runs, "dataCentre", name, out, end)
        return faults

    def planned_stops(self, calls):
        """Promise 9, wherever nothing else struck meanwhile."""
        faults = []
        for at, port in self.stops:
            end = at + int(8e9)
            others = [s for s in self.strikes if s[0] < end and s[1] > at - int(CALM_S * 1e9) and not s[2].startswith(("stop", "reload"))]
            if not others:
                faults += checkers.planned_stop_cuts_nothing([c for c in calls if c["end"] < end], port, at)
        return faults


def soak_once(seed, indexes, options):
    """indexes: those of port ranges that no other soak uses at present."""
    index = indexes.get()
    soak = Soak(seed, index, options.seconds, options.hosts, options.binary)
    try:
        violations, calls = soak.run()
        return violations, calls, soak
    finally:
        soak.over.set()
        try:
            soak.fleet.stop()
        finally:
            indexes.put(index)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, help="one seed")
    parser.add_argument("--seeds", type=int, default=0, help="number of fresh seeds")
    parser.add_argument("--ci", action="store_true")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--hosts", type=int, default=6, help="each has a daemon and a backend server")
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--binary", default="coltsfootd", help="daemon in the build folder; the soak must fail for one with a guard off")
    options = parser.parse_args()
    if options.ci:
        seeds = [*CI_SEEDS, *REGRESSIONS]
    elif options.seed is not None:
        seeds = [options.seed]
    else:
        seeds = [random.SystemRandom().randrange(10**9) for _ in range(options.seeds)]
    failed = 0
    indexes = queue.SimpleQueue()
    for index in range(options.parallel):
        indexes.put(index)
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        futures = {pool.submit(soak_once, seed, indexes, options): seed for seed in seeds}
        for future in concurrent.futures.as_completed(futures):
            failed += report(futures[future], future, options)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


def report(seed, future, options):
    try:
        violations, calls, soak = future.result()
    except Exception as error:  # A fleet that cannot start is a failed seed, not a failed run.
        violations, calls, soak = {"soak": [repr(error)]}, [], None
    served = sum(c["status"] == 200 for c in calls)
    print(f"seed {seed}, {options.seconds:g} s, {options.hosts} hosts: {len(calls)} calls, {served} served, "
          f"{len(soak.strikes) if soak else 0} faults: " + ("FAIL" if violations else "pass"), flush=True)
    for promise, faults in violations.items():
        for fault in faults[:5]:
            print(f"    {promise}: {fault}", flush=True)
    if violations and soak:
        print(f"    logs: {soak.fleet.directory}", flush=True)
        for begin, end, what in soak.strikes:
            print(f"    {begin / 1e9:.2f} to {end / 1e9:.2f}: {what}", flush=True)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
