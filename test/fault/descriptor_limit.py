"""Tests with real processes of daemons that have no descriptors left.

Guards against an accept loop that takes a whole processor while no connection can be accepted.
"""

import os
import pathlib
import resource
import socket
import sys
import time

import platform_path
from platform_path import Site, expect, send_request

BASE_PORT = 29_000
NAME = "bookings"
OTHER = "other"
ENTRY_DAEMONS = {"near": NAME, "far": OTHER}
# Descriptors that a daemon with a reduced limit may open beyond those that it has.
SPARE_DESCRIPTORS = 20
CONNECTIONS = 60
CPU_PERIOD_S = 3.0
MAX_CPU_SHARE = 0.5
SETTLE_S = 1.5
LISTENERS = {"callers": 0, "links": 1, "ready": 2, "registration": 3, "admin": 4}
CONFIGURATION = {
    "version": "00000003", "limits": platform_path.CONFIGURATION["limits"],
    "routes": [{"name": NAME, "host": "a.example", "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutS": 2.0,
                "targetLatencyS": 0.4, "priority": 1, "service": NAME, "maxAttempts": 2, "allowedRegions": []}],
    "services": [{"name": name, "healthPath": "/health", "maxConnections": 60, "coldStartS": 1.0, "coldPerS": 100}
                 for name in (NAME, OTHER)]}


def cpu_seconds(pid):
    """Returns the processor time that a process has taken."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def open_connections(port, n):
    """Opens connections and leaves them alone; returns them."""
    return [socket.create_connection(("127.0.0.1", port), 2) for _ in range(n)]


def close_all(connections):
    for connection in connections:
        connection.close()


def send_order(site, way):
    """Sends a request over a new connection; returns its status, and whether it ran."""
    runs = len(site.runs(NAME))
    status = site.call(ENTRY_DAEMONS[way], "POST", "/book/x", b"order")[0]
    return status, len(site.runs(NAME)) > runs


def check_orders(site, situation):
    """Checks that ordinary requests are answered, near and far."""
    violations = []
    for way in ENTRY_DAEMONS:
        status, has_run = send_order(site, way)
        violations += expect(status == 200 and has_run, f"{situation}, {way}: status {status}, expected 200")
    return violations


def full_daemons_hand_back_the_processor(site):
    """A daemon at its limit of descriptors waits between two tries to accept, at each listener, and goes on afterwards."""
    violations = []
    pid = site.daemons[NAME].child.pid
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    for listener, port in LISTENERS.items():
        used = len(os.listdir(f"/proc/{pid}/fd"))
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (used + SPARE_DESCRIPTORS, limits[1]))
        connections = open_connections(site.ports[NAME] + port, CONNECTIONS)
        time.sleep(0.5)
        start = cpu_seconds(pid)
        time.sleep(CPU_PERIOD_S)
        share = (cpu_seconds(pid) - start) / CPU_PERIOD_S
        print(f"    {listener}: {share:.2f} of a processor")
        violations += expect(share < MAX_CPU_SHARE, f"{listener}: {share:.2f} of a processor, expected < {MAX_CPU_SHARE}")
        log = (site.directory / f"{NAME}.log").read_text(errors="replace")
        violations += expect(f"event=accept.paused listener={listener} " in log or
                             any("event=accept.paused" in line and f"listener={listener}" in line for line in log.splitlines()),
                             f"{listener}: no line accept.paused")
        close_all(connections)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        time.sleep(SETTLE_S)
        violations += expect(send_request(site.ports[NAME] + 2, "GET", "/ready")[0] == 200, f"{listener}: not ready afterwards")
        violations += check_orders(site, f"after the connections to {listener}")
    return violations


def main():
    hosts = [(NAME, "klang-a", NAME), (OTHER, "klang-b", OTHER)]
    return platform_path.run_checks(Site(hosts, BASE_PORT, CONFIGURATION),
                                    (full_daemons_hand_back_the_processor,))


if __name__ == "__main__":
    sys.exit(main())
