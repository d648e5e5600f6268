"""Tests with real processes that no message with a long field or in small pieces ends a daemon.

Guards against header and trailer fields that the HTTP parser cannot hold, and empty chunked bodies that arrive byte by byte:
both ended the daemon that read them. Each is sent to the daemon beside the server ("near") and through the link between two
daemons ("far"), as requests and as answers.
"""

import socket
import sys
import time

import broken_answers
import platform_path
from broken_answers import BROKEN_ANSWER_STATUS, ENTRY_DAEMONS, NAME, NOT_RUN_STATUS, SEALED, RawServer
from platform_path import Site, expect

BASE_PORT = 28_800
REQUESTS = 3
# The parser holds names and values of up to 65,533 bytes. Fields of this length are within the limits below.
FIELD_BYTES = 70_000
HEADER_TOO_LARGE_STATUS = 431
PIECE_PAUSE_S = 0.02
CALL_TIMEOUT_S = 5.0
CONFIGURATION = {**broken_answers.CONFIGURATION,
                 "limits": {**broken_answers.CONFIGURATION["limits"], "maxHeaderBytes": 131_072}}
LONG_FIELDS = {"value": b"X-Long: " + b"a" * FIELD_BYTES + b"\r\n", "name": b"a" * FIELD_BYTES + b": x\r\n"}
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EMPTY_CHUNKED_BODY = b"0\r\n\r\n"


class PieceServer(RawServer):
    """A RawServer that sends the last bytes of the answers of a test one by one.

    pieces: number of these bytes.
    """

    def __init__(self, *arguments):
        self.pieces = 0
        super().__init__(*arguments)

    def send_answer(self, handler, answer):
        handler.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        send_pieces(handler.connection, answer, self.pieces)


def send_pieces(connection, data, pieces):
    """Sends data, its last bytes one by one."""
    start = len(data) - pieces
    connection.sendall(data[:start])
    for n in range(start, len(data)):
        time.sleep(PIECE_PAUSE_S)
        connection.sendall(data[n:n + 1])


def send_raw(site, way, fields, body, pieces=0):
    """Sends an upload over a connection of its own; returns the status of the answer, or 0 if there is none."""
    site.last_id += 1
    head = (f"POST /upload/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: raw{site.last_id}\r\nX-Deadline-Ms: 1500\r\n").encode()
    try:
        with socket.create_connection(("127.0.0.1", site.ports[ENTRY_DAEMONS[way]]), CALL_TIMEOUT_S) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            send_pieces(connection, head + fields + b"\r\n" + body, pieces)
            status_line = connection.makefile("rb").readline().split()
            return int(status_line[1]) if len(status_line) > 1 else 0
    except OSError:
        return 0


def check_daemons(site, name, way):
    """Checks that no daemon has ended, and that an ordinary request is answered; restarts daemons that have ended."""
    ended = [daemon for daemon, process in site.daemons.items() if not process.is_running()]
    for daemon in ended:
        site.daemons[daemon].start()
    site.backend_servers[NAME].answer = None
    violations = expect(not ended, f"{name}, {way}: the daemons of {ended} ended")
    try:
        platform_path.wait_for(lambda: site.call(ENTRY_DAEMONS[way], "POST", "/upload/x", b"u")[0] == 200,
                               "an ordinary request is answered")
    except RuntimeError as error:
        violations.append(f"{name}, {way}: {error}")
    return violations


def check_requests(site, name, fields, body, status, pieces=0):
    """Checks the status of a request, near and far, and whether it runs."""
    violations = []
    for way in ENTRY_DAEMONS:
        server = site.backend_servers[NAME]
        server.answer = b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Length: 4\r\n\r\ndone"
        server.runs.clear()
        statuses = [send_raw(site, way, fields, body, pieces) for _ in range(REQUESTS)]
        runs = len(server.runs)
        violations += expect(statuses == [status] * REQUESTS, f"{name}, {way}: statuses {statuses}, expected {status}")
        violations += expect(runs == (REQUESTS if status == 200 else 0), f"{name}, {way}: {runs} of {REQUESTS} requests ran")
        violations += check_daemons(site, name, way)
    return violations


def check_answers(site, name, answer, status, pieces=0):
    """Checks what callers get, near and far, when the server answers with these bytes."""
    violations = []
    for way in ENTRY_DAEMONS:
        server = site.backend_servers[NAME]
        server.answer, server.pieces = answer, pieces
        server.runs.clear()
        statuses = {f"{name}-{way}-{n}".replace(" ", "-"): 0 for n in range(REQUESTS)}
        for request_id in statuses:
            statuses[request_id] = site.call(ENTRY_DAEMONS[way], "POST", "/upload/x", b"u", X_Attempt_Id=request_id)[0]
        server.pieces = 0
        expected = [status if request_id in server.runs else NOT_RUN_STATUS for request_id in statuses]
        violations += expect(list(statuses.values()) == expected,
                             f"{name}, {way}: statuses {list(statuses.values())}, expected {expected}")
        violations += expect(server.runs, f"{name}, {way}: no request ran")
        violations += check_daemons(site, name, way)
    return violations


def long_request_trailers_are_refused(site):
    """A chunked request has a trailer field that the parser cannot hold."""
    violations = []
    for kind, field in LONG_FIELDS.items():
        violations += check_requests(site, f"request trailer with a long {kind}", CHUNKED, b"4\r\nbody\r\n0\r\n" + field + b"\r\n",
                                     HEADER_TOO_LARGE_STATUS)
    return violations


def long_request_headers_are_refused(site):
    """A request has a header field that the parser cannot hold, though it is within the limits of the configuration."""
    violations = []
    for kind, field in LONG_FIELDS.items():
        violations += check_requests(site, f"request header with a long {kind}", field, b"", HEADER_TOO_LARGE_STATUS)
    return violations


def answers_with_long_trailers_are_lost(site):
    """A server's chunked answer has a trailer field that the parser cannot hold."""
    violations = []
    for kind, field in LONG_FIELDS.items():
        answer = b"HTTP/1.1 200 OK\r\n" + SEALED + CHUNKED + b"\r\n4\r\ndone\r\n0\r\n" + field + b"\r\n"
        violations += check_answers(site, f"answer trailer with a long {kind}", answer, BROKEN_ANSWER_STATUS)
    return violations


def empty_bodies_in_pieces_are_read(site):
    """The last bytes of a request and of an answer with an empty chunked body arrive one by one."""
    pieces = len(EMPTY_CHUNKED_BODY) - len(b"0\r\n")
    answer = b"HTTP/1.1 200 OK\r\n" + SEALED + CHUNKED + b"\r\n" + EMPTY_CHUNKED_BODY
    return (check_requests(site, "request in pieces", CHUNKED, EMPTY_CHUNKED_BODY, 200, pieces)
            + check_answers(site, "answer in pieces", answer, 200, pieces))


CHECKS = (long_request_trailers_are_refused, long_request_headers_are_refused, answers_with_long_trailers_are_lost,
          empty_bodies_in_pieces_are_read)


def main():
    site = Site([(NAME, "klang-a", NAME), ("other", "klang-b", "other")], BASE_PORT, CONFIGURATION)
    site.make_backend_server = PieceServer
    return platform_path.run_checks(site, CHECKS)


if __name__ == "__main__":
    sys.exit(main())
