"""Scenarios for the promises that the fault matrix does not cover.

Each scenario starts real daemons and concurrent callers, injects the fault that its promise is about, and runs the
checker of this promise. A scenario takes its first port, the daemon's program and a seed, and returns the violations.

  promises.py                  all scenarios
  promises.py --only NAME ...  the named scenarios
"""

import argparse
import concurrent.futures
import json
import random
import signal
import sys
import time

import callers
import checkers
import fleet
import matrix

# Below the ephemeral port range of the system, which starts at 32768.
FIRST_PORT = 26_000
PORTS_PER_SCENARIO = 256
KINDS = ["read", "order", "order"]
# How long the effect of a removal or a stop signal is observed.
OBSERVATION_S = 5.0
# So low that the budget limits the probe rate, and not the interval at which a daemon considers a probe.
PROBES_PER_SECOND = 0.5
# The 3 s within which an accepted version must be in force everywhere, and time for a few samples after them.
IN_FORCE_WAIT_S = 3.6
# Maximum time until a daemon detects that the store does not answer: the long-poll timeout of a read and the margin
# after which the read counts as timed out.
STORE_TIMEOUT_DETECTION_S = 3.0
# More daemons in one data centre than read from the store.
SEVEN_DAEMONS = tuple((f"c{i}", "klang", "klang-a", "bookings") for i in range(7))
HOME_REGION_DAEMONS = (("k1", "klang", "klang-a", "bookings"), ("k2", "klang", "klang-b", "other"),
                       ("p1", "penang", "penang-a", "bookings"), ("p2", "penang", "penang-b", "other"))


def start_fleet(port, daemons=matrix.DAEMONS, services=("bookings",), **options):
    test_fleet = fleet.Fleet(port, daemons, list(services), **options)
    test_fleet.start()
    return test_fleet


def entry_ports(test_fleet, *names):
    return [test_fleet.daemons[name].port for name in names]


def data_centre_out(port, binary, seed):
    """Promise 3: a data centre gets no new runs from 3 s after it was taken out of service, and new ones after its return."""
    test_fleet = start_fleet(port, binary=binary)
    try:
        # The return of klang-a shows in the calls that enter there; calls that enter in klang-b stay in klang-b.
        traffic = callers.Callers(entry_ports(test_fleet, "e1", "b1", "a1"), KINDS, threads=8, seed=seed)
        time.sleep(1)
        removed_ns = test_fleet.run_until_accepted("out", "klang-a")
        time.sleep(OBSERVATION_S)
        restored_ns = time.monotonic_ns()
        test_fleet.run_until_accepted("back", "klang-a")
        time.sleep(2)
        calls = traffic.stop()
        events = test_fleet.run_events()
        violations = checkers.no_run_after_removal(events, "dataCentre", "klang-a", removed_ns, restored_ns)
        if not any(run["ns"] > restored_ns and run["dataCentre"] == "klang-a" for run in checkers.started_runs(events)):
            violations.append("klang-a served no call after its return to service")
        unserved = [c for c in calls if c["status"] != 200]
        if len(unserved) > 0.05 * len(calls):
            violations.append(f"{len(unserved)} of {len(calls)} calls were not served, limit: 5 %")
        return violations + checkers.at_most_once(calls, events) + checkers.not_run_refusals_are_true(calls, events)
    finally:
        test_fleet.stop()


def data_centre_out_unheard(port, binary, seed):
    """Promise 3: a daemon without a connection to the store receives the removal of a data centre from its peers."""
    test_fleet = start_fleet(port, binary=binary)
    try:
        isolated = test_fleet.daemons["a1"]
        traffic = callers.Callers([isolated.port], KINDS, threads=4, seed=seed)
        time.sleep(1)
        isolated.store_relay.set_mode("cut")
        removed_ns = test_fleet.run_until_accepted("out", "klang-a")
        time.sleep(OBSERVATION_S)
        traffic.stop()
        return checkers.no_run_after_removal(test_fleet.run_events(), "daemon", "a1", removed_ns)
    finally:
        test_fleet.stop()


