"""A small site on loopback addresses: the platform's store, daemons started as deploy/system.toml says, workers, clients.

Store, workers and clients are stand-ins that follow the platform's pages. Each machine has a loopback address of its
own, and all machines use the same ports. All times are in seconds of time.monotonic().
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import tempfile
import sys
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5
BOUNDS = {"drainS": 2.5, "graceS": 6, "contactS": 4, "ackS": 4, "lossSlackS": 0.2, "configApplyS": 2.5,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 62, "coldOver": 1.5, "coldSlack": 5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4_000_000, "headerTimeoutS": 3, "idleTimeoutS": 15}


def trouble_enabled():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, directory):
        self.file = open(pathlib.Path(directory) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.start:9.3f} {text}\n")
            self.file.flush()

    def result(self, text):
        self.write(text)
        print(text, flush=True)


class ThreadingServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass


# The platform's store.

class Store:
    """The calls log-append, log-read and log-newest of the platform's store, for topics with one partition."""

    def __init__(self, address):
        self.address = address
        self.topics = {}
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                self.wfile.flush()

            def query(self):
                return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                query = self.query()
                if not self.path.startswith("/log-append"):
                    self.answer(404, b"")
                    return
                status, answer = store.append(query["topic"], body, query.get("at"))
                self.answer(status, json.dumps(answer).encode())

            def do_GET(self):
                query = self.query()
                if self.path.startswith("/log-read"):
                    self.answer(200, store.read(query["topic"], int(query["from"]), int(query.get("waitMs", 0)),
                                                int(query.get("maxKb", 1024))))
                elif self.path.startswith("/log-newest"):
                    self.answer(200, json.dumps(store.newest(query["topic"], query.get("after", ""))).encode())
                else:
                    self.answer(404, b"")

        self.server = ThreadingServer(address, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def append(self, topic, body, expected_end):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            if expected_end is not None and int(expected_end) != len(records):
                return 412, {"end": len(records)}
            offset = len(records)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + length])
                body = body[4 + length:]
            self.changed.notify_all()
            return 200, {"offset": offset, "end": len(records)}

    def read(self, topic, offset, wait_ms, max_kb):
        end_of_wait = time.monotonic() + wait_ms / 1000
        with self.changed:
            while len(self.topics.get(topic, [])) <= offset and time.monotonic() < end_of_wait:
                self.changed.wait(end_of_wait - time.monotonic())
            records = self.topics.get(topic, [])
            answer = struct.pack(">QQ", len(records), 0)
            for record in records[offset:]:
                answer += struct.pack(">I", len(record)) + record
                if len(answer) >= max_kb * 1024:
                    break
            return answer

    def newest(self, topic, after):
        with self.changed:
            records = self.topics.get(topic, [])
            newest = {}
            for offset, record in enumerate(records):
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                if value:
                    newest[key] = (value, offset)
                else:
                    newest.pop(key, None)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(newest.items()) if key > after]
            return {"items": items[:500], "hasMore": len(items) > 500, "end": len(records)}

    def publish(self, key, value):
        """Writes a record of the operator to the topic keyed.op; returns the time of the acknowledgement."""
        content = bytes([len(key)]) + key.encode() + value
        self.append("keyed.op", struct.pack(">I", len(content)) + content, None)
        return time.monotonic()


# Settings, rendered from the template that the deploy file names.

