"""The fault matrix: every fault at every step of the path of a call, generated from two lists.

Each cell starts a small fleet, lets concurrent callers call, breaks one part in the middle, mends it
and checks the promises on the histories. A cell without a meaning prints "-", one without a test "?".

  matrix.py                 all cells
  matrix.py --short         the fixed part that the tests run
  matrix.py --cell run:kill one cell
  matrix.py --twice         each fault strikes twice
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

DAEMONS = (("a1", "klang", "klang-a", "bookings"), ("a2", "klang", "klang-a", "bookings"),
           ("b1", "klang", "klang-b", "bookings"), ("e1", "klang", "klang-b", None))
FIRST_PORT = 20_000
PORTS_PER_CELL = 256
WARM_S, FAULT_S, MEND_S = 0.8, 1.2, 1.0


def backend_fault(**document):
    return (lambda f: f.post_backend(f.daemons["a1"], "/fault", document)), lambda f: f.post_backend(
        f.daemons["a1"], "/fault", {"straggleMs": 0, "failFastShare": 0, "cutAfterBytes": -1})


def answers_lost(count):
    """Every backend server loses answers, wherever the calls are placed at that moment."""
    def strike(f):
        for name, _region, _data_centre, service in DAEMONS:
            if service:
                f.post_backend(f.daemons[name], "/fault", {"loseAnswers": count})
    return strike, lambda f: None


def link_fault(name, mode, delay=0.0):
    return (lambda f: f.daemons[name].relay.set_mode(mode, delay)), lambda f: f.daemons[name].relay.set_mode("pass")


def kill_daemon(name):
    return (lambda f: f.daemons[name].process.kill()), lambda f: f.daemons[name].process.start()


def freeze(find):
    return (lambda f: find(f).send(signal.SIGSTOP)), lambda f: find(f).send(signal.SIGCONT)


def kill_backend():
    return (lambda f: f.daemons["a1"].backend.kill()), lambda f: f.daemons["a1"].backend.start()


def store_stopped():
    return (lambda f: f.store.send(signal.SIGSTOP)), lambda f: f.store.send(signal.SIGCONT)


def store_fault(**faults):
    return (lambda f: f.set_store_faults(**faults)), lambda f: f.set_store_faults()


def operators_race():
    def race(f):
        threads = [threading.Thread(target=change_state, args=(f, word)) for word in ("out", "back", "out", "back")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    return race, lambda f: change_state(f, "back")


def change_state(f, word):
    # Three tries: an operator who loses a race reads the result and decides again.
    for _ in range(3):
        code, _text = f.control(word, "klang-a")
        if code == 0:
            return


# The part of the fleet that a step depends on, by kind of fault. None: the fault has no meaning there.
STEPS = {
    "take": "the entry daemon takes the call",
    "send": "the attempt goes to the serving daemon",
    "admit": "the serving daemon admits and starts it",
    "run": "the backend server runs it",
    "answer": "the answer comes back",
    "publish": "a configuration is published and spread",
}

FAULTS = ("kill", "freeze", "cut", "one-way cut", "silent", "answer lost", "store down", "store slow", "straggler",
          "fail-fast", "cold turn", "operators race")

CELLS = {
    ("take", "kill"): kill_daemon("e1"),
    ("take", "freeze"): freeze(lambda f: f.daemons["e1"].process),
    ("send", "cut"): link_fault("a1", "cut"),
    ("send", "one-way cut"): link_fault("a1", "drop-to"),
    ("send", "silent"): link_fault("a1", "silent"),
    ("admit", "kill"): kill_daemon("a1"),
    ("admit", "freeze"): freeze(lambda f: f.daemons["a1"].process),
    ("run", "kill"): kill_backend(),
    ("run", "freeze"): freeze(lambda f: f.daemons["a1"].backend),
    ("run", "silent"): backend_fault(silence=True),
    ("run", "straggler"): backend_fault(straggleMs=400),
    ("run", "fail-fast"): backend_fault(failFastShare=1.0),
    ("run", "cold turn"): backend_fault(cold=True),
    ("answer", "cut"): backend_fault(cutAfterBytes=10),
    ("answer", "one-way cut"): link_fault("a1", "drop-from"),
    ("answer", "answer lost"): answers_lost(15),
    ("answer", "straggler"): link_fault("a1", "delay", 0.3),
    ("publish", "store down"): store_stopped(),
    ("publish", "store slow"): store_fault(delayMs=300),
    ("publish", "answer lost"): store_fault(loseAnswers=3),
    ("publish", "operators race"): operators_race(),
    ("publish", "one-way cut"): link_fault("b1", "drop-from"),
    ("publish", "kill"): kill_daemon("b1"),
}

NO_MEANING = {(step, fault) for step in ("take", "send", "admit", "run", "answer")
              for fault in ("store down", "store slow", "operators race")} | {
    (step, fault) for step in ("take", "send", "admit", "publish")
    for fault in ("straggler", "fail-fast", "cold turn")} | {
    ("send", "kill"), ("send", "freeze"), ("answer", "kill"), ("answer", "fail-fast"),
    ("answer", "cold turn")}

SHORT = (("send", "one-way cut"), ("send", "silent"), ("admit", "kill"), ("admit", "freeze"), ("run", "kill"),
         ("answer", "answer lost"), ("answer", "cut"), ("publish", "operators race"))


class Sampler:
    """Asks all daemons for the version in force until stopped."""

    def __init__(self, target):
        self.fleet = target
        self.samples = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.stopping.wait(0.2):
            self.samples += self.fleet.versions()

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return self.samples


def run_cell(cell, index, seed, twice, binary):
    """Returns the violations of one cell and its number of calls."""
    strike, mend = CELLS[cell]
    f = fleet.Fleet(FIRST_PORT + index * PORTS_PER_CELL, DAEMONS, ["bookings"], binary=binary)
    try:
        f.start()
        expected = f.expected_bodies(callers.BODY)
        sampler = Sampler(f)
        # Requests stay in the data centre of their entry while it can serve them, and faults strike a1; the calls
        # through a2 reach it.
        crowd = callers.Callers([f.daemons[name].port for name in ("e1", "b1", "a2")],
                                ["read", "order", "order", "photo"], threads=9, seed=seed)
        time.sleep(WARM_S)
        for _ in range(2 if twice else 1):
            strike(f)
            time.sleep(FAULT_S)
            mend(f)
            time.sleep(MEND_S)
        calls = crowd.stop()
        # Work of calls that were given up may still begin for a moment.
        time.sleep(0.3)
        samples = sampler.stop()
        return judge(f, calls, f.runs(), expected, samples), calls
    finally:
        f.stop()


def judge(f, calls, runs, expected, samples):
    violations = {
        "whole answers": checkers.whole_answers(calls, runs, expected),
        "not run is true": checkers.not_run_is_true(calls, runs),
        "at most once": checkers.at_most_once(calls, runs),
        "versions never revert": checkers.versions_in_force(samples, []),
        "calls were served": [] if sum(c["status"] == 200 for c in calls) > 20 else
        [f"only {sum(c['status'] == 200 for c in calls)} of {len(calls)} calls were served"],
    }
    return {promise: faults for promise, faults in violations.items() if faults}


def print_table(results):
    print("step     " + " ".join(f"{fault:>14}" for fault in FAULTS))
    for step in STEPS:
        row = []
        for fault in FAULTS:
            cell = (step, fault)
            word = "-" if cell in NO_MEANING and cell not in CELLS else "?"
            if cell in results:
                word = "FAIL" if results[cell] else "pass"
            elif cell in CELLS:
                word = "not run"
            row.append(f"{word:>14}")
        print(f"{step:9}" + " ".join(row))
    print('"-": no meaning, "?": not covered')


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--twice", action="store_true")
    parser.add_argument("--cell", help="STEP:FAULT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=4, help="cells at once; each has 8 processes")
    parser.add_argument("--binary", default="coltsfootd")
    options = parser.parse_args()
    cells = list(SHORT) if options.short else list(CELLS)
    if options.cell:
        cells = [tuple(options.cell.split(":"))]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        futures = {pool.submit(run_cell, cell, i, options.seed, options.twice, options.binary): cell
                   for i, cell in enumerate(cells)}
        for future in concurrent.futures.as_completed(futures):
            cell = futures[future]
            try:
                violations, calls = future.result()
            except Exception as error:  # A fleet that cannot start is a failed cell, not a failed run.
                violations, calls = {"cell": [str(error)]}, []
            results[cell] = violations
            served = sum(c["status"] == 200 for c in calls)
            print(f"{cell[0]}:{cell[1]}: {len(calls)} calls, {served} served, seed {options.seed}: "
                  + ("pass" if not violations else "FAIL"), flush=True)
            for promise, faults in violations.items():
                for fault in faults[:5]:
                    print(f"    {promise}: {fault}", flush=True)
    print_table(results)
    failed = sum(1 for violations in results.values() if violations)
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
