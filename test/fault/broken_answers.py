"""Tests with real processes that a broken answer of a backend server reaches no caller as an answer.

Guards against an answer that was cut by a reset, an answer with a status that HTTP doesn't have, and an answer with a
malformed head, each at the daemon beside the server ("near") and through the link between two daemons ("far").
"""

import collections
import concurrent.futures
import socket
import socketserver
import struct
import sys

import platform_path
from platform_path import HeartbeatSender, Site, expect

BASE_PORT = 28_500
NAME = "uploads"
ENTRY_DAEMONS = {"near": NAME, "far": "other"}
UPLOAD_BYTES = 3_000_000
# The daemon is writing the rest of the upload when the answer and the reset arrive.
READ_BYTES = 2_000
CUT_BODY_BYTES = 210_000
# A daemon that takes a reset for the end of an answer passes a cut one on to most of these uploads, but not to all.
UPLOADS = 40
UPLOAD_CALLERS = 4
DEADLINE_MS = 2_500
# Answer of a daemon in place of a broken one: the request may have run.
BROKEN_ANSWER_STATUS = 502
# Answer to a request that has not run. Daemons send nothing to a server whose answers were all lost.
NOT_RUN_STATUS = 503
CONFIGURATION = {
    "version": "00000003", "limits": {**platform_path.CONFIGURATION["limits"], "maxBodyBytes": 4_000_000},
    "routes": [{"name": NAME, "host": "a.example", "pathPrefix": "/upload/", "kind": "upload", "timeoutS": 5.0,
                "targetLatencyS": 0.4, "priority": 1, "service": NAME, "maxAttempts": 2, "allowedRegions": []}],
    "services": [{"name": name, "healthPath": "/health", "maxConnections": 60, "coldStartS": 1.0, "coldPerS": 100}
                 for name in (NAME, "other")]}
SEALED = b"X-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
STATUS_LINES = (b"HTTP/1.1 000 OK", b"HTTP/1.1 099 x", b"HTTP/1.1 101 Switching Protocols", b"HTTP/1.1 2x0 OK",
                b"HTTP/1.1 600 x", b"HTTP/1.1 999 x", b"HTTP/1.1 20 OK", b"HTTP/1.1 2000 OK", b"HTTP/2.0 200 OK",
                b"HTTP/1.1 200 O\x01K", b"HTTP/1.1  200 OK", b"XTTP/1.1 200 OK")