def backend_leaves(port, binary, seed):
    """Promise 8: a backend server that an operator drains, and one that drains itself, get no new runs after 3 s."""
    test_fleet = start_fleet(port, binary=binary)
    try:
        traffic = callers.Callers(entry_ports(test_fleet, "e1", "a1"), KINDS, threads=8, seed=seed)
        time.sleep(1)
        drained_ns = test_fleet.run_until_accepted("drain", "a1")
        draining_ns = time.monotonic_ns()
        test_fleet.post_to_backend(test_fleet.daemons["b1"], "/drain", {})
        time.sleep(OBSERVATION_S)
        calls = traffic.stop()
        events = test_fleet.run_events()
        return checkers.no_run_after_removal(events, "daemon", "a1", drained_ns) + checkers.no_run_after_removal(
            events, "daemon", "b1", draining_ns) + checkers.at_most_once(calls, events)
    finally:
        test_fleet.stop()


def planned_stop(port, binary, seed):
    """Promise 9: the planned stop of an entry daemon and of a serving daemon interrupts no call, not even one whose caller
    has connected but not sent it yet."""
    test_fleet = start_fleet(port, binary=binary, service_ms=150)
    try:
        traffic = callers.Callers([d.port for d in test_fleet.daemons.values()], KINDS, threads=12, seed=seed,
                                  max_send_delay_s=0.1)
        time.sleep(1)
        stopping = [test_fleet.daemons["e1"], test_fleet.daemons["a1"]]
        stop_ns = time.monotonic_ns()
        for daemon in stopping:
            daemon.process.send_signal(signal.SIGTERM)
        time.sleep(OBSERVATION_S)
        calls = traffic.stop()
        violations = [f"daemon {d.name} still runs {OBSERVATION_S} s after the stop signal" for d in stopping
                      if d.process.is_running()]
        for daemon in test_fleet.daemons.values():
            violations += checkers.planned_stop_interrupts_no_call(calls, daemon.port, stop_ns)
        return violations + checkers.not_run_refusals_are_true(calls, test_fleet.run_events())
    finally:
        test_fleet.stop()


def cold_start(port, binary, seed):
    """Promise 2: a cold backend server is not overloaded, and gets more calls once it has warmed up under load."""
    test_fleet = start_fleet(port, binary=binary, service_ms=10, warm_after=100)
    try:
        traffic = callers.Callers(entry_ports(test_fleet, "e1", "b1"), KINDS, threads=24, seed=seed, pause_s=0.001)
        # 100 answers with 2 slots and 50 ms each take 2.5 s; daemons may learn of the warm server one probe later.
        time.sleep(7)
        traffic.stop()
        events = test_fleet.run_events()
        violations = checkers.cold_servers_not_overloaded(events, test_fleet.cold_slots)
        if not any(run["state"] == "ready" and run["inUse"] > test_fleet.cold_slots for run in checkers.started_runs(events)):
            violations.append(f"no backend server had more than {test_fleet.cold_slots} calls in progress after it had warmed up")
        return violations
    finally:
        test_fleet.stop()


def cold_without_warning(port, binary, seed):
    """Promise 2: a backend server that turns cold without notice is not overloaded from 0.5 s later, when a few answers
    have revealed its state."""
    test_fleet = start_fleet(port, binary=binary, service_ms=10, warm_after=40)
    try:
        traffic = callers.Callers(entry_ports(test_fleet, "e1", "b1"), KINDS, threads=6, seed=seed, pause_s=0.005)
        time.sleep(3)
        turned_cold_ns = time.monotonic_ns()
        test_fleet.post_to_backend(test_fleet.daemons["a1"], "/fault", {"cold": True})
        time.sleep(3)
        traffic.stop()
        checked_from_ns = turned_cold_ns + 500_000_000
        return checkers.cold_servers_not_overloaded([event for event in test_fleet.run_events() if event["ns"] > checked_from_ns],
                                                    test_fleet.cold_slots)
    finally:
        test_fleet.stop()


