"""One scenario for each promise that the fault matrix does not reach: real daemons, concurrent callers,
the fault that the promise is about, and its checker.

  promises.py                  all scenarios
  promises.py --only NAME ...  some of them
"""

import argparse
import concurrent.futures
import random
import signal
import sys
import time

import callers
import checkers
import fleet
import matrix

# Below the ports that the system gives to outgoing connections (32768 and up).
FIRST_PORT = 26_000
PORTS_PER_SCENARIO = 256
KINDS = ["read", "order", "order"]
OUT_S = 5.0
# Low, so that the budget is what limits the probes and not the period at which they are considered.
PROBES_PER_SECOND = 0.5
# Time after which a confirmed change is demanded everywhere, and some samples more.
IN_FORCE_S = 3.6
# The longest wait of a read at the store, and the time after which it is given up.
SILENCE_S = 3.0
CROWDED_DAEMONS = tuple((f"c{i}", "klang", "klang-a", "bookings") for i in range(7))
HOME_DAEMONS = (("k1", "klang", "klang-a", "bookings"), ("k2", "klang", "klang-b", "other"),
                ("p1", "penang", "penang-a", "bookings"), ("p2", "penang", "penang-b", "other"))


def start(port, daemons=matrix.DAEMONS, services=("bookings",), **options):
    f = fleet.Fleet(port, daemons, list(services), **options)
    f.start()
    return f


def entry_ports(f, *names):
    return [f.daemons[name].port for name in names]


def data_centre_out(port, binary, seed):
    """Promise 3: no new work 3 s after a data centre was taken out; work again when it is back."""
    f = start(port, binary=binary)
    try:
        # Callers of klang-a itself show its return; those of klang-b have no reason to leave their data centre.
        crowd = callers.Callers(entry_ports(f, "e1", "b1", "a1"), KINDS, threads=8, seed=seed)
        time.sleep(1)
        out = f.operate("out", "klang-a")
        time.sleep(OUT_S)
        back = time.monotonic_ns()
        f.operate("back", "klang-a")
        time.sleep(2)
        calls = crowd.stop()
        runs = f.runs()
        faults = checkers.no_run_after(runs, "dataCentre", "klang-a", out, back)
        if not any(run["ns"] > back and run["dataCentre"] == "klang-a" for run in checkers.begins(runs)):
            faults.append("klang-a served nothing after it was brought back")
        refused = [c for c in calls if c["status"] != 200]
        if len(refused) > 0.05 * len(calls):
            faults.append(f"{len(refused)} of {len(calls)} calls were not served, rule: at most 5 in 100")
        return faults + checkers.at_most_once(calls, runs) + checkers.not_run_is_true(calls, runs)
    finally:
        f.stop()


def data_centre_out_unheard(port, binary, seed):
    """Promise 3: a daemon that is cut off from the store learns the news from its peers."""
    f = start(port, binary=binary)
    try:
        lonely = f.daemons["a1"]
        crowd = callers.Callers([lonely.port], KINDS, threads=4, seed=seed)
        time.sleep(1)
        lonely.store_relay.set_mode("cut")
        out = f.operate("out", "klang-a")
        time.sleep(OUT_S)
        crowd.stop()
        return checkers.no_run_after(f.runs(), "daemon", "a1", out)
    finally:
        f.stop()


def backend_leaves(port, binary, seed):
    """Promise 8: a drained and a draining backend server get no new work after 3 s."""
    f = start(port, binary=binary)
    try:
        crowd = callers.Callers(entry_ports(f, "e1", "a1"), KINDS, threads=8, seed=seed)
        time.sleep(1)
        drained = f.operate("drain", "a1")
        draining = time.monotonic_ns()
        f.post_backend(f.daemons["b1"], "/drain", {})
        time.sleep(OUT_S)
        calls = crowd.stop()
        runs = f.runs()
        return checkers.no_run_after(runs, "daemon", "a1", drained) + checkers.no_run_after(
            runs, "daemon", "b1", draining) + checkers.at_most_once(calls, runs)
    finally:
        f.stop()


