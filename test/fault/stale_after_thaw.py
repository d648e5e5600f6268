#!/usr/bin/env python3
"""Guards against a daemon that starts runs on an old version in the first moments after a freeze.

A daemon is frozen for 4 s. Meanwhile its data centre is taken out of service and callers leave
requests waiting in its sockets. After the thaw the backend server beside it must start nothing.

  stale_after_thaw.py                         both ways
  stale_after_thaw.py entry BASE_PORT         callers wait at the frozen daemon itself
  stale_after_thaw.py serving BASE_PORT       callers wait at another daemon, whose attempts wait here
"""

import http.client
import signal
import socket
import sys
import threading
import time

import checkers
import fleet

DAEMONS = (("f1", "klang", "klang-f", "bookings"), ("e1", "klang", "klang-e", None),
           ("e2", "klang", "klang-e", None))
FREEZE_S = 4.0
# Longer than the freeze, so that no caller and no deadline ends a call before the thaw.
PATIENCE_S = 10.0
DEADLINE_MS = 9000
CALLERS = 8
BODY_BYTES = 200
HELD_BACK_BYTES = 2
# More than any request here.
WHOLE_BYTES = 10_000
SETTLE_S = 0.1
WAYS = {"entry": "f1", "serving": "e1"}
PORTS = {"entry": 17_000, "serving": 17_400}


class Caller:
    """Has an open connection before the freeze, so that its request waits in a socket that the
    daemon reads in its first turn after the thaw."""

    def __init__(self, port, number):
        self.socket = socket.create_connection(("127.0.0.1", port), PATIENCE_S)
        # Half of the calls are idempotent, so that attempts may also be made again.
        self.method = "GET" if number % 2 else "POST"
        self.number = number
        self.rest = b""
        self.order = ""
        self.record = None
        self.thread = None

    def prepare(self, prefix, hold_back):
        """Sends the request but for its last bytes, which leave with start()."""
        self.order = f"{prefix}-{self.number}"
        body = "o" * BODY_BYTES if self.method == "POST" else ""
        request = (f"{self.method} /bookings/x?order={self.order} HTTP/1.1\r\nHost: bookings\r\n"
                   f"Coltsfootwell-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()
        self.socket.sendall(request[:-hold_back])
        self.rest = request[-hold_back:]

    def call(self):
        record = {"order": self.order, "kind": "order", "method": self.method, "begin": time.monotonic_ns(),
                  "status": 0, "outcome": "", "reason": "", "error": ""}
        try:
            self.socket.sendall(self.rest)
            response = http.client.HTTPResponse(self.socket, method=self.method)
            response.begin()
            response.read()
            record["status"] = response.status
            record["outcome"] = response.getheader("Coltsfootwell-Outcome", "")
            record["reason"] = response.getheader("Coltsfootwell-Reason", "")
        except (OSError, http.client.HTTPException) as error:
            record["error"] = type(error).__name__
        self.record = record

    def start(self):
        self.thread = threading.Thread(target=self.call)
        self.thread.start()


def call_all(all_callers):
    for caller in all_callers:
        caller.start()


def join_all(all_callers):
    for caller in all_callers:
        caller.thread.join()


def check(f, records, frozen_ns, waiting):
    runs = f.runs()
    faults = [f"run {run['order']} began {(run['ns'] - frozen_ns) / 1e9:.3f} s after the freeze, rule: none"
              for run in checkers.begins(runs) if run["ns"] > frozen_ns]
    faults += checkers.not_run_is_true(records, runs) + checkers.at_most_once(records, runs)
    if waiting == 0:
        faults.append("no call was waiting at the thaw, so the test shows nothing")
    return faults


def run(way, base_port):
    f = fleet.Fleet(base_port, DAEMONS, ["bookings"], cold_slots=8, relays=False)
    try:
        f.start()
        all_callers = [Caller(f.daemons[WAYS[way]].port, i) for i in range(CALLERS)]
        for caller in all_callers:
            caller.prepare("before", 1)
        call_all(all_callers)
        join_all(all_callers)
        if any(caller.record["status"] != 200 for caller in all_callers):
            raise AssertionError(f"calls before the freeze got {[c.record for c in all_callers]}")
        frozen = f.daemons["f1"].process
        # At the frozen daemon itself the request is whole with the first read after the thaw.
        # Elsewhere the attempt must not start before the freeze.
        for caller in all_callers:
            caller.prepare("frozen", HELD_BACK_BYTES if way == "entry" else WHOLE_BYTES)
        time.sleep(SETTLE_S)
        frozen.send(signal.SIGSTOP)
        frozen_ns = time.monotonic_ns()
        # At once, while the entry daemon still takes the frozen one for a live target.
        call_all(all_callers)
        code, text = f.control("out", "klang-f")
        if code != 0:
            raise AssertionError(f"out ended with {code}: {text}")
        time.sleep(max(0.0, FREEZE_S - (time.monotonic_ns() - frozen_ns) / 1e9))
        waiting = sum(caller.thread.is_alive() for caller in all_callers)
        frozen.send(signal.SIGCONT)
        join_all(all_callers)
        records = [caller.record for caller in all_callers]
        answers = sorted({f"{r['status']} {r['outcome']} {r['reason']} {r['error']}".strip() for r in records})
        print(f"{way}: {waiting} of {CALLERS} calls waited at the thaw; answers: {answers}", flush=True)
        return check(f, records, frozen_ns, waiting)
    finally:
        f.stop()


def main():
    ways = sys.argv[1:2] or list(WAYS)
    faults = []
    for way in ways:
        base_port = int(sys.argv[2]) if len(sys.argv) > 2 else PORTS[way]
        faults += run(way, base_port)
    for fault in faults:
        print(fault)
    print("failed" if faults else "passed")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