def is_in_service(test_fleet, data_centre):
    """Returns whether a data centre is in service in the newest configuration in the store."""
    code, text = test_fleet.run_coltsfootctl("show")
    if code != 0:
        raise RuntimeError(f"coltsfootctl show failed with exit code {code}: {text}")
    return json.loads(text)["dataCentres"][data_centre]["inService"]


def wait_until_one_has_version(test_fleet, accepted_ns, version):
    """Waits until a daemon has a version in force; returns violations if none has it within 3 s of its acceptance."""
    while time.monotonic_ns() <= accepted_ns + checkers.PROPAGATION_LIMIT_NS:
        if any(sample_version >= version for _ns, _daemon, _incarnation, sample_version in test_fleet.sample_versions()):
            return []
        time.sleep(0.01)
    return [f"no daemon has version {version} in force {checkers.PROPAGATION_LIMIT_NS / 1e9:.0f} s after its acceptance"]


def versions(port, binary, seed):
    """Promise 10: versions are in force everywhere within 3 s and never revert, although operators race, the store loses
    answers to appends, truncates its history and freezes, and a daemon starts while it is frozen."""
    test_fleet = start_fleet(port, binary=binary)
    try:
        sampler = matrix.VersionSampler(test_fleet)
        for command in ("out", "back"):
            test_fleet.run_until_accepted(command, "klang-b")
        with concurrent.futures.ThreadPoolExecutor(3) as operators:
            list(operators.map(lambda command: test_fleet.run_until_accepted(command, "klang-a"), ("out", "back", "out")))
        # Two "out" that read the same version write the same text, and coltsfootctl reports both as accepted; "back" can
        # then be the last change of the race. Without this "out", the next "back" would change nothing.
        if is_in_service(test_fleet, "klang-a"):
            test_fleet.run_until_accepted("out", "klang-a")
        test_fleet.set_store_faults(loseAnswers=2)
        test_fleet.run_until_accepted("back", "klang-a")
        test_fleet.set_store_faults(forgetHistory=True)
        test_fleet.daemons["b1"].process.kill()
        # The lost answers may be those to the daemons' reads. If no running daemon had the version when the store
        # freezes, none could obtain it until the store continues.
        violations = wait_until_one_has_version(test_fleet, *test_fleet.accepted_versions[-1])
        test_fleet.store.send_signal(signal.SIGSTOP)
        test_fleet.daemons["b1"].process.start()
        time.sleep(4)
        test_fleet.store.send_signal(signal.SIGCONT)
        time.sleep(1)
        test_fleet.run_until_accepted("out", "klang-b")
        time.sleep(4)
        return violations + checkers.versions_in_force(sampler.stop(), test_fleet.accepted_versions)
    finally:
        test_fleet.stop()


def one_reaches_store(port, binary, seed):
    """Promise 10: a change is in force everywhere within 3 s even if the store answers one daemon only, whichever it is."""
    test_fleet = start_fleet(port, SEVEN_DAEMONS, binary=binary)
    try:
        sampler = matrix.VersionSampler(test_fleet)
        for name in random.Random(seed).sample(list(test_fleet.daemons), 3):
            # A daemon detects the reset of its connection at once, and missing answers after a timeout.
            for mode, detection_s in (("cut", 0), ("drop-from", STORE_TIMEOUT_DETECTION_S)):
                for daemon in test_fleet.daemons.values():
                    daemon.store_relay.set_mode("pass" if daemon.name == name else mode)
                time.sleep(detection_s)
                test_fleet.run_until_accepted("out" if mode == "cut" else "back", "klang-a")
                time.sleep(IN_FORCE_WAIT_S)
        return checkers.versions_in_force(sampler.stop(), test_fleet.accepted_versions)
    finally:
        test_fleet.stop()


