"""Tests the path of a call on the platform interface with real processes.

A stand-in store and the daemons run as separate processes; the backend servers of this file use the platform's headers
and send heartbeats. Each check returns a list of violations as text.
"""

import fcntl
import http.client
import http.server
import json
import os
import pathlib
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

import fleet
import log_reader

BASE_PORT = 24_000
REGIONS = {"klang-a": "klang", "klang-b": "klang", "penang-a": "penang"}
START_TIMEOUT_S = 10.0
CONFIGURATION = {
    "version": "00000003",
    "routes": [
        {"name": "r1", "host": "a.example", "pathPrefix": "/browse/", "kind": "idempotent", "timeoutS": 1.0,
         "targetLatencyS": 0.3, "priority": 2, "service": "catalogue", "maxAttempts": 2, "allowedRegions": []},
        {"name": "r2", "host": "a.example", "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutS": 1.0,
         "targetLatencyS": 0.4, "priority": 1, "service": "bookings", "maxAttempts": 2, "allowedRegions": ["klang"]}],
    "services": [{"name": name, "healthPath": "/health", "maxConnections": 60, "coldStartS": 1.0, "coldPerS": 100}
                 for name in ("catalogue", "bookings")],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutS": 3, "idleTimeoutS": 15}}


def start_server(base, port, handler):
    """Starts a server of a base class, which serves each connection in a thread of its own; returns it."""
    class Server(base):
        daemon_threads = allow_reuse_address = True
        request_queue_size = 128

        def handle_error(self, *_):
            pass

    server = Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class HeartbeatSender:
    """Announces a backend server to its daemon: a ready heartbeat each half second until `stopped` is set,
    and those that a test sends.

    heartbeat_port: port on which the daemon receives heartbeats.
    """

    def __init__(self, name, service, port, heartbeat_port):
        self.name, self.service, self.port, self.heartbeat_port = name, service, port, heartbeat_port
        self.instance = f"i-{name}-1"
        self.start_ms = 1000
        self.sequence = 0
        self.stopped = threading.Event()

    def start_heartbeats(self):
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def send_heartbeats(self):
        while not self.stopped.is_set():
            self.send_heartbeat("ready")
            self.stopped.wait(0.5)

    def heartbeat(self, state):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps({"address": f"127.0.0.1:{self.port}", "born": self.start_ms,
                           "info": {"service": self.service, "version": "v1", "zone": "z", "slots": 8},
                           "status": {"state": state, "sequence": self.sequence, "coldRemainingS": 0}}).encode()

    def send_heartbeat(self, state, body=None):
        """Sends a heartbeat, by default the next one; returns the status of the answer."""
        return send_request(self.heartbeat_port, "PUT", f"/instances/{self.instance}", body or self.heartbeat(state))[0]

    def deregister(self):
        return send_request(self.heartbeat_port, "DELETE", f"/instances/{self.instance}")[0]


class BackendServer(HeartbeatSender):
    """One backend server, which records its runs and injects a fault according to its mode.

    Modes: "" for no fault, "shed" refuses requests as not run, "slow" answers after 0.4 s, "lose" closes the connection
    after the run without an answer, "unsigned" omits the signature, "cut" sends an incomplete answer, "error" answers
    with status 500, "stale" closes a kept connection after the run without an answer and refuses requests over a new one as
    not run. "late-rejection" refuses each request once as not run, "late-unnamed" answers each request and "late-health"
    each health check; all three send a late copy of a refusal where the next answer on the connection is expected, the last
    two without the id of a request. heartbeat_port: port on which its daemon receives
    heartbeats.
    """

    def __init__(self, name, service, port, heartbeat_port):
        super().__init__(name, service, port, heartbeat_port)
        self.runs = []
        self.mode = ""
        # Ids of requests that were refused in the mode "late-rejection", and number of health checks in "late-health".
        self.refused_ids = set()
        self.health_checks = 0
        self.late_answers = 0
        self.health_status = 200
        backend_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # Copy of a refusal that is sent before the next answer on the connection.
            late_answer = b""
            # True once the connection has carried a request.
            kept = False

            def log_message(self, *_):
                pass

            def send_answer(self, status, body, **headers):
                self.send_response(status)
                # Without reports of the load, the daemon sends health checks beside the requests.
                if backend_server.mode != "late-health":
                    self.send_header("X-Server-Load", "1,0,8,100")
                if "X-Attempt-Id" in self.headers:
                    self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
                for key, value in headers.items():
                    self.send_header(key.replace("_", "-"), value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def refuse(self, late_copy, request_id):
                """Refuses the request as not run, or only prepares a late copy of such a refusal."""
                named = f"X-Attempt-Id: {request_id}\r\n" if request_id else ""
                self.late_answer = f"HTTP/1.1 503 x\r\n{named}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                if not late_copy:
                    self.wfile.write(self.late_answer)

            def do_GET(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.late_answer:
                    backend_server.late_answers += 1
                    self.wfile.write(self.late_answer)
                    self.late_answer = b""
                if self.path == "/health":
                    backend_server.health_checks += 1
                    self.send_answer(backend_server.health_status, b"", X_Instance_Id=backend_server.instance)
                    if backend_server.mode == "late-health":
                        self.refuse(late_copy=True, request_id=None)
                    return
                if self.headers.get("X-Expected-Instance") != backend_server.instance:
                    self.send_answer(421, b"", X_Instance_Id=backend_server.instance)
                    return
                kept, self.kept = self.kept, True
                if backend_server.mode == "shed" or backend_server.mode == "stale" and not kept:
                    self.send_answer(503, b"", X_Not_Executed="1")
                    return
                request_id = self.headers["X-Attempt-Id"]
                if backend_server.mode == "late-rejection" and request_id not in backend_server.refused_ids:
                    backend_server.refused_ids.add(request_id)
                    self.refuse(late_copy=False, request_id=request_id)
                    return
                backend_server.runs.append({"id": request_id, "method": self.command, "path": self.path,
                                            "caller": self.headers.get("X-Caller-Service"), "body": body,
                                            "time": time.monotonic(), "deadline": int(self.headers["X-Deadline-Ms"])})
                time.sleep(0.4 if backend_server.mode == "slow" else 0.005)
                if backend_server.mode in ("lose", "stale"):
                    self.close_connection = True
                    return
                if backend_server.mode == "unsigned":
                    self.send_answer(200, b"unsigned body")
                    return
                if backend_server.mode == "cut":
                    self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Server-Seal: s\r\n\r\nhalf")
                    self.close_connection = True
                    return
                if backend_server.mode == "error":
                    self.send_answer(500, b"failed", X_Server_Seal="s")
                    return
                self.send_answer(200, f"{backend_server.name}:{self.path}:{len(body)}".encode(), X_Server_Seal="seal")
                if backend_server.mode == "late-unnamed":
                    self.refuse(late_copy=True, request_id=None)

            do_POST = do_GET

        self.server = start_server(http.server.ThreadingHTTPServer, port, Handler)
        self.start_heartbeats()

    def stop(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()


def send_request(port, method, path, body=None, headers=None, timeout=3):
    """Sends an HTTP request; returns (status, body, headers), or (0, b"", {}) if there is no complete answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read(), response.headers
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


class Site:
    """Daemons, each with a backend server.

    hosts: tuples of name, data centre and service; by default two in each data centre, one per service. regions: region
    of each data centre. extra_settings: further settings of the daemons.
    """

    def __init__(self, hosts=None, base_port=BASE_PORT, configuration=CONFIGURATION, regions=REGIONS, extra_settings=None):
        self.configuration = configuration
        self.make_backend_server = BackendServer
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-platform-"))
        self.store_port = base_port
        self.store = fleet.Process([fleet.BUILD / "coltsfoot-store", "--listen", f"127.0.0.1:{self.store_port}"],
                                   self.directory / "store.log")
        self.daemons, self.backend_servers, self.ports = {}, {}, {}
        self.last_id = 0
        hosts = hosts or [(f"{c}-{s}", c, s) for c in REGIONS for s in ("catalogue", "bookings")]
        self.services = {}
        for i, (name, data_centre, service) in enumerate(hosts):
            port = base_port + 10 * (i + 1)
            self.services[name] = service
            settings = {"id": name, "region": regions[data_centre], "dataCentre": data_centre, "dataCentres": regions,
                        "interface": "platform", "service": service, "listen": f"127.0.0.1:{port}",
                        "peers": f"127.0.0.1:{port + 1}", "ready": f"127.0.0.1:{port + 2}",
                        "registration": f"127.0.0.1:{port + 3}", "admin": f"127.0.0.1:{port + 4}",
                        "store": f"127.0.0.1:{self.store_port}", "drainSeconds": 2.5, "graceSeconds": 6,
                        "retries": {"ratio": 0.2, "slack": 60, "windowSeconds": 10}, **(extra_settings or {})}
            path = self.directory / f"{name}.json"
            path.write_text(json.dumps(settings))
            self.ports[name] = port
            self.daemons[name] = fleet.Process([fleet.BUILD / "coltsfootd", "--settings", path],
                                               self.directory / f"{name}.log")

    def start(self):
        self.store.start()
        for daemon in self.daemons.values():
            daemon.start()
        wait_for(lambda: self.publish("config", json.dumps(self.configuration).encode()), "the store accepts records")
        for name, port in self.ports.items():
            self.backend_servers[name] = self.make_backend_server(name, self.services[name], port + 5, port + 3)
        wait_for(lambda: all(send_request(port + 2, "GET", "/ready")[0] == 200 for port in self.ports.values()),
                 "all daemons are ready")
        wait_for(lambda: all(self.call(name, "POST", f"{route['pathPrefix']}x", b"x")[0] == 200
                             for name in self.ports for route in self.configuration["routes"]), "all daemons serve all routes")
        for backend_server in self.backend_servers.values():
            backend_server.runs.clear()

    def publish(self, key, value):
        # Each record is preceded by its length, and its content is the length of the key, the key and the value.
        content = bytes([len(key)]) + key.encode() + value
        record = struct.pack(">I", len(content)) + content
        return send_request(self.store_port, "POST", "/log-append?topic=keyed.op&part=0", record)[0] == 200

    def call(self, name, method, path, body=None, deadline_ms=1500, host="a.example", **headers):
        # Names of headers have underscores in place of hyphens, since they are Python parameters.
        self.last_id += 1
        request_headers = {"Host": host, "X-Attempt-Id": f"id{self.last_id}", "X-Deadline-Ms": str(deadline_ms)}
        request_headers.update({key.replace("_", "-"): value for key, value in headers.items()})
        return send_request(self.ports[name], method, path, body, request_headers)

    def runs(self, service=None):
        return [run for backend_server in self.backend_servers.values() for run in backend_server.runs
                if service in (None, backend_server.service)]

    def log_line(self, name, event, request):
        """Returns the line of a daemon's log for an event of a request, or an empty text if there is none yet."""
        lines = (self.directory / f"{name}.log").read_text(errors="replace").splitlines()
        return next((line for line in lines if f"event={event} request={request} " in line), "")

    def set_mode(self, service, mode):
        for backend_server in self.backend_servers.values():
            if backend_server.service == service:
                backend_server.mode = mode

    def stop(self):
        for backend_server in self.backend_servers.values():
            backend_server.stop()
        for daemon in self.daemons.values():
            daemon.kill()
        self.store.kill()


def wait_for(condition, description):
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise RuntimeError(f"timeout of {START_TIMEOUT_S} s while waiting for: {description}")


def expect(condition, message):
    return [] if condition else [message]


def answers_come_from_backend_server(site):
    """Status, body and signature come from the backend server, and the daemon replaces a forged caller service."""
    status, body, headers = site.call("klang-a-bookings", "GET", "/browse/7?q=1", X_Caller_Service="forged")
    run = site.runs("catalogue")[-1]
    return (expect(status == 200 and body.endswith(b":/browse/7?q=1:0"),
                   f"got {status} {body}, expected 200 with the path and query of the request")
            + expect(headers.get("X-Server-Seal") == "seal",
                     f"X-Server-Seal is {headers.get('X-Server-Seal')}, expected \"seal\"")
            + expect(run["caller"] == "bookings", f"X-Caller-Service is {run['caller']}, expected bookings")
            + expect(0 < run["deadline"] <= 1000,
                     f"X-Deadline-Ms is {run['deadline']}, expected 1 to 1000 (timeout of the route)"))


def large_bodies_arrive_unchanged(site):
    """Bodies with Content-Length and chunked ones arrive unchanged through two daemons, and too large ones are refused."""
    violations = []
    body = os.urandom(200_000)
    for data in (body, (body[i:i + 7000] for i in range(0, len(body), 7000))):
        status, _, _ = site.call("penang-a-catalogue", "POST", "/book/photo", data, deadline_ms=3000)
        violations += expect(status == 200, f"a body of 200000 bytes got {status}, expected 200")
        violations += expect(site.runs("bookings")[-1]["body"] == body, "the body of 200000 bytes arrived changed")
    status, _, _ = site.call("klang-a-bookings", "POST", "/book/photo", b"x" * 1_000_001)
    return violations + expect(status == 413, f"a body of 1000001 bytes got {status}, expected 413 (limit 1000000)")


def home_regions_are_respected(site):
    """A route with allowed regions is served only there, also for callers in other regions."""
    violations = []
    for _ in range(20):
        status, body, _ = site.call("penang-a-bookings", "POST", "/book/x", b"1")
        violations += expect(status == 200 and body.startswith(b"klang"), f"got {status} {body}, expected 200 from klang")
    return violations


def pipelined_answers_keep_order(site):
    """Pipelined requests get their answers in the order in which they were sent."""
    with socket.create_connection(("127.0.0.1", site.ports["klang-a-catalogue"]), timeout=3) as connection:
        for i in range(8):
            connection.sendall(f"GET /browse/{i} HTTP/1.1\r\nHost: a.example\r\n"
                               f"X-Attempt-Id: p{i}\r\nX-Deadline-Ms: 1000\r\n\r\n".encode())
        text = b""
        while text.count(b"HTTP/1.1 200") < 8 or not text.endswith(b":/browse/7:0"):
            chunk = connection.recv(65536)
            if not chunk:
                break
            text += chunk
    offsets = [text.find(f":/browse/{i}:0".encode()) for i in range(8)]
    return expect(all(offset >= 0 for offset in offsets) and offsets == sorted(offsets),
                  f"the answers are at the offsets {offsets}, expected ascending ones")


def requests_with_lost_answers_run_once(site):
    """A non-idempotent request whose answer is lost, unsigned or incomplete runs once and is not reported as not run."""
    violations = []
    for mode in ("lose", "unsigned", "cut"):
        site.set_mode("bookings", mode)
        for i in range(5):
            status, body, _ = site.call("klang-b-catalogue", "POST", f"/book/{mode}{i}", b"1")
            count = sum(run["path"] == f"/book/{mode}{i}" for run in site.runs("bookings"))
            violations += expect(status in (502, 504), f"mode {mode}: got {status} {body}, expected 502 or 504")
            violations += expect(count == 1, f"mode {mode}: ran {count} times, expected 1")
    site.set_mode("bookings", "")
    return violations


def shed_requests_report_not_run(site):
    """A request that every backend server sheds is reported as not run, with a Retry-After header."""
    site.set_mode("bookings", "shed")
    initial_run_count = len(site.runs("bookings"))
    status, _, headers = site.call("klang-a-bookings", "POST", "/book/shed", b"1")
    site.set_mode("bookings", "")
    retry_after_s = float(headers.get("Retry-After", "0"))
    return (expect(status == 503, f"got {status}, expected 503")
            + expect(0 < retry_after_s <= 0.5, f"Retry-After is {retry_after_s} s, expected more than 0 and at most 0.5")
            + expect(len(site.runs("bookings")) == initial_run_count, "the request ran"))


def idempotent_calls_are_retried(site):
    """Idempotent requests succeed although one backend server answers all its calls with an error.

    Runs before the checks that use up the retry budget of this service: a daemon without budget passes on the errors
    until it avoids the server.
    """
    first_id = site.last_id + 1
    site.backend_servers["klang-a-catalogue"].mode = "error"
    statuses = [site.call("klang-a-catalogue", "GET", f"/browse/e{i}")[0] for i in range(20)]
    site.backend_servers["klang-a-catalogue"].mode = ""
    violations = expect(statuses.count(200) >= 18, f"{statuses.count(200)} of 20 calls were served, minimum: 18")
    return violations + [f"status {status}: {site.log_line('klang-a-catalogue', 'call.ended', f'id{first_id + i}')}"
                         for i, status in enumerate(statuses) if violations and status != 200]


def requests_that_may_have_run_are_not_refused(site):
    """An idempotent request whose kept connection was closed after it had run is not reported as not run, though its repeat
    over a new connection is refused."""
    violations, ran = [], 0
    for i in range(20):
        site.set_mode("catalogue", "")
        for name in site.ports:
            site.call(name, "GET", "/browse/warm")
        site.set_mode("catalogue", "stale")
        status, _, _ = site.call("klang-a-catalogue", "GET", f"/browse/stale{i}")
        has_run = any(run["path"] == f"/browse/stale{i}" for run in site.runs("catalogue"))
        ran += has_run
        violations += expect(not (has_run and status == 503), f"request {i} ran and got 503, which says that it did not run")
    site.set_mode("catalogue", "")
    return violations + expect(ran > 0, "no request was sent over a kept connection")


def unknown_routes_are_refused(site):
    """A request whose host or path matches no route gets 404."""
    return (expect(site.call("klang-a-catalogue", "GET", "/nothing/x")[0] == 404, "an unknown path did not get 404")
            + expect(site.call("klang-a-catalogue", "GET", "/browse/x", host="b.example")[0] == 404,
                     "an unknown host did not get 404"))


def configurations_come_into_force(site):
    """A new version is in force within 2.5 s; an older or malformed one does not replace it."""
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["version"] = "0000000a"
    changed["routes"].append({"name": "r3", "host": "a.example", "pathPrefix": "/new/", "kind": "idempotent", "timeoutS": 1.0,
                              "targetLatencyS": 0.3, "priority": 2, "service": "catalogue", "maxAttempts": 1})
    site.publish("config", json.dumps(changed).encode())
    time.sleep(2.5)
    violations = [f"{name} answers a call of the new route with {status}, expected 200"
                  for name in site.ports if (status := site.call(name, "GET", "/new/x")[0]) != 200]
    site.publish("config", b"{\"version\":")
    site.publish("config", json.dumps(CONFIGURATION).encode())
    time.sleep(1)
    return violations + [f"{name} does not serve the new route after an older and a malformed version"
                         for name in site.ports if site.call(name, "GET", "/new/x")[0] != 200]


def evacuated_data_centres_get_no_requests(site):
    """A data centre gets no requests from 2.5 s after its evacuation, and gets some from 2.5 s after its return."""
    site.publish("evacuate/klang-a", b"{}")
    time.sleep(2.5)
    start_s = time.monotonic()
    for i in range(30):
        site.call("klang-a-catalogue", "GET", f"/browse/out{i}")
    late_runs = [run for run in site.backend_servers["klang-a-catalogue"].runs if run["time"] > start_s]
    site.publish("evacuate/klang-a", b"")
    violations = expect(not late_runs, f"{len(late_runs)} requests reached klang-a 2.5 s after its evacuation, expected 0")
    time.sleep(2.5)
    for i in range(30):
        site.call("klang-a-catalogue", "GET", f"/browse/back{i}")
    return violations + expect(any("back" in run["path"] for run in site.backend_servers["klang-a-catalogue"].runs),
                               "klang-a got no request after its return")


def draining_servers_get_no_requests(site):
    """A backend server that drains gets no requests from 2.5 s after the acknowledgement of its heartbeat, and an older
    heartbeat that arrives late does not restore it."""
    backend_server = site.backend_servers["klang-b-catalogue"]
    backend_server.stopped.set()
    status = backend_server.send_heartbeat("draining")
    backend_server.sequence -= 3
    backend_server.send_heartbeat("ready")
    time.sleep(2.5)
    start_s = time.monotonic()
    for i in range(30):
        site.call("klang-b-catalogue", "GET", f"/browse/drain{i}")
    late_runs = [run for run in backend_server.runs if run["time"] > start_s]
    return expect(status == 200, f"the heartbeat got {status}, expected 200") \
        + expect(not late_runs, f"{len(late_runs)} requests reached the draining backend server, expected 0")


def calls_are_served_during_store_outage(site):
    """Calls are served while the store is unavailable, also by a daemon that restarts during the outage."""
    send_request(site.store_port, "POST", "/fault", b'{"down":"busy"}')
    daemon = site.daemons["penang-a-catalogue"]
    daemon.kill()
    daemon.start()
    wait_for(lambda: site.call("penang-a-catalogue", "GET", "/browse/x")[0] == 200, "the restarted daemon serves calls")
    statuses = [site.call("klang-a-catalogue", "GET", "/browse/x")[0] for _ in range(20)]
    send_request(site.store_port, "POST", "/fault", b"{}")
    return expect(statuses.count(200) == 20, f"{statuses.count(200)} of 20 calls were served, expected all")


def planned_stops_interrupt_no_calls(site):
    """After SIGTERM a daemon reports that it is not ready, answers its calls in flight and exits within 6 s."""
    site.set_mode("catalogue", "slow")
    results = []
    callers = [threading.Thread(target=lambda: results.append(site.call("penang-a-bookings", "GET", "/browse/s")[0]))
               for _ in range(6)]
    for caller in callers:
        caller.start()
    time.sleep(0.1)
    daemon = site.daemons["penang-a-bookings"]
    daemon.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    ready = send_request(site.ports["penang-a-bookings"] + 2, "GET", "/ready")[0]
    for caller in callers:
        caller.join()
    site.set_mode("catalogue", "")
    end = time.monotonic() + 6
    while daemon.is_running() and time.monotonic() < end:
        time.sleep(0.1)
    return (expect(ready == 503, f"/ready answers {ready}, expected 503")
            + expect(results.count(200) == 6, f"the calls in flight got {results}, expected 200 for all 6")
            + expect(not daemon.is_running(), "the daemon still runs 6 s after its last call"))


def closed_log_reader_ends_no_daemon(site):
    """A daemon whose standard output is a pipe goes on serving calls after the reader of its log has ended."""
    name = "klang-b-bookings"
    daemon = site.daemons[name]
    daemon.kill()
    with subprocess.Popen(daemon.arguments, stdout=subprocess.PIPE, stdin=subprocess.DEVNULL) as process:
        wait_for(lambda: site.call(name, "GET", "/browse/x")[0] == 200, "the daemon with a log reader serves calls")
        process.stdout.close()
        # Refused calls are logged.
        statuses = [site.call(name, "GET", "/nothing/x")[0] for _ in range(20)]
        statuses += [site.call(name, "GET", "/browse/x")[0]]
        exit_code = process.poll()
        process.kill()
    daemon.start()
    wait_for(lambda: site.call(name, "GET", "/browse/x")[0] == 200, "the restarted daemon serves calls")
    return (expect(exit_code is None, f"the daemon ended with {exit_code} after its log reader, expected it to go on")
            + expect(statuses == [404] * 20 + [200], f"the calls got {statuses}, expected 404 for 20 and 200"))


def full_log_file_ends_no_daemon(site):
    """A daemon whose standard output is a file goes on serving calls after the file has reached its maximum size (RLIMIT_FSIZE),
    and says how many lines it lost."""
    name = "klang-b-bookings"
    daemon = site.daemons[name]
    daemon.kill()
    with tempfile.TemporaryFile() as log, subprocess.Popen(daemon.arguments, stdout=log, stdin=subprocess.DEVNULL) as process:
        wait_for(lambda: site.call(name, "GET", "/browse/x")[0] == 200, "the daemon with a log file serves calls")
        size = os.fstat(log.fileno()).st_size
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, size))
        # Refused calls are logged.
        statuses = [site.call(name, "GET", "/nothing/x")[0] for _ in range(20)]
        statuses += [site.call(name, "GET", "/browse/x")[0]]
        # A process that has just ended may not have an exit code yet.
        dropped = dropped_lines(site.ports[name]) if 0 not in statuses else 0
        exit_code = process.poll()
        process.kill()
    daemon.start()
    wait_for(lambda: site.call(name, "GET", "/browse/x")[0] == 200, "the restarted daemon serves calls")
    return (expect(exit_code is None, f"the daemon ended with {exit_code} after its log file was full, expected it to go on")
            + expect(statuses == [404] * 20 + [200], f"the calls got {statuses}, expected 404 for 20 and 200")
            + expect(dropped > 0, "log_lines_dropped does not tell of the lost lines"))


def full_pipe_costs_no_request(site):
    """A daemon whose log is not read goes on serving calls with a full pipe, says how many lines it lost, and keeps its
    memory."""
    name = "klang-b-bookings"
    daemon = site.daemons[name]
    daemon.kill()
    with subprocess.Popen(daemon.arguments, stdout=subprocess.PIPE, stdin=subprocess.DEVNULL) as process:
        wait_for(lambda: site.call(name, "GET", "/browse/x")[0] == 200, "the daemon with an unread log serves calls")
        fcntl.fcntl(process.stdout, fcntl.F_SETPIPE_SZ, log_reader.FULL_PIPE_BYTES)
        memory_kb = resident_kb(process.pid)
        # Refused calls are logged, up to a hundred a second; the pipe and the buffer hold some hundred lines.
        refused, served = [], []
        end = time.monotonic() + 10
        while dropped_lines(site.ports[name]) == 0 and time.monotonic() < end:
            refused += [site.call(name, "GET", "/nothing/" + "x" * 500)[0] for _ in range(50)]
            served += [site.call(name, "GET", "/browse/x")[0]]
        dropped = dropped_lines(site.ports[name])
        served += [site.call(name, "GET", "/browse/x")[0] for _ in range(20)]
        grown_kb = resident_kb(process.pid) - memory_kb
        process.kill()
    daemon.start()
    wait_for(lambda: site.call(name, "GET", "/browse/x")[0] == 200, "the restarted daemon serves calls")
    return (expect(dropped > 0, "the pipe was never full, or log_lines_dropped does not tell")
            + expect(set(refused) == {404}, f"refused calls got {sorted(set(refused))}, expected 404")
            + expect(set(served) == {200}, f"calls got {sorted(set(served))}, expected 200")
            + expect(grown_kb < 4096, f"the daemon grew by {grown_kb} KB beside a full pipe, expected less than 4096"))


def resident_kb(pid):
    fields = pathlib.Path(f"/proc/{pid}/status").read_text().split()
    return int(fields[fields.index("VmRSS:") + 1])


def dropped_lines(port):
    """Returns the metric log_lines_dropped of the daemon that listens for callers on a port."""
    metrics = send_request(port + 4, "GET", "/metrics")[1].decode()
    return float(re.search(r"^coltsfootwell_log_lines_dropped\{.*\} (\S+)$", metrics, re.MULTILINE)[1])


def metrics_are_served(site):
    """A daemon serves the metrics that operators asked for, with values that fit a site of six daemons."""
    for name in site.ports:
        for i in range(5):
            site.call(name, "GET", f"/browse/m{i}")
            site.call(name, "POST", f"/book/m{i}", b"1")
    time.sleep(1.2)  # Counters of connections and members are reported once a second.
    violations, total_bytes = [], {}
    for name, port in site.ports.items():
        series = dict(re.findall(r"^coltsfootwell_(\S+) (\S+)$", send_request(port + 4, "GET", "/metrics")[1].decode(), re.MULTILINE))
        for key in ("own-data-centre", "other-data-centre", "other-region"):
            total_bytes[key] = total_bytes.get(key, 0) + float(series.get(f'link_sent_bytes_total{{kind="{key}"}}', 0))
        since = float(series.get('configuration_in_force_since_seconds{kind=""}', 0))
        alive = float(series.get('members{kind="alive"}', 0))
        violations += expect(alive == len(site.ports), f"{name} knows {alive} living daemons, expected {len(site.ports)}")
        violations += expect(0 <= time.time() - since < 600, f"{name}: the configuration is in force since {since}")
        violations += expect(float(series.get('store_calls_total{kind="newest-answered"}', 0)) > 0, f"{name} counts no call of the store")
        # Orders run in the region klang only.
        gets_runs = name != "penang-a-bookings"
        violations += expect(not gets_runs or float(series.get('backend_connections_total{kind="made"}', 0)) > 0,
                             f"{name} counts no connection to its server")
        for service in ("catalogue", "bookings"):
            left = float(series.get(f'retry_budget_left{{kind="{service}"}}', -1))
            violations += expect(0 <= left < 100, f"{name} has {left} repeats left for {service}, expected 0 to 100")
    return violations + expect(all(total_bytes.values()), f"bytes sent by destination: {total_bytes}, expected some to each")


def walks_of_page():
    """Returns for each example of `coltsfootctl explain` on the operators' page the id of its request and the lines that it
    shows, without the command."""
    text = (pathlib.Path(__file__).parents[2] / "docs/OPERATIONS.md").read_text()
    walks = {}
    for block in re.findall(r"^```\n(\$ coltsfootctl explain .*?)^```", text, re.MULTILINE | re.DOTALL):
        command, *lines = block.splitlines()
        walks[command.split()[3]] = lines
    return walks


def same_but_for_figures(line, shown):
    """Whether a line is the one that the page shows, which may leave out parts ("..."): numbers and the choice between the
    two data centres differ from run to run."""
    def generalize(text):
        return re.sub(r"klang-[ab]-", "klang-", re.sub(r"[0-9]+", "0", text))
    parts = [re.escape(generalize(part)) for part in shown.split("...")]
    return re.fullmatch(".*".join(parts), generalize(line)) is not None


def failures_are_explained(site):
    """The walkthroughs of docs/OPERATIONS.md work word for word: coltsfootctl explain finds the cause of a failed request by
    its id and the log files alone, and prints the lines of the page. SHOW_WALKS=1 prints its output."""
    site.set_mode("bookings", "shed")
    site.call("klang-a-catalogue", "POST", "/book/a", b"1", X_Attempt_Id="walk-refused")
    site.set_mode("bookings", "lose")
    site.call("klang-a-catalogue", "POST", "/book/b", b"1", X_Attempt_Id="walk-unknown")
    site.set_mode("bookings", "")
    site.set_mode("catalogue", "slow")
    site.call("klang-a-catalogue", "GET", "/browse/c", X_Attempt_Id="walk-late")
    site.set_mode("catalogue", "")
    time.sleep(0.3)
    files = [argument for name in site.ports for argument in ("--file", site.directory / f"{name}.log")]
    walks = walks_of_page()
    violations = expect(set(walks) == {"walk-refused", "walk-unknown", "walk-late"}, f"the page has the walks {set(walks)}")
    for request, shown in walks.items():
        completed = subprocess.run([fleet.BUILD / "coltsfootctl", "explain", request, *files], capture_output=True,
                                   text=True, timeout=10, stdin=subprocess.DEVNULL)
        lines = completed.stdout.splitlines()
        for line in shown:
            violations += expect(any(same_but_for_figures(printed, line) for printed in lines),
                                 f"request {request}: the page shows \"{line}\", printed was: {completed.stdout}")
        diagnosis = lines[-1] if lines else completed.stderr
        violations += expect(same_but_for_figures(diagnosis, shown[-1]),
                             f"request {request}: the diagnosis is \"{diagnosis}\", expected \"{shown[-1]}\"")
        if os.environ.get("SHOW_WALKS"):
            print(completed.stdout)
    return violations


CHECKS = (answers_come_from_backend_server, large_bodies_arrive_unchanged, home_regions_are_respected, pipelined_answers_keep_order,
          requests_with_lost_answers_run_once, shed_requests_report_not_run, idempotent_calls_are_retried, requests_that_may_have_run_are_not_refused,
          unknown_routes_are_refused, configurations_come_into_force, evacuated_data_centres_get_no_requests,
          calls_are_served_during_store_outage, closed_log_reader_ends_no_daemon, full_log_file_ends_no_daemon,
          full_pipe_costs_no_request, metrics_are_served, failures_are_explained, draining_servers_get_no_requests,
          planned_stops_interrupt_no_calls)


def run_checks(site, checks):
    """Starts a site, runs checks on it, and prints which of them passed; returns the exit code of the test."""
    failed = 0
    try:
        site.start()
        for check in checks:
            violations = check(site)
            failed += bool(violations)
            print(f"{check.__name__}: {'FAIL' if violations else 'pass'}", flush=True)
            for violation in violations:
                print(f"    {violation}", flush=True)
    finally:
        site.stop()
    if os.environ.get("SHOW_LOGS"):
        print(f"logs: {site.directory}")
    print(f"{len(checks) - failed} passed, {failed} failed")
    return 1 if failed else 0


def main():
    return run_checks(Site(), CHECKS)


if __name__ == "__main__":
    sys.exit(main())
