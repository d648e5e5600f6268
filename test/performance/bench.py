"""Benchmarks the real programs on this machine and prints one JSON object per line. Called by tools/bench.

Machines differ, so compare only figures of one run: differences between paths, slopes and calls per core.

  latency   latency added to a call by one and by two daemons, compared with a call straight to the backend server;
            the three paths are measured in alternating rounds
  idle      CPU time, memory and membership traffic of idle daemons as a function of their number
  kinds     the same as latency, for large bodies and for calls that make a nested call
  core      calls per second and CPU core for the daemons on the path
"""

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "fault"))

import fleet

BUILD = fleet.BUILD
FIRST_PORT = 19_000
# The idle case measures the steady state; the gossip about joins continues for some seconds after the last join.
STEADY_STATE_WAIT_S = 20
# Ports reserved for a fleet. Consecutive fleets alternate between two port ranges, since ports stay in use for a while
# after a fleet has stopped.
PORTS_PER_CASE = 400
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def emit(**fields):
    print(json.dumps(fields), flush=True)


def cpu_time_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def private_bytes(pid):
    """Returns the memory that a process does not share with others, which excludes shared libraries."""
    total = 0
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith(("Private_Clean:", "Private_Dirty:")):
            total += int(line.split()[1]) * 1024
    return total


def membership_bytes(test_fleet, daemon):
    total = 0.0
    for line in (test_fleet.get_text(daemon, "metrics") or "").splitlines():
        if line.startswith("coltsfootwell_membership_bytes_total"):
            total += float(line.rsplit(" ", 1)[1])
    return total


def run_load(port, rate, seconds, seed, mix=None):
    """Runs coltsfoot-load against a port with rate calls per second; returns its report."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-bench-"))
    mix = mix or [{"name": "read", "method": "GET", "path": "/bookings/x", "deadlineMs": 2000}]
    (directory / "mix.json").write_text(json.dumps(mix))
    subprocess.run([BUILD / "coltsfoot-load", "--target", f"127.0.0.1:{port}", "--fixed-targets",
                    "--mix", directory / "mix.json",
                    "--rate", str(rate), "--seconds", str(seconds), "--seed", str(seed), "--report",
                    directory / "report.json"], check=True, stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL)
    return json.loads((directory / "report.json").read_text())


def start_fleet(base_port, daemons, **options):
    """Starts a fleet without the relays of the fault tests, which would add their own latency to each hop."""
    test_fleet = fleet.Fleet(base_port, daemons, ["bookings"], use_relays=False, **options)
    try:
        test_fleet.start()
    except BaseException:
        test_fleet.stop()
        raise
    return test_fleet


def bench_latency(seconds, rounds, kind="read", rate=300, mix=None):
    test_fleet = start_fleet(FIRST_PORT, [("d1", "klang", "klang-a", "bookings"), ("e1", "klang", "klang-a", None)],
                             slots=64, service_ms=0, cold_slots=64)
    try:
        serving, entry = test_fleet.daemons["d1"], test_fleet.daemons["e1"]
        ports = {"direct": serving.backend_port, "one daemon": serving.port, "two daemons": entry.port}
        samples = {name: [] for name in ports}
        for i in range(rounds):
            for name, port in ports.items():
                report = run_load(port, rate, seconds, i, mix)
                if set(report["status"]) != {"200"}:
                    raise RuntimeError(f"{name}: got statuses {report['status']}, expected only 200")
                samples[name].append(report["latency"])
        # The median over the rounds of each quantile.
        medians = {name: {q: sorted(s[f"{q}Ms"] for s in rows)[len(rows) // 2] for q in ("p50", "p99")}
                  for name, rows in samples.items()}
        for name in ("one daemon", "two daemons"):
            emit(case="latency", kind=kind, path=name, rate=rate, target_added_p99_ms=0.31,
                 **{f"{q}_ms": medians[name][q] for q in ("p50", "p99")},
                 **{f"direct_{q}_ms": medians["direct"][q] for q in ("p50", "p99")},
                 **{f"added_{q}_ms": round(medians[name][q] - medians["direct"][q], 4) for q in ("p50", "p99")})
    finally:
        test_fleet.stop()


def bench_kinds(seconds, rounds):
    post = {"name": "order", "method": "POST", "path": "/bookings/x", "deadlineMs": 2000}
    for length in (64, 256):
        bench_latency(seconds, rounds, f"body of {length} KiB", 100, [dict(post, bodyBytes=length * 1024)])
    # The nested call passes through a daemon also when the outer call goes straight to the backend server.
    bench_latency(seconds, rounds, "with a call of its own", 100, [
        {"name": "outer", "method": "GET", "path": "/bookings/x?nested=/bookings/y", "deadlineMs": 2000}])


def bench_idle(counts, seconds):
    rows = []
    for i, n in enumerate(counts):
        daemons = [(f"d{k}", "klang", f"klang-{'ab'[k % 2]}", None) for k in range(n)]
        test_fleet = start_fleet(FIRST_PORT + PORTS_PER_CASE * ((i + 1) % 2), daemons)
        try:
            time.sleep(STEADY_STATE_WAIT_S)
            pids = {d.name: d.process.child.pid for d in test_fleet.daemons.values()}
            initial = {d.name: (cpu_time_s(pids[d.name]), membership_bytes(test_fleet, d)) for d in test_fleet.daemons.values()}
            start_s = time.monotonic()
            time.sleep(seconds)
            elapsed = time.monotonic() - start_s
            cores = [(cpu_time_s(pids[d.name]) - initial[d.name][0]) / elapsed for d in test_fleet.daemons.values()]
            bytes_per_s = [(membership_bytes(test_fleet, d) - initial[d.name][1]) / elapsed for d in test_fleet.daemons.values()]
            row = {"daemons": n, "core_percent": 100 * sum(cores) / n, "core_percent_max": 100 * max(cores),
                   "membership_bytes_per_s": sum(bytes_per_s) / n, "membership_bytes_per_s_max": max(bytes_per_s),
                   "resident_mb": sum(resident_bytes(p) for p in pids.values()) / n / 1e6,
                   "private_mb": sum(private_bytes(p) for p in pids.values()) / n / 1e6}
            rows.append(row)
            emit(case="idle", **{k: round(v, 3) for k, v in row.items()})
        finally:
            test_fleet.stop()
    for field in ("core_percent", "membership_bytes_per_s", "resident_mb", "private_mb"):
        slope, intercept = fit_line([(r["daemons"], r[field]) for r in rows])
        emit(case="idle-slope", field=field, per_daemon=round(slope, 5), at_zero=round(intercept, 3),
             at_1000=round(intercept + 1000 * slope, 2))


def fit_line(points):
    """Fits a line by least squares; returns its slope and its value at zero."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_of_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares_x if sum_of_squares_x else 0.0
    return slope, mean_y - slope * mean_x


