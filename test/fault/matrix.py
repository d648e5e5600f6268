"""The fault matrix: injects every kind of fault at every step of the path of a call.

Each cell of the matrix starts a small fleet with concurrent callers, injects one fault, removes it again and checks
the promises on the recorded calls and runs. The table of results marks a cell that is not applicable with "-" and one
that has no test with "?".

  matrix.py                 all cells
  matrix.py --short         the fixed subset that CTest runs
  matrix.py --cell run:kill one cell
  matrix.py --twice         injects each fault twice
"""

import argparse
import concurrent.futures
import json
import signal
import sys
import threading
import time

import callers
import checkers
import fleet
import store_return

DAEMONS = (("a1", "klang", "klang-a", "bookings"), ("a2", "klang", "klang-a", "bookings"),
           ("b1", "klang", "klang-b", "bookings"), ("e1", "klang", "klang-b", None))
# Two daemons of each data centre read the store; these ones learn of versions from others only.
DAEMONS_BESIDE_READERS = (("a3", "klang", "klang-a", None), ("a4", "klang", "klang-a", None), ("e2", "klang", "klang-b", None),
                          ("e3", "klang", "klang-b", None))
FIRST_PORT = 20_000
PORTS_PER_CELL = 256
# Duration of the phases of a cell: calls before the fault, calls with the fault, calls after its removal.
WARM_UP_S, FAULT_S, RECOVERY_S = 0.8, 1.2, 1.0
# Changes that a return of the store loses, more than are published after it; and the time for which it is away before.
LOST_CHANGES = 3
AWAY_S = 0.5


# Each of the following functions returns a pair of functions that take a fleet: the first one injects a fault, the
# second one removes it.


def backend_fault(**document):
    return (lambda test_fleet: test_fleet.post_to_backend(test_fleet.daemons["a1"], "/fault", document)), \
        lambda test_fleet: test_fleet.post_to_backend(
            test_fleet.daemons["a1"], "/fault", {"straggleMs": 0, "failFastShare": 0, "cutAfterBytes": -1})


def lose_answers(count):
    """All backend servers lose answers, so that the fault affects the calls whichever backend server they run on."""
    def inject(test_fleet):
        for name, _region, _data_centre, service in DAEMONS:
            if service:
                test_fleet.post_to_backend(test_fleet.daemons[name], "/fault", {"loseAnswers": count})
    return inject, lambda test_fleet: None


def link_fault(name, mode, delay_s=0.0):
    return (lambda test_fleet: test_fleet.daemons[name].relay.set_mode(mode, delay_s)), \
        lambda test_fleet: test_fleet.daemons[name].relay.set_mode("pass")


def kill_daemon(name):
    return (lambda test_fleet: test_fleet.daemons[name].process.kill()), \
        lambda test_fleet: test_fleet.daemons[name].process.start()


def freeze_process(find_process):
    return (lambda test_fleet: find_process(test_fleet).send_signal(signal.SIGSTOP)), \
        lambda test_fleet: find_process(test_fleet).send_signal(signal.SIGCONT)


def kill_backend():
    return (lambda test_fleet: test_fleet.daemons["a1"].backend.kill()), \
        lambda test_fleet: test_fleet.daemons["a1"].backend.start()


def freeze_store():
    return (lambda test_fleet: test_fleet.store.send_signal(signal.SIGSTOP)), \
        lambda test_fleet: test_fleet.store.send_signal(signal.SIGCONT)


def store_fault(**faults):
    return (lambda test_fleet: test_fleet.set_store_faults(**faults)), lambda test_fleet: test_fleet.set_store_faults()


