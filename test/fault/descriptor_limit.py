"""Tests with real processes of daemons that have no descriptors left.

Guards against an accept loop that takes a whole processor while no connection can be accepted, against idle connections that
shut out other callers, and against a backend server or another daemon that is avoided since the daemon itself had no
descriptor for a connection to it.
"""

import http.client
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
# Limit of a daemon from its start on, and the number of connections that are opened to it.
START_DESCRIPTORS = 200
IDLE_CONNECTIONS = 400
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


class FewDescriptorsSite(Site):
    """A site whose daemons start with a limit of START_DESCRIPTORS descriptors."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        for daemon in self.daemons.values():
            daemon.arguments = ["sh", "-c", f"ulimit -n {START_DESCRIPTORS} && exec \"$@\"", "sh", *daemon.arguments]


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


def servers_are_not_blamed(site):
    """A daemon without a descriptor for a connection to its backend server refuses requests as not run, and does not count
    the server as down."""
    violations = []
    pid = site.daemons[NAME].child.pid
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    # The connections that the daemon keeps to its backend server are closed.
    server = site.backend_servers[NAME]
    kept = [http.client.HTTPConnection("127.0.0.1", site.ports[NAME], timeout=3) for _ in range(12)]
    for connection in kept:
        connection.connect()
    time.sleep(0.3)
    used = sorted(int(fd) for fd in os.listdir(f"/proc/{pid}/fd"))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used[-1] + 1, limits[1]))
    fill = open_connections(site.ports[NAME], CONNECTIONS)
    time.sleep(0.5)
    server.mode = "slow"
    before = len(server.runs)
    for n, connection in enumerate(kept):
        connection.request("POST", "/book/x", b"order", {"Host": "a.example", "X-Attempt-Id": f"few{n}", "X-Deadline-Ms": "1500"})
    statuses = [connection.getresponse().status for connection in kept]
    server.mode = ""
    runs = len(server.runs) - before
    print(f"    statuses {statuses}, {runs} runs")
    violations += expect(set(statuses) <= {200, 503}, f"statuses {statuses}, expected 200 or 503")
    violations += expect(503 in statuses, "no request found the daemon without a descriptor")
    violations += expect(statuses.count(200) == runs, f"{statuses.count(200)} of {runs} runs were answered")
    close_all(kept + fill)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    log = (site.directory / f"{NAME}.log").read_text(errors="replace")
    violations += expect("down=yes" not in log, "the daemon counted its backend server as down")
    time.sleep(SETTLE_S)
    return violations + check_orders(site, "after the connections were closed")


def idle_connections_make_room(site):
    """Callers and daemons reach a daemon at which clients opened more connections than it has descriptors."""
    violations = []
    connections = open_connections(site.ports[NAME], IDLE_CONNECTIONS)
    pid = site.daemons[NAME].child.pid
    start = cpu_seconds(pid)
    time.sleep(CPU_PERIOD_S)
    share = (cpu_seconds(pid) - start) / CPU_PERIOD_S
    print(f"    {share:.2f} of a processor, {len(os.listdir(f'/proc/{pid}/fd'))} descriptors")
    violations += expect(share < MAX_CPU_SHARE, f"{share:.2f} of a processor, expected < {MAX_CPU_SHARE}")
    violations += check_orders(site, "beside idle connections")
    violations += expect(send_request(site.ports[NAME] + 2, "GET", "/ready")[0] == 200, "not ready beside idle connections")
    close_all(connections)
    return violations


def main():
    hosts = [(NAME, "klang-a", NAME), (OTHER, "klang-b", OTHER)]
    result = platform_path.run_checks(Site(hosts, BASE_PORT, CONFIGURATION),
                                      (full_daemons_hand_back_the_processor, servers_are_not_blamed))
    return platform_path.run_checks(FewDescriptorsSite(hosts, BASE_PORT, CONFIGURATION), (idle_connections_make_room,)) or result


if __name__ == "__main__":
    sys.exit(main())