def bench_core(seconds):
    test_fleet = start_fleet(FIRST_PORT + PORTS_PER_CASE,
                             [("d1", "klang", "klang-a", "bookings"), ("e1", "klang", "klang-a", None)],
                             slots=256, service_ms=0, cold_slots=256)
    try:
        serving, entry = test_fleet.daemons["d1"], test_fleet.daemons["e1"]
        for rate in (1000, 3000):
            pids = [serving.process.child.pid, entry.process.child.pid]
            initial = [cpu_time_s(pid) for pid in pids]
            report = run_load(entry.port, rate, seconds, 1)
            cpu_seconds = [cpu_time_s(pid) - initial_s for pid, initial_s in zip(pids, initial)]
            calls = report["outcome"].get("run", 0)
            emit(case="core", offered_per_s=rate, served=calls, p99_ms=report["latencyOfRun"]["p99Ms"],
                 entry_us_per_call=round(1e6 * cpu_seconds[1] / max(1, calls), 1),
                 serving_us_per_call=round(1e6 * cpu_seconds[0] / max(1, calls), 1),
                 calls_per_core_second=round(calls / max(1e-9, sum(cpu_seconds))))
    finally:
        test_fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("cases", nargs="*", default=["latency", "core", "idle"])
    parser.add_argument("--quick", action="store_true", help="shorter rounds, to try the script")
    options = parser.parse_args()
    # sys.exit() raises an exception, so that each case stops the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    for case in options.cases:
        if case == "latency":
            bench_latency(2 if options.quick else 5, 1 if options.quick else 3)
        elif case == "kinds":
            bench_kinds(2 if options.quick else 5, 1 if options.quick else 3)
        elif case == "core":
            bench_core(2 if options.quick else 5)
        elif case == "idle":
            bench_idle((4, 8) if options.quick else (4, 16, 32, 64), 5 if options.quick else 20)
        else:
            parser.error(f"unknown case {case!r}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