def home_regions(port, binary, seed):
    """Promise 4: a call with home regions and its nested calls run only there. A daemon elsewhere that a caller uses as
    entry daemon forwards the call to a home region and stores none of its content."""
    test_fleet = start_fleet(port, HOME_REGION_DAEMONS, ("bookings", "other"), binary=binary)
    try:
        headers = {"Coltsfootwell-Home-Regions": "klang"}
        served_count = 0
        for i in range(60):
            home_call = callers.call_once(test_fleet.daemons["k1"].port, "order", f"home-{i}&nested=/other/x?order=home-n{i}",
                                          headers=headers)
            served_count += home_call["status"] == 200
            remote_call = callers.call_once(test_fleet.daemons["p1"].port, "order", f"home-p{i}", headers=headers)
            served_count += remote_call["status"] == 200
        time.sleep(1)
        stored_texts = {}
        for name in ("p1", "p2"):
            for path in ("spans", "metrics", "status"):
                stored_texts[f"{path} of {name}"] = test_fleet.get_text(test_fleet.daemons[name], path) or ""
            stored_texts[f"log lines of {name}"] = (test_fleet.directory / f"{name}.log").read_text()
        violations = checkers.runs_stay_in_home_regions("home-", {"k1", "k2"}, test_fleet.run_events(), stored_texts)
        nested_runs = [run for run in checkers.started_runs(test_fleet.run_events()) if run["order"].startswith("home-n")]
        if served_count < 110 or not nested_runs:
            violations.append(f"{served_count} of 120 calls were served, minimum: 110; "
                              f"{len(nested_runs)} nested calls ran, minimum: 1")
        return violations
    finally:
        test_fleet.stop()


def probe_budget(port, binary, seed):
    """Promise 1: probes of backend servers stay within their budget, without calls and under load."""
    test_fleet = start_fleet(port, binary=binary, probes_per_second=PROBES_PER_SECOND)
    try:
        start_ns = time.monotonic_ns()
        time.sleep(4)
        traffic = callers.Callers(entry_ports(test_fleet, "e1"), KINDS, threads=4, seed=seed)
        time.sleep(3)
        traffic.stop()
        end_ns = time.monotonic_ns()
        violations = []
        for daemon in test_fleet.daemons.values():
            probes = [event for event in test_fleet.run_events() if event["event"] == "load" and event["daemon"] == daemon.name
                      and start_ns <= event["ns"] <= end_ns]
            violations += checkers.probes_within_budget(len(probes), (end_ns - start_ns) / 1e9, PROBES_PER_SECOND)
        return violations
    finally:
        test_fleet.stop()


SCENARIOS = (data_centre_out, data_centre_out_unheard, backend_leaves, planned_stop, cold_start, cold_without_warning,
             versions, one_reaches_store, home_regions, probe_budget)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", nargs="+", choices=[s.__name__ for s in SCENARIOS])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=4,
                        help="maximum number of scenarios that run at the same time, with 8 processes each")
    parser.add_argument("--binary", default="coltsfootd")
    options = parser.parse_args()
    selected = [s for s in SCENARIOS if not options.only or s.__name__ in options.only]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        futures = {pool.submit(s, FIRST_PORT + SCENARIOS.index(s) * PORTS_PER_SCENARIO, options.binary, options.seed): s
                   for s in selected}
        for future in concurrent.futures.as_completed(futures):
            name = futures[future].__name__
            try:
                violations = future.result()
            except Exception as error:  # A fleet that does not start fails its scenario and does not end the test run.
                violations = [f"{type(error).__name__}: {error}"]
            failed += bool(violations)
            print(f"{name}: seed {options.seed}: {'FAIL' if violations else 'pass'}", flush=True)
            for violation in violations[:6]:
                print(f"    {violation}", flush=True)
    print(f"{len(selected) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
