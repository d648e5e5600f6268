"""A randomized soak test: real processes under continuous load, with overlapping faults.

The seed determines which faults are injected into which part, when and for how long. The promises are checked on the
recorded calls of the callers and the recorded runs of the backend servers.

  soak.py --seeds 50              tests 50 random seeds and prints each
  soak.py --seed 7 --seconds 60   repeats one seed
  soak.py --ci                    tests a fixed set of seeds, and each seed that has failed before
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

import bulk
import callers
import checkers
import fleet
import matrix
import store_return

# Below the ephemeral port range of the system, and outside the ranges of the other tests.
FIRST_PORT = 14_000
PORTS_PER_SOAK = 512
REGIONS = {"klang-a": "klang", "klang-b": "klang", "penang-a": "penang"}
HOME_REGION = "klang"
SERVICES = ("bookings", "catalogue")
DEFAULT_SECONDS = 12
# Three hosts in each data centre: two daemons of it read the store, and the third one learns of versions from others only.
DEFAULT_HOSTS = 9
SETTLE_S = 3.0
# Maximum time that restart() waits for the end of a planned stop before it kills the process.
STOP_TIMEOUT_S = 8
# Deadline of each call, and with that the maximum time that a call in flight delays a planned stop.
DEADLINE_MS = 1500
# A removal or planned stop is checked only if there was no other fault during it and within this time before it.
QUIET_S = 4.0
CI_SEEDS = (1, 2)
# Additional routes in every version with an odd number.
EXTRA_ROUTES = 1_500
# Maximum time from the removal of all faults until the newest version is in force in all daemons.
CATCH_UP_S = 3.0
# Time from a copy until the store goes away, for which it is away, and until the operator writes again what it lacks.
MIN_COPY_AGE_S, MAX_COPY_AGE_S = 0.2, 3.0
MIN_AWAY_S, MAX_AWAY_S = 0.2, 3.0
MAX_REWRITING_DELAY_S = 3.0
# The store goes back to the same copy up to this number of times in a row.
MAX_RETURNS_IN_SERIES = 2
CALM_RETURNS = 2
# Changes after the copy, and after the return; more get lost than are written, so that the end of the topic stays lower.
LOST_CHANGES, NEW_CHANGES = 3, 1
# Records of hosts that are gone in the store at the start; daemons once kept the first 64 addresses only.
DEAD_RECORDS = 100
# Fleet has ports for 49 hosts.
MAX_HOSTS = 48
# Memory of a daemon. Its limits of request bodies follow from it; a burst exceeds them, and without them the whole of it.
MEMORY_MEGABYTES = 160
BURST_BODIES = 24
BURST_BODY = b"b" * (8 << 20)
# Time that a caller takes to read a long answer.
MIN_READ_S, MAX_READ_S = 0.2, 2.5
MIN_ANSWER_BYTES, MAX_ANSWER_BYTES = 200_000, 3_000_000
# Beyond the first phase of a planned stop, which takes 3 s, and within STOP_TIMEOUT_S.
READ_THROUGH_STOP_S = 5.0
# Well above 4 MB, which the system may take of it into the buffer of a connection.
READ_THROUGH_STOP_BYTES = 8_000_000
# Enough refused calls, each with a line in the log, to fill a pipe that nobody reads.
REFUSED_CALLS = 60
# Seeds that have failed before, each with the cause.
REGRESSIONS = {}


class KeepAliveCaller(threading.Thread):
    """Makes up to 40 calls over one connection, and continues with a new one when it ends."""

    def __init__(self, soak, name, seed):
        super().__init__()
        self.soak, self.label = soak, name
        self.random = random.Random(seed)
        self.records = []

    def run(self):
        call_number = 0
        while not self.soak.finished.is_set():
            daemon = self.random.choice(self.soak.daemons())
            connection = http.client.HTTPConnection("127.0.0.1", daemon.port, timeout=callers.SOCKET_TIMEOUT_S)
            for _ in range(self.random.randint(1, 40)):
                call_number += 1
                if self.soak.finished.is_set() or not self.call(connection, f"{self.label}-{call_number}"):
                    break
                time.sleep(self.random.uniform(0.002, 0.02))
            connection.close()
            # A killed daemon refuses connections at once.
            time.sleep(self.random.uniform(0.002, 0.02))

    def call(self, connection, order):
        """Makes a call of random kind; returns whether the connection can be used again."""
        kind = self.random.choice(("read", "read", "order", "photo"))
        service = self.random.choice(SERVICES)
        has_home_region = kind != "read" and self.random.random() < 0.3
        record, reusable = callers.call_on_connection(
            connection, kind, f"home-{order}" if has_home_region else order, DEADLINE_MS,
            {"Coltsfootwell-Home-Regions": HOME_REGION} if has_home_region else None, f"/{service}/x")
        self.records.append(record)
        return reusable


class LongAnswerCaller(threading.Thread):
    """Reads one long answer after the other, slowly enough that most of each waits in the daemon."""

    def __init__(self, soak, name, seed):
        super().__init__()
        self.soak, self.label = soak, name
        self.random = random.Random(seed)
        self.records = []

    def run(self):
        while not self.soak.finished.is_set():
            daemon = self.random.choice(self.soak.daemons())
            self.records.append(self.soak.read_long_answer(daemon, f"{self.label}-{len(self.records)}", self.random))
            time.sleep(self.random.uniform(0.02, 0.2))


class Soak:
    """The soak test of one fleet with one seed.

    index: number of the port range. hosts: number of hosts, each with a daemon and a backend server.
    """

    def __init__(self, seed, index, seconds, hosts, binary):
        self.random = random.Random(seed)
        self.seed, self.seconds = seed, seconds
        self.finished = threading.Event()
        data_centres = list(REGIONS.items())
        daemon_rows = [(f"h{i}", data_centres[i % 3][1], data_centres[i % 3][0], SERVICES[(i // 3) % 2]) for i in range(hosts)]
        self.fleet = fleet.Fleet(FIRST_PORT + index * PORTS_PER_SOAK, daemon_rows, SERVICES, binary=binary,
                                 use_seeds=False, dead_records=DEAD_RECORDS, log_readers=True,
                                 memory_megabytes=MEMORY_MEGABYTES)
        # Largest memory by daemon.
        self.peaks_mb = {}
        # Records of the calls that faults make.
        self.records = []
        self.lock = threading.Lock()
        # (start, end, description) of each fault; times in ns.
        self.injected_faults = []
        # (time in ns, port) of each planned stop.
        self.stop_signals = []
        self.errors = []
        # By process, the child that has received a stop signal.
        self.stopping_children = {}
        # Serializes the restarts of each process.
        self.restart_locks = collections.defaultdict(threading.Lock)
        self.operator = store_return.Operator(self.fleet)
        # Data centres that a thread has taken out of service, so that no other one brings them back.
        self.out = set()
        # [removal in ns, return in ns or None, data centre] of each data centre that was taken out of service.
        self.removals = []

    def daemons(self):
        return list(self.fleet.daemons.values())

    def sample_memory(self):
        """Notes the largest memory of all daemons until the soak ends; a process may be killed at any time."""
        while not self.finished.wait(0.1):
            self.note_memory()

    def note_memory(self):
        for daemon in self.daemons():
            if (peak_mb := daemon.process.peak_mb()) is not None:
                self.peaks_mb[daemon.name] = max(peak_mb, self.peaks_mb.get(daemon.name, 0))

    # Each of the following methods injects a fault and returns its description and a function that removes it.
    # overlaps_fault() and planned_stop_violations() match words of the descriptions.

    def link_fault(self):
        daemon = self.random.choice(self.daemons())
        relay = self.random.choice((daemon.relay, daemon.store_relay))
        mode = self.random.choice(("cut", "drop-to", "drop-from", "silent", "delay"))
        relay.set_mode(mode, self.random.uniform(0.05, 0.4))
        return f"{daemon.name} {'store ' if relay is daemon.store_relay else ''}{mode}", lambda: relay.set_mode("pass")

    def pause_process(self):
        daemon = self.random.choice(self.daemons())
        process = self.random.choice((daemon.process, daemon.backend, self.fleet.store))
        process.send_signal(signal.SIGSTOP)
        return f"pause {process.arguments[0].rsplit('/', 1)[1]} of {daemon.name}", lambda: process.send_signal(signal.SIGCONT)

    def kill_process(self):
        daemon = self.random.choice(self.daemons())
        process = self.random.choice((daemon.process, daemon.backend))
        process.kill()
        return f"kill {process.arguments[0].rsplit('/', 1)[1]} of {daemon.name}", lambda: self.restart(process)

    def kill_half_of_daemons(self):
        affected = self.random.sample(self.daemons(), len(self.daemons()) // 2)
        for daemon in affected:
            daemon.process.kill()
        return f"kill daemons of {[d.name for d in affected]}", lambda: [self.restart(d.process) for d in affected]

    def kill_all_daemons(self):
        affected = self.daemons()
        for daemon in affected:
            daemon.process.kill()
        return "kill all daemons", lambda: [self.restart(d.process) for d in affected]

    def replace_host(self):
        with self.lock:
            daemon = self.random.choice(self.daemons())
            if self.fleet.host_count >= MAX_HOSTS:
                return "no host left to replace one", lambda: None
            with self.restart_locks[daemon.process], self.restart_locks[daemon.backend]:
                new = self.fleet.replace(daemon)
        return f"kill {daemon.name}, replaced by {new.name}", lambda: None

    def stop_daemon(self, daemon):
        self.stop_signals.append((time.monotonic_ns(), daemon.port))
        self.stopping_children[daemon.process] = daemon.process.child
        daemon.process.send_signal(signal.SIGTERM)

    def planned_stop(self):
        daemon = self.random.choice(self.daemons())
        self.stop_daemon(daemon)
        return f"stop {daemon.name}", lambda: self.restart(daemon.process)

    def stop_during_answer(self):
        daemon = self.random.choice(self.daemons())
        order, chunked = f"s-{time.monotonic_ns()}", self.random.random() < 0.5
        reader = threading.Thread(target=lambda: self.records.append(
            self.read_through_stop(daemon, order, chunked, lambda: self.stop_daemon(daemon))))
        reader.start()

        def recover():
            reader.join()
            self.restart(daemon.process)
        return f"stop {daemon.name} during an answer", recover

    def burst_of_bodies(self):
        daemon = self.random.choice(self.daemons())
        burst = time.monotonic_ns()
        path = f"/{self.random.choice(SERVICES)}/x"
        self.records += bulk.run_at_once([
            lambda i=i: bulk.send_body(daemon.port, "burst", f"b-{burst}-{i}", BURST_BODY, DEADLINE_MS, path)
            for i in range(BURST_BODIES)])
        return f"burst of bodies through {daemon.name}", lambda: None

    def cut_long_answers(self):
        daemons = self.daemons()
        for daemon in daemons:
            self.fleet.post_to_backend(daemon, "/fault", {"cutAfterBytes": MIN_ANSWER_BYTES // 2})
        return "answers of all backends cut", lambda: [
            self.fleet.post_to_backend(daemon, "/fault", {"cutAfterBytes": -1}) for daemon in daemons]

    def stop_log_reader(self):
        daemon, reader = self.choose_log_reader()
        reader.stop_reading()
        self.write_logs(daemon)
        return f"logs of {daemon.name} unread", reader.resume

    def close_log_reader(self):
        daemon, reader = self.choose_log_reader()
        reader.close()
        self.write_logs(daemon)
        return f"logs of {daemon.name} closed", lambda: None

    def choose_log_reader(self):
        daemon = self.random.choice([d for d in self.daemons() if d.has_log_reader])
        return daemon, daemon.process.log_reader

    def write_logs(self, daemon):
        """Makes a daemon write lines by calls that it refuses, until one gets no answer."""
        for _ in range(REFUSED_CALLS):
            if callers.call_once(daemon.port, "read", "refused", path="/nothing/x")["error"]:
                return

    def reload_settings(self):
        daemon = self.random.choice(self.daemons())
        daemon.process.send_signal(signal.SIGHUP)
        return f"reload {daemon.name}", lambda: None

    def store_fault(self):
        faults = self.random.choice(({"down": "reset"}, {"down": "silent"}, {"down": "busy"}, {"delayMs": 400},
                                     {"loseAnswers": 5}, {"forgetHistory": True}))
        self.fleet.set_store_faults(**faults)
        return f"store {faults}", lambda: self.fleet.set_store_faults()

    def cut_store_links(self):
        """Publishes a version while only one daemon reaches the store."""
        connected = self.random.choice(self.daemons())
        affected = [daemon for daemon in self.daemons() if daemon is not connected]
        mode = self.random.choice(("cut", "drop-from"))
        for daemon in affected:
            daemon.store_relay.set_mode(mode)
        published, _ = self.publish_version()
        return (f"store {mode} except for {connected.name}, {published}",
                lambda: [daemon.store_relay.set_mode("pass") for daemon in affected])

    def backend_fault(self):
        daemon = self.random.choice(self.daemons())
        fault = self.random.choice(({"straggleMs": 300}, {"failFastShare": 0.7}, {"cold": True}, {"cutAfterBytes": 10},
                                    {"loseAnswers": 10}, {"loadLie": 3}))
        self.fleet.post_to_backend(daemon, "/fault", fault)
        normal = {"straggleMs": 0, "failFastShare": 0, "cutAfterBytes": -1, "loadLie": 1}
        return f"{daemon.name} backend {fault}", lambda: self.fleet.post_to_backend(daemon, "/fault", normal)

    def publish_version(self):
        code = self.operator.publish(self.change_routes, self.fleet.directory / f"version-{time.monotonic_ns()}.json")
        return f"publish: {code}", lambda: None

    def change_routes(self, document):
        """Gives every second version so many routes that only the store readers read it from the store; the other daemons get
        it from them."""
        routes = self.fleet.configuration["routes"]
        document["routes"] = routes if len(document["routes"]) > len(routes) else routes + [
            {"prefix": f"/more-{document['version']}-{n}", "service": SERVICES[0], "idempotentMethods": ["GET"]}
            for n in range(EXTRA_ROUTES)]

    def remove_data_centre(self):
        with self.lock:
            names = [name for name in REGIONS if name not in self.out]
            if not names:
                return "all data centres are out", lambda: None
            name = self.random.choice(names)
            self.out.add(name)
        code = self.operator.set_in_service(name, False)
        if code == 0:
            self.removals.append([time.monotonic_ns(), None, name])
        removal = self.removals[-1] if code == 0 else None

        def restore():
            if removal:
                removal[1] = time.monotonic_ns()
            self.operator.set_in_service(name, True)
            with self.lock:
                self.out.remove(name)
        return f"out {name}: {code}", restore

    def return_from_copy(self):
        """The store comes back from a copy, and the operator writes again what it lacks."""
        has_copy = store_return.take_copy(self.fleet)
        returns = []
        for _ in range(self.random.randint(1, MAX_RETURNS_IN_SERIES) if has_copy else 0):
            self.finished.wait(self.random.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S))
            away_s, how = self.random.uniform(MIN_AWAY_S, MAX_AWAY_S), self.random.choice(("reset", "silent"))
            returns.append(f"{away_s:.1f} s {how}: {self.operator.return_from_copy(away_s, how)}")
        delay_s = self.random.uniform(0, MAX_REWRITING_DELAY_S)

        def write_again():
            self.finished.wait(delay_s)
            if not self.operator.write_again():
                self.errors.append("the store did not take again what it lacked")
        return f"return from a copy {returns}", write_again

    FAULTS = (link_fault, link_fault, pause_process, kill_process, kill_half_of_daemons, kill_all_daemons, planned_stop,
              reload_settings, store_fault, cut_store_links, backend_fault, backend_fault, publish_version, remove_data_centre,
              replace_host)
    # Each of them is injected before one is injected again, so that also a short run has them all.
    FAULTS_IN_TURN = (stop_during_answer, burst_of_bodies, cut_long_answers, stop_log_reader, close_log_reader, replace_host)
    RETURNS = (return_from_copy,)

    def read_long_answer(self, daemon, order, rng):
        length = rng.randint(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES)
        return bulk.read_answer(daemon.port, order, length, DEADLINE_MS, f"/{rng.choice(SERVICES)}/x", rng.random() < 0.5,
                                length / rng.uniform(MIN_READ_S, MAX_READ_S))

    def read_through_stop(self, daemon, order, chunked, on_first_bytes):
        """Reads an answer so slowly that a daemon that stops meanwhile is ready to end before."""
        return bulk.read_answer(daemon.port, order, READ_THROUGH_STOP_BYTES, DEADLINE_MS, f"/{SERVICES[0]}/x", chunked,
                                READ_THROUGH_STOP_BYTES / READ_THROUGH_STOP_S, on_first_bytes)

    def restart(self, process):
        """Restarts a process that was killed or stopped.

        Does nothing if it runs and has received no stop signal: two fault threads may have ended the same process, and only
        one of them may restart it.
        """
        with self.restart_locks[process]:
            if process.is_running() and not self.is_stopping(process):
                return
            if process.is_running():
                # The planned stop is not complete; a new process could not bind its ports yet.
                try:
                    process.child.wait(STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
            process.start()
            self.stopping_children.pop(process, None)

    def is_stopping(self, process):
        """Returns whether the current child of a process has received a stop signal."""
        return self.stopping_children.get(process) is process.child

    def inject_faults(self, seed, faults, in_turn):
        """Injects and removes random faults until the soak ends. Several threads run it, so that their faults overlap.

        in_turn: whether each of the faults is injected before one is injected again.
        """
        rng = random.Random(seed)
        next_faults = []
        try:
            while not self.finished.wait(rng.uniform(0.1, 1.0)):
                start_ns = time.monotonic_ns()
                if in_turn and not next_faults:
                    next_faults = rng.sample(faults, len(faults))
                description, recover = (next_faults.pop() if in_turn else rng.choice(faults))(self)
                self.finished.wait(rng.uniform(0.1, 2.0))
                recover()
                self.injected_faults.append((start_ns, time.monotonic_ns(), description))
        except Exception as error:  # Reported as a violation, since the thread would otherwise end without notice.
            self.errors.append(repr(error))

    def run(self):
        """Runs the soak; returns the violations by promise, and the records of the calls."""
        self.fleet.start()
        expected = self.fleet.body_digests({**callers.REQUEST_BODIES, "burst": BURST_BODY})
        sampler = matrix.VersionSampler(self.fleet)
        caller_threads = [KeepAliveCaller(self, f"k{i}", self.random.random()) for i in range(8)]
        caller_threads += [LongAnswerCaller(self, f"l{i}", self.random.random()) for i in range(2)]
        fault_threads = [threading.Thread(target=self.inject_faults, args=(self.random.random(), faults, in_turn))
                         for faults, in_turn in [(self.FAULTS, False)] * 3 + [(self.FAULTS_IN_TURN, True), (self.RETURNS, False)]]
        memory_thread = threading.Thread(target=self.sample_memory)
        for thread in [*caller_threads, *fault_threads, memory_thread]:
            thread.start()
        time.sleep(self.seconds)
        self.finished.set()
        for thread in [*caller_threads, *fault_threads, memory_thread]:
            thread.join()
        violations_by_promise = {"recovery": self.recover_all(), "newest version in force": self.outdated_daemons()}
        violations_by_promise["changes after a return of the store"] = self.return_in_calm()
        # The bursts before may all have met daemons that were killed.
        self.burst_of_bodies()
        self.note_memory()
        violations_by_promise["whole answers of a stopping daemon"] = self.stop_while_answers_are_read()
        # Attempts of abandoned calls may still start to run for a short time.
        time.sleep(0.5)
        violations_by_promise["versions never revert"] = checkers.versions_in_force(sampler.stop(), [])
        violations_by_promise["memory"] = checkers.memory_within_limit(self.peaks_mb, MEMORY_MEGABYTES)
        violations_by_promise["no process ends unasked"] = self.fleet.unasked_ends()
        calls = [record for caller in caller_threads for record in caller.records] + self.records
        violations_by_promise.update(self.check_promises(calls, self.fleet.run_events(), expected))
        return {promise: violations for promise, violations in violations_by_promise.items() if violations}, calls

    def recover_all(self):
        """Removes all faults, except that the logs of two daemons are not read from then on. Returns the violations if not every
        daemon then reaches every service and lists exactly the living daemons within START_TIMEOUT_S."""
        self.fleet.set_store_faults()
        for daemon in self.daemons():
            for process in (daemon.process, daemon.backend):
                process.send_signal(signal.SIGCONT)
                self.restart(process)
        is_written = self.operator.write_again()
        for name in REGIONS:
            self.operator.set_in_service(name, True)
        self.stop_log_reader()
        self.close_log_reader()
        end = time.monotonic() + fleet.START_TIMEOUT_S
        while True:
            violations = [f"{daemon.name} does not reach {service}" for daemon in self.daemons() for service in SERVICES
                          if not self.fleet.reaches_service(daemon, service)]
            violations += checkers.daemons_list_each_other(
                {f"127.0.0.1:{daemon.port}": self.listed_daemons(daemon) for daemon in self.daemons()})
            if not is_written:
                violations.append("the store did not take again what it lacked")
            if not violations or time.monotonic() > end:
                return violations
            time.sleep(0.2)

    def listed_daemons(self, daemon):
        answer = self.fleet.get_json(daemon, "daemons")
        return [other["address"] for other in answer["daemons"]] if answer else None

    def stop_while_answers_are_read(self):
        """Stops a daemon of the recovered fleet while it writes two long answers; returns the violations if not both come whole
        and the daemon ends then."""
        daemon = self.random.choice(self.daemons())
        started = threading.Semaphore(0)
        records = []
        readers = [threading.Thread(target=lambda chunked=chunked: records.append(
            self.read_through_stop(daemon, f"q-{chunked}", chunked, started.release))) for chunked in (False, True)]
        for reader in readers:
            reader.start()
        both_started = all([started.acquire(timeout=fleet.START_TIMEOUT_S) for _ in readers])
        self.stop_daemon(daemon)
        for reader in readers:
            reader.join()
        self.records += records
        violations = [f"order {r['order']} of {daemon.name} got {r['received']} bytes of {r['requested']}: "
                      f"{r['error'] or r['outcome'] or r['status']}"
                      for r in records if not r["complete"] or r["received"] != r["requested"]]
        if not both_started:
            violations.append(f"{daemon.name} did not begin to answer within {fleet.START_TIMEOUT_S} s")
        try:
            daemon.process.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            violations.append(f"{daemon.name} runs {STOP_TIMEOUT_S} s after its last answer")
        return violations

    def outdated_daemons(self):
        """Returns a violation for each daemon that lacks the newest accepted version CATCH_UP_S after all faults ended."""
        newest_version = max((version for _, version in self.fleet.accepted_versions), default=0)
        return store_return.late_daemons(self.fleet, newest_version, time.monotonic_ns() + int(CATCH_UP_S * 1e9))

    def return_in_calm(self):
        """Lets the store of the recovered fleet come back from a copy several times, while a data centre is out of service.

        Returns the violations if a change is not in force in all daemons within the bound, whether it is made before the
        store goes away or after its return. The runs are checked with those of the soak.
        """
        name = self.random.choice(list(REGIONS))
        code = self.operator.set_in_service(name, False)
        if code:
            return [f"out {name} ended with {code}"]
        removal = [time.monotonic_ns(), None, name]
        self.removals.append(removal)
        violations = self.late_daemons_of_newest()
        # From here on, no return of the store excuses a run in this data centre.
        time.sleep(max(0, (self.operator.due_ns(removal[0]) - time.monotonic_ns()) / 1e9))
        traffic = callers.Callers([daemon.port for daemon in self.daemons()], ["read", "order"], 4, self.seed)
        for _ in range(CALM_RETURNS):
            violations += self.change_around_return()
        removal[1] = time.monotonic_ns()
        self.records += traffic.stop()
        if self.operator.set_in_service(name, True):
            violations.append(f"back {name} failed")
        return violations + self.late_daemons_of_newest()

    def change_around_return(self):
        path = self.fleet.directory / "calm.json"
        codes = [store_return.take_copy(self.fleet)]
        codes += [self.operator.publish(self.change_routes, path) for _ in range(LOST_CHANGES)]
        violations = self.late_daemons_of_newest()
        away_s, how = self.random.uniform(MIN_AWAY_S, MAX_AWAY_S), self.random.choice(("reset", "silent"))
        codes.append(self.operator.return_from_copy(away_s, how))
        time.sleep(away_s + self.random.uniform(0, MAX_REWRITING_DELAY_S))
        # A change before what was lost is written again makes that superfluous.
        if self.random.random() < 0.5:
            codes.append(self.operator.write_again())
        codes += [self.operator.publish(self.change_routes, path) for _ in range(NEW_CHANGES)]
        if codes != [True] + [0] * LOST_CHANGES + [True] * (len(codes) - 1 - LOST_CHANGES - NEW_CHANGES) + [0] * NEW_CHANGES:
            violations.append(f"a copy, changes and a return of the store in calm ended with {codes}")
        return violations + [f"{violation}, after a return of {away_s:.1f} s with {how}"
                             for violation in self.late_daemons_of_newest()]

    def late_daemons_of_newest(self):
        accepted_ns, version = max(self.fleet.accepted_versions, key=lambda accepted: (accepted[1], -accepted[0]))
        return store_return.late_daemons(self.fleet, version, self.operator.due_ns(accepted_ns))

    def check_promises(self, calls, events, expected):
        home_daemons = {d.name for d in [*self.daemons(), *self.fleet.replaced] if d.region == HOME_REGION}
        return {
            "complete answers": checkers.answers_match_requests(calls, events, expected),
            "whole long answers": checkers.long_answers_are_whole(calls),
            "routes stay known": checkers.routes_stay_known(calls),
            "true not-run refusals": checkers.not_run_refusals_are_true(calls, events),
            "at most once": checkers.at_most_once(calls, events),
            "home regions": checkers.runs_stay_in_home_regions("home-", home_daemons, events, {}),
            "out of service": self.out_of_service_violations(events),
            "planned stop": self.planned_stop_violations(calls),
            "soak": self.errors + self.operator.errors,
            "calls were served": [] if sum(c["status"] == 200 for c in calls) > 20 else
            ["at most 20 calls were served, minimum: 21"],
        }

    def overlaps_fault(self, start_ns, end_ns, keywords):
        """Returns whether a fault whose description contains one of the keywords overlaps a period."""
        return any(fault_start_ns < end_ns and fault_end_ns > start_ns and any(keyword in description for keyword in keywords)
                   for fault_start_ns, fault_end_ns, description in self.injected_faults)

    def out_of_service_violations(self, events):
        """Checks promise 3 for removals during which, and QUIET_S before which, no daemon was disconnected, paused, killed
        or stopped and the store had no fault.

        A return of the store from a copy excuses nothing that was due before it, and delays other removals (due_ns()).
        """
        violations = []
        for removed_ns, restored_ns, name in self.removals:
            end_ns = restored_ns or time.monotonic_ns()
            if not self.overlaps_fault(removed_ns - int(QUIET_S * 1e9), end_ns,
                                       ("cut", "drop", "silent", "delay", "pause", "kill", "stop", "store")):
                due_ns = self.operator.due_ns(removed_ns)
                violations += checkers.no_run_after_removal(events, "dataCentre", name,
                                                            due_ns - checkers.PROPAGATION_LIMIT_NS, end_ns)
        return violations

    def planned_stop_violations(self, calls):
        """Checks promise 9 for planned stops during which, and QUIET_S before which, there was no other fault.

        RULES.md, "LOST": disruption of the store alone excuses nothing.
        """
        violations = []
        for stop_ns, port in self.stop_signals:
            end_ns = stop_ns + int(8e9)
            other_faults = [fault for fault in self.injected_faults if fault[0] < end_ns
                            and fault[1] > stop_ns - int(QUIET_S * 1e9)
                            and not fault[2].startswith(("stop", "reload", "logs", "return"))]
            if not other_faults:
                violations += checkers.planned_stop_interrupts_no_call([c for c in calls if c["end"] < end_ns], port, stop_ns)
        return violations


def run_seed(seed, free_port_indexes, options):
    """Runs the soak of one seed; returns the violations by promise, the records of the calls, and the Soak.

    free_port_indexes: queue of the numbers of the port ranges that no other soak is using.
    """
    index = free_port_indexes.get()
    soak = Soak(seed, index, options.seconds, options.hosts, options.binary)
    try:
        violations_by_promise, calls = soak.run()
        return violations_by_promise, calls, soak
    finally:
        soak.finished.set()
        try:
            soak.fleet.stop()
        finally:
            free_port_indexes.put(index)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, help="tests this seed")
    parser.add_argument("--seeds", type=int, default=0, help="number of random seeds")
    parser.add_argument("--ci", action="store_true")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--hosts", type=int, default=DEFAULT_HOSTS, help="number of hosts, each with a daemon and a backend server")
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--binary", default="coltsfootd",
                        help="daemon in the build directory; the soak must fail with a daemon that has a guard disabled")
    options = parser.parse_args()
    # sys.exit() raises an exception, so that the soaks stop the processes that they started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    if options.ci:
        seeds = [*CI_SEEDS, *REGRESSIONS]
    elif options.seed is not None:
        seeds = [options.seed]
    else:
        seeds = [random.SystemRandom().randrange(10**9) for _ in range(options.seeds)]
    failed = 0
    free_port_indexes = queue.SimpleQueue()
    for index in range(options.parallel):
        free_port_indexes.put(index)
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        futures = {pool.submit(run_seed, seed, free_port_indexes, options): seed for seed in seeds}
        try:
            for future in concurrent.futures.as_completed(futures):
                failed += report(futures[future], future, options)
        except BaseException:
            # The soaks that are running still end and stop their processes.
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


def report(seed, future, options):
    try:
        violations_by_promise, calls, soak = future.result()
    except Exception as error:  # A fleet that does not start fails its seed and does not end the test run.
        violations_by_promise, calls, soak = {"soak": [repr(error)]}, [], None
    served_count = sum(c["status"] == 200 for c in calls)
    peak_mb = max(soak.peaks_mb.values(), default=0) if soak else 0
    print(f"seed {seed}, {options.seconds:g} s, {options.hosts} hosts: {len(calls)} calls, {served_count} served, "
          f"{len(soak.injected_faults) if soak else 0} faults, {peak_mb:.0f} MB at most: "
          + ("FAIL" if violations_by_promise else "pass"), flush=True)
    for promise, violations in violations_by_promise.items():
        for violation in violations[:5]:
            print(f"    {promise}: {violation}", flush=True)
    if violations_by_promise and soak:
        print(f"    logs: {soak.fleet.directory}", flush=True)
        for start_ns, end_ns, description in soak.injected_faults:
            print(f"    {start_ns / 1e9:.2f} to {end_ns / 1e9:.2f}: {description}", flush=True)
    return 1 if violations_by_promise else 0


if __name__ == "__main__":
    sys.exit(main())
