"""Concurrent callers that record the outcome of each call as the caller sees it.

A record is a dictionary. Its times "start" and "end" are nanoseconds of the monotonic clock; "complete" says that
the answer was received completely; "echo" is the JSON body in which a stand-in backend server describes the request
that it ran.
"""

import http.client
import json
import random
import threading
import time

SOCKET_TIMEOUT_S = 3.0
REQUEST_BODIES = {"read": b"", "order": b"o" * 200, "photo": b"p" * 300_000}
METHODS = {"read": "GET", "order": "POST", "photo": "POST"}


def call_once(port, kind, order, deadline_ms=1500, headers=None, path="/bookings/x", send_delay_s=0.0):
    """Makes one call over a new connection and returns its record."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=SOCKET_TIMEOUT_S)
    record, _ = call_on_connection(connection, kind, order, deadline_ms, headers, path, send_delay_s)
    connection.close()
    return record


def call_on_connection(connection, kind, order, deadline_ms=1500, headers=None, path="/bookings/x", send_delay_s=0.0):
    """Makes one call over a connection, which is opened if necessary.

    deadline_ms: deadline that the call names. headers: further request headers. send_delay_s: time between
    connecting and sending. Returns the record of the call, and whether the connection can be used again.
    """
    record = {"order": order, "kind": kind, "method": METHODS[kind], "port": connection.port,
              "start": time.monotonic_ns(), "status": 0, "outcome": "", "reason": "",
              "complete": False, "error": "", "echo": None, "connected": False}
    reusable = False
    try:
        if connection.sock is None:
            connection.connect()
        record["connected"] = True
        time.sleep(send_delay_s)
        request_headers = {"Coltsfootwell-Deadline-Ms": str(deadline_ms)}
        request_headers.update(headers or {})
        connection.request(METHODS[kind], f"{path}?order={order}", body=REQUEST_BODIES[kind] or None, headers=request_headers)
        response = connection.getresponse()
        record["status"] = response.status
        record["outcome"] = response.getheader("Coltsfootwell-Outcome", "")
        record["reason"] = response.getheader("Coltsfootwell-Reason", "")
        record["server"] = response.getheader("Coltsfootwell-Served-By", "")
        body = response.read()
        record["complete"] = True
        if response.status == 200:
            record["echo"] = json.loads(body)
        reusable = not response.will_close
    except (OSError, http.client.HTTPException, ValueError) as error:
        record["error"] = f"{type(error).__name__}: {error}"
    record["end"] = time.monotonic_ns()
    return record, reusable


class Callers:
    """Threads that make calls until stop(), which returns the records of all calls."""

    def __init__(self, ports, kinds, threads, seed, pause_s=0.01, max_send_delay_s=0.0):
        """Starts the threads.

        ports: entry ports, one chosen at random for each call. kinds: kinds of request, chosen likewise. pause_s:
        mean pause of a thread between two calls. max_send_delay_s: maximum time between connecting and sending.
        """
        self.ports = ports
        self.kinds = kinds
        self.pause_s = pause_s
        self.max_send_delay_s = max_send_delay_s
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
        call_number = 0
        while not self.stopping.is_set():
            kind = rng.choice(self.kinds)
            order = f"c{index}-{call_number}"
            call_number += 1
            port = rng.choice(self.ports)
            self._add_record(call_once(port, kind, order, send_delay_s=rng.uniform(0, self.max_send_delay_s)))
            time.sleep(self.pause_s * rng.uniform(0.5, 1.5))

    def _add_record(self, record):
        with self.lock:
            self.history.append(record)