def planned_stop(port, binary, seed):
    """Promise 9: the planned stop of an entry daemon and of a serving daemon cuts no call, also none whose
    caller has connected and is about to send it."""
    f = start(port, binary=binary, service_ms=150)
    try:
        crowd = callers.Callers([d.port for d in f.daemons.values()], KINDS, threads=12, seed=seed, send_delay_s=0.1)
        time.sleep(1)
        stopping = [f.daemons["e1"], f.daemons["a1"]]
        began = time.monotonic_ns()
        for daemon in stopping:
            daemon.process.send(signal.SIGTERM)
        time.sleep(OUT_S)
        calls = crowd.stop()
        faults = [f"daemon {d.name} still runs {OUT_S} s after it was asked to stop" for d in stopping
                  if d.process.running()]
        for daemon in f.daemons.values():
            faults += checkers.planned_stop_cuts_nothing(calls, daemon.port, began)
        return faults + checkers.not_run_is_true(calls, f.runs())
    finally:
        f.stop()


def cold_start(port, binary, seed):
    """Promise 2: a cold backend server gets no more than it can bear, and warms up under load."""
    f = start(port, binary=binary, service_ms=10, warm_after=100)
    try:
        crowd = callers.Callers(entry_ports(f, "e1", "b1"), KINDS, threads=24, seed=seed, pause_s=0.001)
        # 100 answers at 2 slots and 50 ms take 2.5 s; the report of "warm" may lag by a probe.
        time.sleep(7)
        crowd.stop()
        runs = f.runs()
        faults = checkers.cold_is_spared(runs, f.cold_slots)
        if not any(run["state"] == "ready" and run["inUse"] > f.cold_slots for run in checkers.begins(runs)):
            faults.append(f"no backend server had more than {f.cold_slots} calls in use once it was warm")
        return faults
    finally:
        f.stop()


def cold_without_warning(port, binary, seed):
    """Promise 2: a server that turns cold without warning is spared once a few answers have shown it."""
    f = start(port, binary=binary, service_ms=10, warm_after=40)
    try:
        crowd = callers.Callers(entry_ports(f, "e1", "b1"), KINDS, threads=6, seed=seed, pause_s=0.005)
        time.sleep(3)
        turned = time.monotonic_ns()
        f.post_backend(f.daemons["a1"], "/fault", {"cold": True})
        time.sleep(3)
        crowd.stop()
        noticed = turned + 500_000_000
        return checkers.cold_is_spared([run for run in f.runs() if run["ns"] > noticed], f.cold_slots)
    finally:
        f.stop()


def versions(port, binary, seed):
    """Promise 10: in force everywhere within 3 s, never reverting, with racing operators, lost append
    answers, a frozen store, forgotten history and a daemon started meanwhile."""
    f = start(port, binary=binary)
    try:
        sampler = matrix.Sampler(f)
        for word in ("out", "back"):
            f.operate(word, "klang-b")
        with concurrent.futures.ThreadPoolExecutor(3) as operators:
            list(operators.map(lambda word: f.operate(word, "klang-a"), ("out", "back", "out")))
        f.set_store_faults(loseAnswers=2)
        f.operate("back", "klang-a")
        f.set_store_faults(forgetHistory=True)
        f.daemons["b1"].process.kill()
        f.store.send(signal.SIGSTOP)
        f.daemons["b1"].process.start()
        time.sleep(4)
        f.store.send(signal.SIGCONT)
        time.sleep(1)
        f.operate("out", "klang-b")
        time.sleep(4)
        return checkers.versions_in_force(sampler.stop(), f.accepted)
    finally:
        f.stop()