# Lines between the first one and the length of the body.
HEAD_LINES = (b" X-Name: a", b"\tX-Name: a", b"X Name: a", b"X-Name : a", b"X\tName: a", b"X\x01Name: a", b"X\x00Name: a",
              b"X\x7fName: a", b"X\xe9Name: a", b": a", b"X-Name", b"X-Name: a\x00b", b"X-Name: a\rb", b"X-Name: a\x01b",
              b"Content-Length: 3", b"Content-Length: 3, 4", b"Content-Length: -4", b"Content-Length: 0x4", b"Content-Length:",
              b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip", b"Transfer-Encoding: identity")


class RawServer(HeartbeatSender):
    """A backend server that answers requests with bytes of a test's choice, or in order if there are none.

    read_bytes: number of bytes of a request that it reads before such an answer. resets: whether it resets the connection
    behind that; otherwise it keeps the connection open.
    """

    def __init__(self, name, service, port, heartbeat_port):
        super().__init__(name, service, port, heartbeat_port)
        self.answer, self.read_bytes, self.resets = None, 0, False
        self.runs = []
        backend_server = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                while backend_server.serve(self):
                    pass

        self.server = platform_path.start_server(socketserver.ThreadingTCPServer, port, Handler)
        self.start_heartbeats()

    def serve(self, handler):
        """Serves one request of a connection; returns whether another one may follow."""
        first_line = handler.rfile.readline().decode()
        headers = {}
        while line := handler.rfile.readline().strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        if not first_line:
            return False
        body_bytes = int(headers.get("content-length", 0))
        request_id = headers.get("x-attempt-id", "").encode()
        answer = self.answer if request_id and not first_line.startswith("GET /health") else None
        handler.rfile.read(min(body_bytes, self.read_bytes) if answer else body_bytes)
        if answer is None:
            named = SEALED % request_id if request_id else b"X-Instance-Id: %s\r\n" % self.instance.encode()
            handler.wfile.write(b"HTTP/1.1 200 OK\r\n" + named + b"X-Server-Load: 1,0,8,100\r\nContent-Length: 4\r\n\r\ndone")
            return True
        self.runs.append(request_id.decode())
        self.send_answer(handler, answer.replace(b"%s", request_id))
        if self.resets:
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            handler.connection.close()
        return not self.resets

    def send_answer(self, handler, answer):
        handler.wfile.write(answer)

    def stop(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()


def send_uploads(site, way, name, answer, body, n):
    """Sends n uploads, which the server answers with these bytes, to one daemon; prints the figures and returns the
    violations.
    """
    server = site.backend_servers[NAME]
    server.answer = None
    platform_path.wait_for(lambda: site.call(ENTRY_DAEMONS[way], "POST", "/upload/x", b"u")[0] == 200, "uploads are served")
    server.runs.clear()
    server.answer = answer

    def send_upload(request_id):
        return site.call(ENTRY_DAEMONS[way], "POST", "/upload/x", body, DEADLINE_MS, X_Attempt_Id=request_id)

    request_ids = [f"{way}-{site.last_id + i}" for i in range(n)]
    with concurrent.futures.ThreadPoolExecutor(UPLOAD_CALLERS) as executor:
        answers = dict(zip(request_ids, executor.map(send_upload, request_ids)))
    runs = collections.Counter(server.runs)
    wrong = [(status, len(text)) for request_id, (status, text, _) in answers.items()
             if status != (BROKEN_ANSWER_STATUS if runs[request_id] else NOT_RUN_STATUS)]
    statuses = dict(sorted(collections.Counter(status for status, _, _ in answers.values()).items()))
    print(f"    {name}, {way}: answers {statuses}, {len(wrong)} wrong")
    return (expect(not wrong, f"{name}, {way}: {len(wrong)} of {n} got a wrong answer; status and length {wrong[:3]}, expected "
                              f"{BROKEN_ANSWER_STATUS}, or {NOT_RUN_STATUS} if it did not run")
            + expect(len(runs) > n / 2, f"{name}, {way}: only {len(runs)} of {n} ran")
            + expect(max(runs.values(), default=0) <= 1, f"{name}, {way}: an upload ran {max(runs.values(), default=0)} times"))


def check_answer(site, name, answer, body=b"u", n=1):
    """Checks what callers get, near and far, when the server answers uploads with these bytes."""
    return [violation for way in ENTRY_DAEMONS for violation in send_uploads(site, way, name, answer, body, n)]


def cut_answers_are_lost(site):
    """A server answers a long upload without a length, while it is being written, and resets the connection."""
    server = site.backend_servers[NAME]
    server.read_bytes, server.resets = READ_BYTES, True
    answer = b"HTTP/1.1 200 OK\r\n" + SEALED + b"\r\n" + b"a" * CUT_BODY_BYTES
    violations = check_answer(site, "cut", answer, b"u" * UPLOAD_BYTES, UPLOADS)
    server.resets = False
    return violations


def statuses_are_checked(site):
    """A server answers with a first line that HTTP doesn't allow."""
    violations = []
    for resets in (False, True):
        site.backend_servers[NAME].resets = resets
        for line in STATUS_LINES:
            answer = line + b"\r\n" + SEALED + b"Content-Length: 4\r\n\r\ndone"
            violations += check_answer(site, f"{line!r}{' and a reset' if resets else ''}", answer)
    site.backend_servers[NAME].resets = False
    return violations


def heads_are_checked(site):
    """A server answers with a malformed line in its head, or with two statements on its body."""
    violations = []
    for line in HEAD_LINES:
        answer = b"HTTP/1.1 200 OK\r\n" + SEALED + line + b"\r\nContent-Length: 4\r\n\r\ndone"
        violations += check_answer(site, repr(line), answer)
    return violations


CHECKS = (cut_answers_are_lost, statuses_are_checked, heads_are_checked)


def main():
    site = Site([(NAME, "klang-a", NAME), ("other", "klang-b", "other")], BASE_PORT, CONFIGURATION)
    site.make_backend_server = RawServer
    return platform_path.run_checks(site, CHECKS)


if __name__ == "__main__":
    sys.exit(main())
