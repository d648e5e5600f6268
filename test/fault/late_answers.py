"""Tests with real processes that a late copy of a backend server's answer is not taken for the answer to another send.

A connection between daemon and backend server carries many requests, and a request is sent again after a refusal under the
same id. Guards against orders that are answered as not run and run, and against orders that run twice.
"""

import collections
import concurrent.futures
import sys
import time

import platform_path
from platform_path import Site, expect

BASE_PORT = 26_500
NAME = "orders"
ORDERS = 60
# Daemons reuse a connection for an order only if it has been idle for less than 150 ms.
ORDER_INTERVAL_S = 0.02
# Parallel callers where the copies are those of health checks, so that orders and health checks use several connections,
# and the number of orders, since health checks are sent only a few times a second.
HEALTH_CHECK_CALLERS = 4
HEALTH_CHECK_ORDERS = 800
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
CONFIGURATION = {
    "version": "00000003", "limits": platform_path.CONFIGURATION["limits"],
    "routes": [{"name": NAME, "host": "a.example", "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutS": 1.0,
                "targetLatencyS": 0.4, "priority": 1, "service": NAME, "maxAttempts": 2, "allowedRegions": []}],
    "services": [{"name": NAME, "healthPath": "/health", "maxConnections": 60, "coldStartS": 1.0, "coldPerS": 100}]}


def send_orders(site, mode, n=ORDERS, callers=1):
    """Sends n orders; prints the figures and returns the violations."""
    server = site.backend_servers[NAME]
    server.mode = mode
    server.late_answers = 0
    server.runs.clear()

    def send_order(request_id):
        status = site.call(NAME, "POST", "/book/x", b"x", X_Attempt_Id=request_id)[0]
        time.sleep(ORDER_INTERVAL_S)
        return status

    request_ids = [f"{mode}-{i}" for i in range(n)]
    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        statuses = dict(zip(request_ids, executor.map(send_order, request_ids)))
    # A run that starts after the answer must be counted, too.
    time.sleep(1.0)
    server.mode = ""
    runs = collections.Counter(run["id"] for run in list(server.runs))
    refused_and_run = sorted(key for key, status in statuses.items() if status in NOT_RUN_STATUSES and runs[key])
    run_twice = sorted(key for key, n in runs.items() if n > 1)
    answers = dict(sorted(collections.Counter(statuses.values()).items()))
    print(f"    {mode}: {len(statuses)} orders, answers {answers}, {server.late_answers} late copies, "
          f"{len(refused_and_run)} refused and run {refused_and_run[:3]}, {len(run_twice)} run twice {run_twice[:3]}")
    return (expect(not refused_and_run, f"{len(refused_and_run)} orders were answered as not run and ran, expected 0")
            + expect(not run_twice, f"{len(run_twice)} orders ran twice, expected 0"))


def rejection_repeated(site):
    """A copy of a rejection arrives where the answer to the next offer of the same order is expected."""
    violations = send_orders(site, "late-rejection")
    server = site.backend_servers[NAME]
    return violations + expect(len(server.refused_ids) >= ORDERS, f"only {len(server.refused_ids)} orders were refused")


def rejection_without_id(site):
    """A rejection that names no request arrives late, although the server names the requests of its answers."""
    return send_orders(site, "late-unnamed")


def health_rejection_repeated(site):
    """A rejection arrives late on the connection of a health check."""
    violations = send_orders(site, "late-health", HEALTH_CHECK_ORDERS, HEALTH_CHECK_CALLERS)
    server = site.backend_servers[NAME]
    return violations + expect(server.late_answers >= 4, f"only {server.late_answers} late copies were sent")


CHECKS = (rejection_repeated, rejection_without_id, health_rejection_repeated)


def main():
    return platform_path.run_checks(Site([(NAME, "klang-a", NAME)], BASE_PORT, CONFIGURATION), CHECKS)


if __name__ == "__main__":
    sys.exit(main())