def operators_race():
    # Four operators change the same data centre at the same time; the recovery puts it back into service.
    def race(test_fleet):
        threads = [threading.Thread(target=set_data_centre_state, args=(test_fleet, command))
                   for command in ("out", "back", "out", "back")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    return race, lambda test_fleet: set_data_centre_state(test_fleet, "back")


def set_data_centre_state(test_fleet, command):
    # Up to three attempts, like an operator who repeats the command after a conflict with another operator.
    for _ in range(3):
        code, _text = test_fleet.run_coltsfootctl(command, "klang-a")
        if code == 0:
            return


def add_route(document):
    document["routes"].append({"prefix": f"/more-{document['version']}", "service": "bookings", "idempotentMethods": ["GET"]})


def return_of_store(how, other_fault=(lambda test_fleet: None, lambda test_fleet: None)):
    """The store comes back from a copy that lacks versions; another fault follows at once.

    The recovery removes the other fault, writes again what was lost and publishes a version, which must be in force in time.
    """
    inject_other, recover_other = other_fault

    def inject(test_fleet):
        operator = test_fleet.operator = store_return.Operator(test_fleet)
        path = test_fleet.directory / "change.json"
        require(store_return.take_copy(test_fleet), "the store takes a copy")
        for _ in range(LOST_CHANGES):
            require(operator.publish(add_route, path) == 0, "a version is accepted before the return of the store")
        version = max(version for _, version in test_fleet.accepted_versions)
        late = store_return.late_daemons(test_fleet, version, time.monotonic_ns() + checkers.PROPAGATION_LIMIT_NS)
        require(not late, f"the versions are in force before the return of the store: {late}")
        require(operator.return_from_copy(AWAY_S, how), "the store returns from its copy")
        inject_other(test_fleet)

    def recover(test_fleet):
        recover_other(test_fleet)
        operator = test_fleet.operator
        require(operator.write_again(), "the store takes again what it lacks")
        require(operator.publish(add_route, test_fleet.directory / "change.json") == 0, "a version is accepted after the return")
        accepted_ns, version = test_fleet.accepted_versions[-1]
        late = store_return.late_daemons(test_fleet, version, operator.due_ns(accepted_ns))
        require(not late, f"the version after the return is in force: {late}")
    return inject, recover


def require(condition, what):
    """Fails the cell unless a condition holds."""
    if not condition:
        raise RuntimeError(f"required: {what}")


# Steps of the path of a call, and the distribution of a configuration.
PATH_STEPS = {
    "take": "the entry daemon accepts the call",
    "send": "the entry daemon sends an attempt to the serving daemon",
    "admit": "the serving daemon admits the attempt and starts its run",
    "run": "the backend server runs the request",
    "answer": "the answer returns to the caller",
    "publish": "a configuration is published and propagated",
}

FAULT_NAMES = ("kill", "freeze", "cut", "one-way cut", "silent", "answer lost", "store down", "store slow", "store restored",
               "straggler", "fail-fast", "cold turn", "operators race")

# Functions that inject and remove the fault, by step and fault.
CELLS = {
    ("take", "kill"): kill_daemon("e1"),
    ("take", "freeze"): freeze_process(lambda test_fleet: test_fleet.daemons["e1"].process),
    ("send", "cut"): link_fault("a1", "cut"),
    ("send", "one-way cut"): link_fault("a1", "drop-to"),
    ("send", "silent"): link_fault("a1", "silent"),
    ("admit", "kill"): kill_daemon("a1"),
    ("admit", "freeze"): freeze_process(lambda test_fleet: test_fleet.daemons["a1"].process),
    ("run", "kill"): kill_backend(),
    ("run", "freeze"): freeze_process(lambda test_fleet: test_fleet.daemons["a1"].backend),
    ("run", "silent"): backend_fault(silence=True),
    ("run", "straggler"): backend_fault(straggleMs=400),
    ("run", "fail-fast"): backend_fault(failFastShare=1.0),
    ("run", "cold turn"): backend_fault(cold=True),
    ("answer", "cut"): backend_fault(cutAfterBytes=10),
    ("answer", "one-way cut"): link_fault("a1", "drop-from"),
    ("answer", "answer lost"): lose_answers(15),
    ("answer", "straggler"): link_fault("a1", "delay", 0.3),
    ("publish", "store down"): freeze_store(),
    ("publish", "store slow"): store_fault(delayMs=300),
    ("publish", "answer lost"): store_fault(loseAnswers=3),
    # A daemon that starts while the store holds older versions only.
    ("take", "store restored"): return_of_store("reset", kill_daemon("e1")),
    ("admit", "store restored"): return_of_store("silent", kill_daemon("a1")),
    ("publish", "store restored"): return_of_store("reset"),
    ("publish", "operators race"): operators_race(),
    ("publish", "one-way cut"): link_fault("b1", "drop-from"),
    ("publish", "kill"): kill_daemon("b1"),
}

# Combinations in which the step does not depend on the part that the fault affects.
NOT_APPLICABLE = {(step, fault) for step in ("take", "send", "admit", "run", "answer")
                  for fault in ("store down", "store slow", "store restored", "operators race")} | {
    (step, fault) for step in ("take", "send", "admit", "publish")
    for fault in ("straggler", "fail-fast", "cold turn")} | {
    ("send", "kill"), ("send", "freeze"), ("answer", "kill"), ("answer", "fail-fast"),
    ("answer", "cold turn")}

SHORT_CELLS = (("send", "one-way cut"), ("send", "silent"), ("admit", "kill"), ("admit", "freeze"), ("run", "kill"),
               ("answer", "answer lost"), ("answer", "cut"), ("publish", "operators race"),
               ("publish", "store restored"), ("take", "store restored"))


class VersionSampler:
    """A thread that samples the version in force in all daemons until stop() is called."""

    def __init__(self, test_fleet):
        self.fleet = test_fleet
        self.samples = []
        self.stopping = threading.Event()
        # A daemon thread, since a scenario that raises does not call stop(), and the sampler would keep the process alive
        # until the timeout of CTest.
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopping.wait(0.2):
            self.samples += self.fleet.sample_versions()

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return self.samples


def run_cell(cell, index, seed, twice, binary):
    """Runs one cell; returns the violations by promise, and the records of the calls.

    index: number of the port range. twice: whether the fault is injected twice. binary: see Fleet.
    """
    inject, recover = CELLS[cell]
    daemons = DAEMONS + (DAEMONS_BESIDE_READERS if cell[1] == "store restored" else ())
    test_fleet = fleet.Fleet(FIRST_PORT + index * PORTS_PER_CELL, daemons, ["bookings"], binary=binary)
    try:
        test_fleet.start()
        expected = test_fleet.body_digests(callers.REQUEST_BODIES)
        sampler = VersionSampler(test_fleet)
        # Calls stay in the data centre of their entry daemon while it can serve them. The faults affect a1, which
        # receives the calls that enter through a2.
        traffic = callers.Callers([test_fleet.daemons[name].port for name in ("e1", "b1", "a2")],
                                  ["read", "order", "order", "photo"], threads=9, seed=seed)
        time.sleep(WARM_UP_S)
        for _ in range(2 if twice else 1):
            inject(test_fleet)
            time.sleep(FAULT_S)
            recover(test_fleet)
            time.sleep(RECOVERY_S)
        calls = traffic.stop()
        # Attempts of abandoned calls may still start to run for a short time.
        time.sleep(0.3)
        samples = sampler.stop()
        return check_promises(test_fleet, calls, test_fleet.run_events(), expected, samples), calls
    finally:
        test_fleet.stop()


def check_promises(test_fleet, calls, events, expected, samples):
    violations_by_promise = {
        "complete answers": checkers.answers_match_requests(calls, events, expected),
        "true not-run refusals": checkers.not_run_refusals_are_true(calls, events),
        "at most once": checkers.at_most_once(calls, events),
        "versions never revert": checkers.versions_in_force(samples, []),
        "routes stay known": checkers.routes_stay_known(calls),
        "calls were served": [] if sum(c["status"] == 200 for c in calls) > 20 else
        [f"only {sum(c['status'] == 200 for c in calls)} of {len(calls)} calls were served"],
    }
    return {promise: violations for promise, violations in violations_by_promise.items() if violations}


def print_table(results):
    print("step     " + " ".join(f"{fault:>14}" for fault in FAULT_NAMES))
    for step in PATH_STEPS:
        row = []
        for fault in FAULT_NAMES:
            cell = (step, fault)
            entry = "-" if cell in NOT_APPLICABLE and cell not in CELLS else "?"
            if cell in results:
                entry = "FAIL" if results[cell] else "pass"
            elif cell in CELLS:
                entry = "not run"
            row.append(f"{entry:>14}")
        print(f"{step:9}" + " ".join(row))
    print('"-": not applicable, "?": no test')


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--twice", action="store_true")
    parser.add_argument("--cell", help="STEP:FAULT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=4,
                        help="maximum number of cells that run at the same time, with 8 processes each")
    parser.add_argument("--binary", default="coltsfootd")
    options = parser.parse_args()
    cells = list(SHORT_CELLS) if options.short else list(CELLS)
    if options.cell:
        cells = [tuple(options.cell.split(":"))]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        futures = {pool.submit(run_cell, cell, i, options.seed, options.twice, options.binary): cell
                   for i, cell in enumerate(cells)}
        for future in concurrent.futures.as_completed(futures):
            cell = futures[future]
            try:
                violations_by_promise, calls = future.result()
            except Exception as error:  # A fleet that does not start fails its cell and does not end the test run.
                violations_by_promise, calls = {"cell": [str(error)]}, []
            results[cell] = violations_by_promise
            served_count = sum(c["status"] == 200 for c in calls)
            print(f"{cell[0]}:{cell[1]}: {len(calls)} calls, {served_count} served, seed {options.seed}: "
                  + ("pass" if not violations_by_promise else "FAIL"), flush=True)
            for promise, violations in violations_by_promise.items():
                for violation in violations[:5]:
                    print(f"    {promise}: {violation}", flush=True)
    print_table(results)
    failed = sum(1 for violations_by_promise in results.values() if violations_by_promise)
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