def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Renders the parts of the template language that deploy/settings.json uses: values, |json, sections."""
    def section(match):
        value = look_up(fields, match.group(2))
        present = value not in (None, False, "", [], {})
        if match.group(1) == "^":
            return "" if present else render(match.group(3), fields)
        if not present:
            return ""
        return render(match.group(3).replace("{{.}}", value if isinstance(value, str) else json.dumps(value)), fields)

    template = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value(match):
        found = look_up(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else found if isinstance(found, str) else json.dumps(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


def read_role():
    """Returns the settings "run" and "template" of the one role in deploy/system.toml."""
    text = (ROOT / "deploy/system.toml").read_text()
    return {key: re.search(rf'^{key} = "(.*)"$', text, re.M).group(1) for key in ("run", "template")}


class Machine:
    """One machine: a loopback address, its settings file and its daemon."""

    def __init__(self, site, name, zone, service):
        self.site, self.name, self.zone, self.service = site, name, zone, service
        self.ip = site.next_ip()
        ports = site.ports
        self.outbound = (self.ip, ports["outbound"])
        self.ready = (self.ip, ports["ready"])
        self.control = (self.ip, ports["control"])
        self.app = (self.ip, ports["app"])
        self.fields = {
            "nodeName": name, "role": "daemon", "machineClass": "sidecar", "ip": self.ip, "zone": zone,
            "region": site.zones[zone], "zones": site.zones, "service": service,
            "bindAddrs": {key: f"{self.ip}:{ports[key]}" for key in ("inbound", "outbound", "ready", "control")},
            "portRange": [ports["inner0"], ports["inner1"]], "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % site.store.address, "form": "log"},
            "appAddr": "%s:%d" % self.app}
        self.settings = site.directory / f"{name}.conf"
        self.settings.write_text(render((ROOT / site.role["template"]).read_text(), self.fields))
        self.log = open(site.directory / f"{name}.log", "ab")
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["COLTSFOOTWELL_BOOT"] = str(self.settings)
        self.process = subprocess.Popen(self.site.role["run"].split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.site.record.write(f"daemon {self.name} started, process {self.process.pid}")

    def send_signal(self, number):
        self.site.record.write(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        return exchange(self.ready, "GET", "/ready", timeout=1)[0] == 200


class Site:
    """The store and the machines; ends all processes that it started."""

    def __init__(self, record, zones):
        # An end from outside must end the daemons too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.role = read_role()
        self.record = record
        self.zones = zones
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-review-"))
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.last_host = 0
        names = ("outbound", "inbound", "ready", "control", "app", "inner0", "inner1", "store")
        first = random.randrange(12_000, 30_000, 10)
        self.ports = {name: first + i for i, name in enumerate(names)}
        self.store = Store((self.next_ip(), self.ports["store"]))
        self.machines = []
        self.workers = []

    def next_ip(self):
        self.last_host += 1
        return f"{self.network}.{self.last_host}"

    def add_machine(self, name, zone, service):
        machine = Machine(self, name, zone, service)
        self.machines.append(machine)
        return machine

    def start(self, configuration):
        self.store.publish("config", json.dumps(configuration).encode())
        for machine in self.machines:
            machine.start()
        self.wait_for(lambda: all(machine.is_ready() for machine in self.machines), "all daemons are ready")
        for worker in self.workers:
            worker.start()

    def wait_for(self, condition, description):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError(f"timeout while waiting for: {description}")

    def stop(self):
        for worker in self.workers:
            worker.stop()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, prefix, service, kind, timeout_s, target_s=0.4, priority=1, attempts=2):
    return {"name": name, "host": "a.example", "pathPrefix": prefix, "kind": kind, "timeoutS": timeout_s,
            "targetLatencyS": target_s, "priority": priority, "service": service, "maxAttempts": attempts,
            "allowedRegions": []}


def service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 260, "coldStartS": 3.0, "coldPerS": 29}


def configuration(version, routes, services):
    return {"version": f"{version:08x}", "routes": routes, "services": [service(name) for name in services],
            "limits": LIMITS}


# Workers.

class Worker:
    """A sound worker: one request at a time on a connection, heartbeats to the daemon on its machine.

    work_s and answer_bytes say how long a run takes and how long its answer is. Runs are kept in `runs` as
    (id, time of arrival); `ended` holds (id, "answered" or "dropped").
    """

    def __init__(self, site, machine, work_s=0.06, answer_bytes=400, slots=9, name=None, start_number=1):
        self.site, self.machine = site, machine
        self.service = machine.service
        self.instance = name or f"i-{machine.name}-{start_number}"
        self.born = int(time.time() * 1000)
        self.work_s, self.answer_bytes, self.slots = work_s, answer_bytes, slots
        self.address = machine.app
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.runs, self.ended = [], []
        self.in_use = 0
        self.lock = threading.Lock()
        self.connections = set()
        self.stopped = threading.Event()
        self.server = None
        site.workers.append(self)

    def start(self):
        worker = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                with worker.lock:
                    worker.connections.add(self.connection)
                try:
                    while not worker.stopped.is_set() and worker.serve(self):
                        pass
                except OSError:
                    pass
                finally:
                    with worker.lock:
                        worker.connections.discard(self.connection)

        self.server = ThreadingServer(self.address, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def serve(self, handler):
        """Serves one request of a connection; returns False if the connection ends."""
        line = handler.rfile.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split()
        headers = {}
        while (text := handler.rfile.readline().decode("latin-1").strip()):
            key, _, value = text.partition(":")
            headers[key.strip().lower()] = value.strip()
        body = handler.rfile.read(int(headers.get("content-length", 0)))
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            self.send(handler, status, {"X-Instance-Id": self.instance, "X-Cold-Ms": "0"}, b"")
            return True
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance") != self.instance:
            self.site.record.write(f"worker {self.instance}: {request_id} expected {headers.get('x-expected-instance')}: 421")
            self.send(handler, 421, {"X-Attempt-Id": request_id, "X-Instance-Id": self.instance}, b"")
            return True
        return self.run(handler, method, path, headers, body, request_id)

    def run(self, handler, method, path, headers, body, request_id):
        with self.lock:
            self.runs.append((request_id, time.monotonic()))
            self.in_use += 1
        self.site.record.write(f"worker {self.instance}: runs {request_id} {method} {path}, {len(body)} bytes, "
                               f"X-Deadline-Ms {headers.get('x-deadline-ms')}, X-Caller-Service {headers.get('x-caller-service')}")
        dropped = self.stopped.wait(self.work_s)
        with self.lock:
            self.in_use -= 1
        if not dropped:
            self.send(handler, 200, {"X-Attempt-Id": request_id, "X-Server-Seal": f"seal-{self.instance}-{request_id}"},
                      self.answer_body(request_id))
        with self.lock:
            self.ended.append((request_id, "dropped" if dropped else "answered"))
        self.site.record.write(f"worker {self.instance}: {'dropped' if dropped else 'answered'} {request_id}")
        return not dropped

    def answer_body(self, request_id):
        text = f"{self.instance} {request_id} ".encode()
        return (text * (self.answer_bytes // len(text) + 1))[:self.answer_bytes]

    def send(self, handler, status, headers, body):
        with self.lock:
            headers = {**headers, "X-Server-Load": f"{self.in_use},0,{self.slots},100", "Content-Length": str(len(body))}
        head = f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}\r\n"
        head += "".join(f"{key}: {value}\r\n" for key, value in headers.items())
        handler.connection.sendall(head.encode() + b"\r\n" + body)

    def heartbeat_body(self):
        self.sequence += 1
        return json.dumps({
            "address": "%s:%d" % self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingS": 0}}).encode()

    def send_heartbeat(self, body=None):
        body = body or self.heartbeat_body()
        status = exchange(self.machine.control, "PUT", f"/instances/{self.instance}", body,
                          {"Content-Type": "application/json"}, timeout=1)[0]
        return status

    def send_heartbeats(self):
        while not self.stopped.is_set():
            if self.beating:
                self.send_heartbeat()
            self.stopped.wait(HEARTBEAT_S)

    def send_delete(self):
        """Says that the worker leaves; returns the status and the time of the answer."""
        status = exchange(self.machine.control, "DELETE", f"/instances/{self.instance}", timeout=1)[0]
        at = time.monotonic()
        self.site.record.write(f"worker {self.instance}: DELETE answered with {status}")
        return status, at

    def stop(self):
        """Ends the worker at once, as at its exit: its connections are closed."""
        self.stopped.set()
        if self.server:
            self.server.shutdown()
            self.server.server_close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# Clients.

def exchange(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection; returns (status, headers, body), status 0 without a complete answer."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def request_headers(request_id, deadline_ms):
    return {"Host": "a.example", "X-Attempt-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