def one_reaches_store(port, binary, seed):
    """Promise 10: a change is in force everywhere in time though the store answers one daemon only, whichever it is."""
    f = start(port, CROWDED_DAEMONS, binary=binary)
    try:
        sampler = matrix.Sampler(f)
        for name in random.Random(seed).sample(list(f.daemons), 3):
            # With open connections that are cut a daemon knows at once; a silent store shows within SILENCE_S.
            for mode, known_s in (("cut", 0), ("drop-from", SILENCE_S)):
                for daemon in f.daemons.values():
                    daemon.store_relay.set_mode("pass" if daemon.name == name else mode)
                time.sleep(known_s)
                f.operate("out" if mode == "cut" else "back", "klang-a")
                time.sleep(IN_FORCE_S)
        return checkers.versions_in_force(sampler.stop(), f.accepted)
    finally:
        f.stop()


def home_regions(port, binary, seed):
    """Promise 4: a call with home regions is served nowhere else, also its nested calls. A daemon elsewhere that
    a caller has chosen sends it home and keeps nothing of its content."""
    f = start(port, HOME_DAEMONS, ("bookings", "other"), binary=binary)
    try:
        headers = {"Coltsfootwell-Home-Regions": "klang"}
        served = 0
        for i in range(60):
            inside = callers.call_once(f.daemons["k1"].port, "order", f"home-{i}&nested=/other/x?order=home-n{i}", headers=headers)
            served += inside["status"] == 200
            outside = callers.call_once(f.daemons["p1"].port, "order", f"home-p{i}", headers=headers)
            served += outside["status"] == 200
        time.sleep(1)
        texts = {}
        for name in ("p1", "p2"):
            for path in ("spans", "metrics", "status"):
                texts[f"{path} of {name}"] = f.get_text(f.daemons[name], path) or ""
            texts[f"log lines of {name}"] = (f.directory / f"{name}.log").read_text()
        faults = checkers.stays_at_home("home-", {"k1", "k2"}, f.runs(), texts)
        nested = [run for run in checkers.begins(f.runs()) if run["order"].startswith("home-n")]
        if served < 110 or not nested:
            faults.append(f"{served} of 120 calls were served at home, {len(nested)} nested calls ran")
        return faults
    finally:
        f.stop()


def probe_budget(port, binary, seed):
    """Promise 1: probes stay within their budget, when idle and under load."""
    f = start(port, binary=binary, probes_per_second=PROBES_PER_SECOND)
    try:
        began = time.monotonic_ns()
        time.sleep(4)
        crowd = callers.Callers(entry_ports(f, "e1"), KINDS, threads=4, seed=seed)
        time.sleep(3)
        crowd.stop()
        ended = time.monotonic_ns()
        faults = []
        for daemon in f.daemons.values():
            probes = [run for run in f.runs() if run["event"] == "load" and run["daemon"] == daemon.name
                      and began <= run["ns"] <= ended]
            faults += checkers.probes_within_budget(len(probes), (ended - began) / 1e9, PROBES_PER_SECOND)
        return faults
    finally:
        f.stop()


SCENARIOS = (data_centre_out, data_centre_out_unheard, backend_leaves, planned_stop, cold_start, cold_without_warning,
             versions, one_reaches_store, home_regions, probe_budget)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", nargs="+", choices=[s.__name__ for s in SCENARIOS])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=4, help="scenarios at once; each has 8 processes")
    parser.add_argument("--binary", default="coltsfootd")
    options = parser.parse_args()
    chosen = [s for s in SCENARIOS if not options.only or s.__name__ in options.only]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.parallel) as pool:
        futures = {pool.submit(s, FIRST_PORT + SCENARIOS.index(s) * PORTS_PER_SCENARIO, options.binary, options.seed): s
                   for s in chosen}
        for future in concurrent.futures.as_completed(futures):
            name = futures[future].__name__
            try:
                faults = future.result()
            except Exception as error:  # A fleet that cannot start is a failed scenario.
                faults = [f"{type(error).__name__}: {error}"]
            failed += bool(faults)
            print(f"{name}: seed {options.seed}: {'FAIL' if faults else 'pass'}", flush=True)
            for fault in faults[:6]:
                print(f"    {fault}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
