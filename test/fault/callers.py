"""Concurrent callers that write down what they were told."""

import http.client
import json
import random
import threading
import time

CONNECT_TIMEOUT_S = 3.0
BODY = {"read": b"", "order": b"o" * 200, "photo": b"p" * 300_000}
METHOD = {"read": "GET", "order": "POST", "photo": "POST"}


def call_once(port, kind, order, deadline_ms=1500, headers=None, path="/bookings/x", send_delay_s=0.0):
    """Makes one call over a connection of its own and returns its record."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=CONNECT_TIMEOUT_S)
    record, _ = call_over(connection, kind, order, deadline_ms, headers, path, send_delay_s)
    connection.close()
    return record


def call_over(connection, kind, order, deadline_ms=1500, headers=None, path="/bookings/x", send_delay_s=0.0):
    """Makes one call; returns its record, and whether the connection can be used again."""
    record = {"order": order, "kind": kind, "method": METHOD[kind], "port": connection.port,
              "begin": time.monotonic_ns(), "status": 0, "outcome": "", "reason": "",
              "whole": False, "error": "", "echo": None, "connected": False}
    usable = False
    try:
        if connection.sock is None:
            connection.connect()
        record["connected"] = True
        time.sleep(send_delay_s)
        fields = {"Coltsfootwell-Deadline-Ms": str(deadline_ms)}
        fields.update(headers or {})
        connection.request(METHOD[kind], f"{path}?order={order}", body=BODY[kind] or None, headers=fields)
        response = connection.getresponse()
        record["status"] = response.status
        record["outcome"] = response.getheader("Coltsfootwell-Outcome", "")
        record["reason"] = response.getheader("Coltsfootwell-Reason", "")
        record["server"] = response.getheader("Coltsfootwell-Served-By", "")
        body = response.read()
        record["whole"] = True
        if response.status == 200:
            record["echo"] = json.loads(body)
        usable = not response.will_close
    except (OSError, http.client.HTTPException, ValueError) as error:
        record["error"] = f"{type(error).__name__}: {error}"
    record["end"] = time.monotonic_ns()
    return record, usable


class Callers:
    """Threads that call until told to stop."""

    def __init__(self, ports, kinds, threads, seed, pause_s=0.01, send_delay_s=0.0):
        """send_delay_s: longest time between connecting and sending."""
        self.ports = ports
        self.kinds = kinds
        self.pause_s = pause_s
        self.send_delay_s = send_delay_s
        self.history = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(i, random.Random(seed * 1000 + i)))
                        for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.history

    def _run(self, index, rng):
        n = 0
        while not self.stopping.is_set():
            kind = rng.choice(self.kinds)
            order = f"c{index}-{n}"
            n += 1
            port = rng.choice(self.ports)
            self._record(call_once(port, kind, order, send_delay_s=rng.uniform(0, self.send_delay_s)))
            time.sleep(self.pause_s * rng.uniform(0.5, 1.5))

    def _record(self, record):
        with self.lock:
            self.history.append(record)
