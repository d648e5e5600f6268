"""Tests with real processes that clients outside the limits do not exhaust the memory of a daemon.

Guards against a daemon that grows over its memory, or serves ordinary callers no more, while a small crowd of clients sends
requests without end, stops short of the end of its bodies, or does not read its answers. The crowd connects to the daemon
beside the server ("near") or to another one ("far"). Each case is a test of its own, with processes of its own:
--case NAME-WAY; --list names them.

The crowd keeps its connections open, and may be refused or cut. Nothing here depends on the speed of the machine.
"""

import collections
import itertools
import json
import os
import pathlib
import selectors
import socket
import socketserver
import sys
import threading
import time

import platform_path
from platform_path import HeartbeatSender, Site, expect

BASE_PORT = 29_500
NAME = "uploads"
ENTRY_DAEMONS = {"near": NAME, "far": "other"}
# Memory of a daemon according to its settings, and the bound of its resident peak.
MEMORY_MB = 64
MAX_BODY_BYTES = 4_000_000
MAX_HEADER_BYTES = 16_384
# Connections of the daemon beside the server to it.
MAX_SERVER_CONNECTIONS = 60
# Descriptors of a daemon without those of the crowd: connections to its server, in use and idle, links and listeners.
MAX_OWN_DESCRIPTORS = MAX_SERVER_CONNECTIONS + 90
CONFIGURATION = {
    "version": "00000003",
    "limits": {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutS": 3, "idleTimeoutS": 60},
    "routes": [{"name": "r1", "host": "a.example", "pathPrefix": "/call/", "kind": "idempotent", "timeoutS": 20.0,
                "targetLatencyS": 10.0, "priority": 1, "service": NAME, "maxAttempts": 2, "allowedRegions": []},
               {"name": "r2", "host": "a.example", "pathPrefix": "/upload/", "kind": "upload", "timeoutS": 20.0,
                "targetLatencyS": 10.0, "priority": 1, "service": NAME, "maxAttempts": 2, "allowedRegions": []}],
    "services": [{"name": name, "healthPath": "/health", "maxConnections": MAX_SERVER_CONNECTIONS, "coldStartS": 1.0,
                  "coldPerS": 100} for name in (NAME, "other")]}
# Bytes that each connection sends, or the server answers, in place of input without end.
ENDLESS_BYTES = 40_000_000
# Just below the length up to which bodies drew on no budget.
SHORT_BODY_BYTES = 60_000
CHUNK_BYTES = 20_000
# Requests of one connection that a daemon has at work at a time.
PIPELINED_REQUESTS = 64
LONG_ANSWER_BYTES = 3_000_000
UPLOAD_BYTES = 200_000
DOWNLOAD_BYTES = 1_000_000
# Tries of an ordinary caller, which comes back after a refusal and after a lost answer.
TRIES = 40
TRY_PAUSE_S = 0.5
ANSWER_TIMEOUT_S = 25
DEADLINE_MS = 20_000
# The crowd counts as settled once neither it nor the server has sent anything for this time.
QUIET_S = 1.0
MAX_SETTLE_S = 30
# A slow reader takes one byte in this time, and a paced sender sends one part.
PACE_S = 0.1
# Receive buffer of callers that do not read, so that the rest of their answers stays in the daemon.
RECEIVE_BUFFER_BYTES = 4096
BUFFER = memoryview(b"a" * 1_000_000)
TRAILER_FIELDS = memoryview(b"X-Field: value\r\n" * 10_000)
SLOTS = 40
SEALED = f"X-Attempt-Id: {{}}\r\nX-Server-Seal: s\r\nX-Server-Load: 1,0,{SLOTS},100\r\n"


def repeated(buf, n):
    """Yields parts with n bytes in total from one buffer."""
    while n > 0:
        yield buf[:n]
        n -= len(buf)


class EndlessServer(HeartbeatSender):
    """A backend server whose answer depends on the path of the request. No body is kept in memory.

    released: set to end the requests below "/slow". runs: requests by their kind. written_bytes: bytes of answers sent.
    """

    def __init__(self, name, service, port, heartbeat_port):
        super().__init__(name, service, port, heartbeat_port)
        self.released = threading.Event()
        self.written_bytes = 0
        self.runs = collections.Counter()
        backend_server = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                try:
                    while backend_server.serve(self):
                        pass
                except OSError:
                    pass

        self.server = platform_path.start_server(socketserver.ThreadingTCPServer, port, Handler)
        self.start_heartbeats()

    def heartbeat(self, state):
        heartbeat = json.loads(super().heartbeat(state))
        heartbeat["info"]["slots"] = SLOTS
        return json.dumps(heartbeat).encode()

    def send(self, handler, parts):
        for part in parts:
            handler.wfile.write(part)
            self.written_bytes += len(part)

    def serve(self, handler):
        """Serves one request of a connection; returns whether another one may follow."""
        first_line = handler.rfile.readline().decode()
        headers = {}
        while line := handler.rfile.readline().strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        left = int(headers.get("content-length", 0))
        while left > 0 and (n := len(handler.rfile.read(min(left, 65_536)))):
            left -= n
        if not first_line or left > 0:
            return False
        path = first_line.split(" ")[1]
        kind = path.split("/")[2] if path.count("/") > 1 else ""
        self.runs[kind] += 1
        request_id = headers.get("x-attempt-id")
        named = SEALED.format(request_id) if request_id else f"X-Instance-Id: {self.instance}\r\n"
        if kind == "slow":
            self.released.wait(ANSWER_TIMEOUT_S)
        if kind in ENDLESS_ANSWERS:
            start, rest = ENDLESS_ANSWERS[kind]
            head = f"HTTP/1.1 200 OK\r\n{named}Transfer-Encoding: chunked\r\n\r\n".encode()
            self.send(handler, itertools.chain([head + start], repeated(rest, ENDLESS_BYTES)))
            # Stays open without an end of the answer.
            handler.rfile.read(1)
            return False
        n = {"long": LONG_ANSWER_BYTES, "download": DOWNLOAD_BYTES, "short": SHORT_BODY_BYTES}.get(kind, 4)
        head = f"HTTP/1.1 200 OK\r\n{named}Content-Length: {n}\r\n\r\n".encode()
        self.send(handler, itertools.chain([head], repeated(BUFFER, n)))
        return True

    def stop(self):
        self.stopped.set()
        self.released.set()
        self.server.shutdown()
        self.server.server_close()


# Start of the answer behind its head, and what follows without end.
ENDLESS_ANSWERS = {"trailers": (b"1\r\na\r\n0\r\n", TRAILER_FIELDS), "extension": (b"1;x=", BUFFER)}


class HostileCaller:
    """One connection of the crowd.

    parts: what it sends, as buffers. reads: "all", "none", or "slowly". is_paced: whether it sends one part at a time, which
    the connection takes at once.
    """

    def __init__(self, port, parts, reads="all", is_paced=False):
        self.socket = socket.socket()
        if reads != "all":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.parts, self.reads, self.is_paced = iter(parts), reads, is_paced
        self.part = memoryview(b"")
        self.sent_bytes, self.is_closed = 0, False

    def send_some(self):
        """Sends what the connection takes; returns whether there is more to send."""
        while True:
            if not self.part:
                self.part = next(self.parts, None)
            if self.part is None:
                self.part = memoryview(b"")
                return False
            try:
                n = self.socket.send(self.part)
            except BlockingIOError:
                return True
            self.sent_bytes += n
            self.part = memoryview(self.part)[n:]

    def act_slowly(self):
        """Reads and sends what is due once in PACE_S."""
        if self.reads == "slowly":
            self.receive(1)
        if self.is_paced and (part := next(self.parts, None)):
            self.sent_bytes += self.socket.send(part)

    def receive(self, n):
        try:
            self.is_closed = not self.socket.recv(n)
        except BlockingIOError:
            pass


class Crowd:
    """Connections that send and read in a thread of their own until close()."""

    def __init__(self, callers):
        self.callers = callers
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def sent_bytes(self):
        return sum(caller.sent_bytes for caller in self.callers)

    def run(self):
        selector = selectors.DefaultSelector()
        for caller in self.callers:
            events = (0 if caller.is_paced else selectors.EVENT_WRITE) | (selectors.EVENT_READ if caller.reads == "all" else 0)
            if events:
                selector.register(caller.socket, events, caller)
        next_pace = time.monotonic()
        while not self.stopped.is_set():
            for key, events in selector.select(0.02):
                caller = key.data
                try:
                    if events & selectors.EVENT_READ:
                        caller.receive(65_536)
                    if events & selectors.EVENT_WRITE and not caller.send_some():
                        if caller.reads == "all":
                            selector.modify(caller.socket, selectors.EVENT_READ, caller)
                        else:
                            selector.unregister(caller.socket)
                except OSError:
                    caller.is_closed = True
                if caller.is_closed:
                    selector.unregister(caller.socket)
            if time.monotonic() >= next_pace:
                next_pace += PACE_S
                for caller in self.callers:
                    if not caller.is_closed:
                        try:
                            caller.act_slowly()
                        except OSError:
                            caller.is_closed = True

    def close(self):
        self.stopped.set()
        self.thread.join()
        for caller in self.callers:
            caller.socket.close()


def head(site, method, path, framing=""):
    site.last_id += 1
    return (f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: h{site.last_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n").encode()


def chunked_head(site):
    return head(site, "POST", "/upload/done", "Transfer-Encoding: chunked\r\n")


def bodies(site, n, length):
    """n bodies with a length, each without its last byte."""
    return [itertools.chain([head(site, "POST", "/upload/done", f"Content-Length: {length}\r\n")], repeated(BUFFER, length - 1))
            for _ in range(n)]


def chunked_bodies(site, n, length):
    """n bodies in chunks, each without its last chunk."""
    chunk = b"%x\r\n" % CHUNK_BYTES + BUFFER[:CHUNK_BYTES].tobytes() + b"\r\n"
    return [itertools.chain([chunked_head(site)], itertools.repeat(chunk, length // CHUNK_BYTES)) for _ in range(n)]


def mixed_lengths(make_bodies, site):
    """Long bodies, and shorter ones that take what is left of a limit of memory."""
    return [parts for n, length in ((40, MAX_BODY_BYTES - 100_000), (40, UPLOAD_BYTES), (120, SHORT_BODY_BYTES + 20_000))
            for parts in make_bodies(site, n, length)]


def pipelined_bodies(site, n):
    """n connections with bodies to a server that does not answer."""
    framing = f"Content-Length: {SHORT_BODY_BYTES}\r\n"
    return [itertools.chain.from_iterable((head(site, "POST", "/upload/slow", framing), BUFFER[:SHORT_BODY_BYTES])
                                          for _ in range(PIPELINED_REQUESTS)) for _ in range(n)]


def requests(site, n, path, per_connection=1):
    """n connections with requests without a body."""
    return [(head(site, "GET", path) for _ in range(per_connection)) for _ in range(n)]


# What the connections of the crowd send, how they read, and whether they are paced.
CASES = {
    "trailers": (lambda site: [itertools.chain([chunked_head(site) + b"1\r\na\r\n0\r\n"], repeated(TRAILER_FIELDS, ENDLESS_BYTES))
                               for _ in range(4)], "all"),
    "trailer-line": (lambda site: [itertools.chain([chunked_head(site) + b"1\r\na\r\n0\r\nX-Field: "],
                                                   repeated(BUFFER, ENDLESS_BYTES)) for _ in range(4)], "all"),
    "chunk-extension": (lambda site: [itertools.chain([chunked_head(site) + b"1;x="], repeated(BUFFER, ENDLESS_BYTES))
                                      for _ in range(4)], "all"),
    "head": (lambda site: [itertools.chain([b"GET /call/done HTTP/1.1\r\nX-Field: "], repeated(BUFFER, ENDLESS_BYTES))
                           for _ in range(4)], "all"),
    "bodies": (lambda site: mixed_lengths(bodies, site), "all"),
    "chunked-bodies": (lambda site: mixed_lengths(chunked_bodies, site), "all"),
    "short-bodies": (lambda site: bodies(site, 800, SHORT_BODY_BYTES), "all"),
    "pipelined-bodies": (lambda site: pipelined_bodies(site, 24), "all"),
    "unread-answers": (lambda site: requests(site, 40, "/call/long"), "none"),
    "slowly-read-answers": (lambda site: requests(site, 40, "/call/long"), "slowly"),
    "unread-short-answers": (lambda site: requests(site, 100, "/call/short", PIPELINED_REQUESTS), "none", "paced"),
    "answer-trailers": (lambda site: requests(site, 4, "/call/trailers"), "all"),
    "answer-extension": (lambda site: requests(site, 4, "/call/extension"), "all"),
}


def ordinary_calls(site, when):
    """Sends a small request, an upload and a download to both daemons until each is answered; returns the violations."""
    violations = []
    calls = (("GET", "/call/done", None, 4), ("POST", "/upload/done", BUFFER[:UPLOAD_BYTES].tobytes(), 4),
             ("GET", "/call/download", None, DOWNLOAD_BYTES))
    for way, name in ENTRY_DAEMONS.items():
        for method, path, body, answer_bytes in calls:
            statuses = []
            while len(statuses) < TRIES and (not statuses or statuses[-1] != 200):
                time.sleep(TRY_PAUSE_S if statuses else 0)
                site.last_id += 1
                headers = {"Host": "a.example", "X-Attempt-Id": f"id{site.last_id}", "X-Deadline-Ms": str(DEADLINE_MS)}
                status, text, _ = platform_path.send_request(site.ports[name], method, path, body, headers, ANSWER_TIMEOUT_S)
                statuses.append(status if status != 200 or len(text) == answer_bytes else -1)
            counts = dict(collections.Counter(statuses))
            print(f"    {when}: {method} {path} {way}: {counts}", flush=True)
            violations += expect(statuses[-1] == 200, f"{when}: {method} {path} {way} got {counts}, expected 200")
    return violations


def check_processes(site, when, max_descriptors):
    """Returns the violations of the daemons' bounds."""
    violations = []
    for name, daemon in site.daemons.items():
        if not daemon.is_running():
            violations += [f"{when}: {name} has ended with {daemon.child.returncode}"]
            continue
        descriptors = len(os.listdir(pathlib.Path(f"/proc/{daemon.child.pid}/fd")))
        print(f"    {when}: {name}: peak {daemon.peak_mb()} MB, {descriptors} descriptors", flush=True)
        violations += expect(daemon.peak_mb() <= MEMORY_MB, f"{when}: {name} took {daemon.peak_mb()} MB, maximum: {MEMORY_MB}")
        violations += expect(descriptors <= max_descriptors,
                             f"{when}: {name} has {descriptors} descriptors, maximum: {max_descriptors}")
    return violations


def wait_until_quiet(site, crowd):
    """Waits until neither the crowd nor the server has sent anything for QUIET_S."""
    end = time.monotonic() + MAX_SETTLE_S
    last, since = -1, 0
    while time.monotonic() < end and (last < 0 or time.monotonic() - since < QUIET_S):
        total = crowd.sent_bytes() + site.backend_servers[NAME].written_bytes
        if total != last:
            last, since = total, time.monotonic()
        time.sleep(0.05)


def check_case(site, name, way):
    """Plays one case against one daemon; returns the violations."""
    make_parts, reads, *paced = CASES[name]
    port = site.ports[ENTRY_DAEMONS[way]]
    crowd = Crowd([HostileCaller(port, parts, reads, bool(paced)) for parts in make_parts(site)])
    server = site.backend_servers[NAME]
    max_descriptors = len(crowd.callers) + MAX_OWN_DESCRIPTORS
    wait_until_quiet(site, crowd)
    print(f"    crowd: {len(crowd.callers)} connections, {crowd.sent_bytes()} bytes sent, "
          f"{sum(caller.is_closed for caller in crowd.callers)} closed; server: {dict(server.runs)}", flush=True)
    violations = check_processes(site, "crowd", max_descriptors)
    # A server that holds its requests answers no other ones, since all its slots are taken.
    server.released.set()
    violations += ordinary_calls(site, "beside the crowd")
    violations += check_processes(site, "beside the crowd", max_descriptors)
    crowd.close()
    violations += ordinary_calls(site, "afterwards")
    return violations + check_processes(site, "afterwards", MAX_OWN_DESCRIPTORS)


def main():
    names = {f"{name}-{way}": (name, way) for name in CASES for way in ENTRY_DAEMONS}
    if sys.argv[1:] == ["--list"]:
        print("\n".join(names))
        return 0
    if len(sys.argv) != 3 or sys.argv[1] != "--case" or sys.argv[2] not in names:
        print("usage: memory_exhaustion.py --list | --case NAME", file=sys.stderr)
        return 2

    def check(site):
        return check_case(site, *names[sys.argv[2]])

    check.__name__ = sys.argv[2]
    site = Site([(NAME, "klang-a", NAME), ("other", "klang-b", "other")], BASE_PORT, CONFIGURATION,
                extra_settings={"memoryMegabytes": MEMORY_MB})
    site.make_backend_server = EndlessServer
    return platform_path.run_checks(site, [check])


if __name__ == "__main__":
    sys.exit(main())
