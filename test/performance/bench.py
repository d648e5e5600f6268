"""Measures the real programs on this machine and prints one JSON object a line.

Every figure is a ratio or a slope of one run, since machines differ. Called by tools/bench.

  latency   time added to a call: straight to the backend server, through the daemon beside it, and
            through two daemons; alternating rounds of one run
  idle      processor time, memory and membership bytes of idle daemons against their number
  kinds     the same as latency for long bodies and for calls that make a call of their own
  core      calls per second and core of the daemons on the path
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
# Gossip of the join lasts for some seconds more than the join itself; the steady state is what counts.
SETTLE_S = 20
# A fleet takes 400 ports; two ranges in turn, since the ports of a range stay busy for a while.
PORTS_PER_CASE = 400
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def emit(**fields):
    print(json.dumps(fields), flush=True)


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def private_bytes(pid):
    """Memory that belongs to this process alone; libraries are shared by all."""
    total = 0
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith(("Private_Clean:", "Private_Dirty:")):
            total += int(line.split()[1]) * 1024
    return total


def membership_bytes(f, daemon):
    total = 0.0
    for line in (f.get_text(daemon, "metrics") or "").splitlines():
        if line.startswith("coltsfootwell_membership_bytes_total"):
            total += float(line.rsplit(" ", 1)[1])
    return total


def load(port, rate, seconds, seed, mix=None):
    """Runs the load tool and returns its report."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-bench-"))
    mix = mix or [{"name": "read", "method": "GET", "path": "/bookings/x", "deadlineMs": 2000}]
    (directory / "mix.json").write_text(json.dumps(mix))
    subprocess.run([BUILD / "coltsfoot-load", "--target", f"127.0.0.1:{port}", "--fixed-targets",
                    "--mix", directory / "mix.json",
                    "--rate", str(rate), "--seconds", str(seconds), "--seed", str(seed), "--report",
                    directory / "report.json"], check=True, stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL)
    return json.loads((directory / "report.json").read_text())


def start(base_port, daemons, **options):
    """Starts a fleet without the relays of the fault tests: a relay would add its own time to each hop."""
    f = fleet.Fleet(base_port, daemons, ["bookings"], use_relays=False, **options)
    try:
        f.start()
    except BaseException:
        f.stop()
        raise
    return f


def bench_latency(seconds, rounds, kind="read", rate=300, mix=None):
    f = start(FIRST_PORT, [("d1", "klang", "klang-a", "bookings"), ("e1", "klang", "klang-a", None)],
              slots=64, service_ms=0, cold_slots=64)
    try:
        serving, entry = f.daemons["d1"], f.daemons["e1"]
        ports = {"direct": serving.backend_port, "one daemon": serving.port, "two daemons": entry.port}
        samples = {name: [] for name in ports}
        for i in range(rounds):
            for name, port in ports.items():
                report = load(port, rate, seconds, i, mix)
                if set(report["status"]) != {"200"}:
                    raise RuntimeError(f"{name}: statuses {report['status']} where only 200 was expected")
                samples[name].append(report["latency"])
        middle = {name: {q: sorted(s[f"{q}Ms"] for s in rows)[len(rows) // 2] for q in ("p50", "p99")}
                  for name, rows in samples.items()}
        for name in ("one daemon", "two daemons"):
            emit(case="latency", kind=kind, path=name, rate=rate, target_added_p99_ms=0.31,
                 **{f"{q}_ms": middle[name][q] for q in ("p50", "p99")},
                 **{f"direct_{q}_ms": middle["direct"][q] for q in ("p50", "p99")},
                 **{f"added_{q}_ms": round(middle[name][q] - middle["direct"][q], 4) for q in ("p50", "p99")})
    finally:
        f.stop()


def bench_kinds(seconds, rounds):
    post = {"name": "order", "method": "POST", "path": "/bookings/x", "deadlineMs": 2000}
    for length in (64, 256):
        bench_latency(seconds, rounds, f"body of {length} KiB", 100, [dict(post, bodyBytes=length * 1024)])
    # Straight to the server the inner call still passes the daemon.
    bench_latency(seconds, rounds, "with a call of its own", 100, [
        {"name": "outer", "method": "GET", "path": "/bookings/x?nested=/bookings/y", "deadlineMs": 2000}])


def bench_idle(counts, seconds):
    rows = []
    for i, n in enumerate(counts):
        daemons = [(f"d{k}", "klang", f"klang-{'ab'[k % 2]}", None) for k in range(n)]
        f = start(FIRST_PORT + PORTS_PER_CASE * ((i + 1) % 2), daemons)
        try:
            time.sleep(SETTLE_S)
            pids = {d.name: d.process.child.pid for d in f.daemons.values()}
            before = {d.name: (processor_seconds(pids[d.name]), membership_bytes(f, d)) for d in f.daemons.values()}
            began = time.monotonic()
            time.sleep(seconds)
            elapsed = time.monotonic() - began
            cpu = [(processor_seconds(pids[d.name]) - before[d.name][0]) / elapsed for d in f.daemons.values()]
            sent = [(membership_bytes(f, d) - before[d.name][1]) / elapsed for d in f.daemons.values()]
            row = {"daemons": n, "core_percent": 100 * sum(cpu) / n, "core_percent_max": 100 * max(cpu),
                   "membership_bytes_per_s": sum(sent) / n, "membership_bytes_per_s_max": max(sent),
                   "resident_mb": sum(resident_bytes(p) for p in pids.values()) / n / 1e6,
                   "private_mb": sum(private_bytes(p) for p in pids.values()) / n / 1e6}
            rows.append(row)
            emit(case="idle", **{k: round(v, 3) for k, v in row.items()})
        finally:
            f.stop()
    for field in ("core_percent", "membership_bytes_per_s", "resident_mb", "private_mb"):
        slope, start_value = line_through([(r["daemons"], r[field]) for r in rows])
        emit(case="idle-slope", field=field, per_daemon=round(slope, 5), at_zero=round(start_value, 3),
             at_1000=round(start_value + 1000 * slope, 2))


def line_through(points):
    """Least squares: slope and value at zero."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return slope, mean_y - slope * mean_x


def bench_core(seconds):
    f = start(FIRST_PORT + PORTS_PER_CASE, [("d1", "klang", "klang-a", "bookings"), ("e1", "klang", "klang-a", None)],
              slots=256, service_ms=0, cold_slots=256)
    try:
        serving, entry = f.daemons["d1"], f.daemons["e1"]
        for rate in (1000, 3000):
            pids = [serving.process.child.pid, entry.process.child.pid]
            before = [processor_seconds(pid) for pid in pids]
            report = load(entry.port, rate, seconds, 1)
            used = [processor_seconds(pid) - b for pid, b in zip(pids, before)]
            calls = report["outcome"].get("run", 0)
            emit(case="core", offered_per_s=rate, served=calls, p99_ms=report["latencyOfRun"]["p99Ms"],
                 entry_us_per_call=round(1e6 * used[1] / max(1, calls), 1),
                 serving_us_per_call=round(1e6 * used[0] / max(1, calls), 1),
                 calls_per_core_second=round(calls / max(1e-9, sum(used))))
    finally:
        f.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("cases", nargs="*", default=["latency", "core", "idle"])
    parser.add_argument("--quick", action="store_true", help="shorter rounds, for trying the script")
    options = parser.parse_args()
    # An exit by exception lets each case stop the processes that it started.
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
