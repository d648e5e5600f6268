"""Stand-ins for the cases 6 to 10: the platform's store, a server, clients, and the daemons themselves.

Everything runs on loopback addresses and the real clock. Each machine has its own address 127.x.y.z, so
that the ports are the same on all machines, as on the platform.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "coltsfootd")

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Figures of kk-mesh: kit/more/system/SYSTEM.md and sites/kk-mesh.toml.
HEARTBEAT_S = 1.5
GRACE_S = 6
DRAIN_S = 2.5
COLD_START_S = 3.0
COLD_PER_S = 38.0
COLD_OVER = 1.5
COLD_SLACK = 5
RETRY_RATIO = 0.2
BUDGET_SLACK = 60
BUDGET_WINDOW_S = 10
MEMORY_MB = 260


def disruption_enabled():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self._file.close()


# HTTP/1.1 messages.


async def read_head(reader):
    """Returns the start line and the headers with names in lower case, or None at the end of input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def status_line(status):
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"


class Store:
    """The platform's store, as far as the daemons use it: keyed topics with one partition."""

    ANSWER_S = 0.004

    def __init__(self, address, port):
        self.address, self.port = address, port
        self.topics = {}
        self._changed = asyncio.Condition()
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    async def stop(self):
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def put(self, topic, key, value):
        """Appends a record; without a value, the key is dropped."""
        async with self._changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self._changed.notify_all()
            return len(records) - 1

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                start, headers = head
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                path, _, query = target.partition("?")
                fields = dict(item.partition("=")[::2] for item in query.split("&") if item)
                await asyncio.sleep(self.ANSWER_S)
                status, kind, answer = await self._answer(method, path, fields, body)
                writer.write(message(status_line(status), [("Content-Type", kind)], answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, path, fields, body):
        topic = fields.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if (method, path) == ("POST", "/log-append"):
            return await self._append(topic, records, fields, body)
        if (method, path) == ("GET", "/log-read"):
            return 200, "application/octet-stream", await self._read(records, fields)
        if (method, path) == ("GET", "/log-newest"):
            return 200, "application/json", self._newest(records)
        return 404, "application/json", b"{}"

    async def _append(self, topic, records, fields, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, "application/json", b"{}"
        if "at" in fields and int(fields["at"]) != len(records):
            return 412, "application/json", json.dumps({"end": len(records)}).encode()
        offset = len(records)
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key = content[1:1 + content[0]].decode()
            await self.put(topic, key, content[1 + content[0]:] or None)
        return 200, "application/json", json.dumps({"offset": offset, "end": len(records)}).encode()

    async def _read(self, records, fields):
        position = int(fields.get("from", "0"))
        wait_s = int(fields.get("waitMs", "0")) / 1000
        if len(records) <= position and wait_s > 0:
            try:
                async with self._changed:
                    await asyncio.wait_for(
                        self._changed.wait_for(lambda: len(records) > position), wait_s)
            except asyncio.TimeoutError:
                pass
        answer = struct.pack(">QQ", len(records), 0)
        for key, value in records[position:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            answer += struct.pack(">I", len(content)) + content
        return answer

    @staticmethod
    def _newest(records):
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (value, offset)
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in newest.items()]
        return json.dumps({"items": items, "hasMore": False, "end": len(records)}).encode()


class Server:
    """One application server beside a daemon. Subclasses override answer()."""

    def __init__(self, record, machine, service, instance, slots=12, work_s=0.06):
        self.record, self.machine, self.service, self.instance = record, machine, service, instance
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.queued = 0
        self.cold_until = 0.0
        self.arrivals = []  # (time, request id, cold)
        self.runs = {}  # request id -> number of runs
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._beats = None
        self._writers = set()

    def cold_remaining(self):
        return max(0.0, self.cold_until - time.monotonic())

    def load_header(self):
        return ("X-Server-Load", f"{self.running},{self.queued},{self.slots},100")

    async def start(self, beats=True):
        self._server = await asyncio.start_server(self._serve, self.machine.address,
                                                  self.machine.ports["app"])
        if beats:
            self._beats = asyncio.create_task(self._send_beats())

    async def stop(self):
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_beats(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_beat(self):
        self.sequence += 1
        body = {"address": f"{self.machine.address}:{self.machine.ports['app']}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "coldRemainingS": round(self.cold_remaining(), 3)}}
        return await self.call_control("PUT", json.dumps(body).encode())

    async def call_control(self, method, body=b""):
        """Sends a heartbeat or a deregistration; returns the status, or None without an answer."""
        return await control_request(self.machine, method, f"/instances/{self.instance}", body)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                start, headers = head
                method, target, _ = start.split(" ")
                if target == "/health":
                    writer.write(self.health_answer())
                    await writer.drain()
                    continue
                if not await self.answer(method, target, headers, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def health_answer(self):
        headers = [("X-Instance-Id", self.instance), self.load_header()]
        if self.cold_remaining() > 0:
            headers.append(("X-Cold-Ms", str(int(self.cold_remaining() * 1000))))
        return message(status_line(200 if self.state == "ready" else 503), headers)

    def not_run(self, status, request_id):
        return message(status_line(status), [("X-Attempt-Id", request_id), ("X-Not-Executed", "1"),
                                             ("X-Instance-Id", self.instance), self.load_header()])

    def refusal(self, headers):
        """Returns the answer to a request that this server does not run, or None."""
        request_id = headers.get("x-attempt-id", "")
        if not request_id:
            return self.not_run(400, "")
        if headers.get("x-expected-instance", self.instance) != self.instance:
            return self.not_run(421, request_id)
        if self.running + self.queued >= 3 * self.slots:
            return self.not_run(503, request_id)
        return None

    def arrived(self, request_id):
        cold = self.cold_remaining() > 0
        self.arrivals.append((time.monotonic(), request_id, cold))
        self.record.write(f"arrived {request_id} at {self.instance}{' (cold)' if cold else ''}")

    async def run(self, request_id):
        """Works on a request."""
        self.queued += 1
        await self._free.acquire()
        self.queued -= 1
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        try:
            slowdown = 2 if self.cold_remaining() > 0 else 1
            await asyncio.sleep(self.work_s * slowdown * random.uniform(0.8, 1.2))
        finally:
            self.running -= 1
            self._free.release()

    def success(self, request_id, body):
        return message(status_line(200), [("X-Attempt-Id", request_id),
                                          ("X-Server-Seal", f"{self.instance}.{request_id}"),
                                          ("Keep-Alive", "timeout=10"), self.load_header()], body)

    async def answer(self, method, target, headers, reader, writer):
        """Answers one request; returns False if the connection ends."""
        await read_body(reader, headers)
        refusal = self.refusal(headers)
        request_id = headers.get("x-attempt-id", "")
        if refusal is None:
            self.arrived(request_id)
            await self.run(request_id)
            refusal = self.success(request_id, f"body of {request_id}".encode())
        writer.write(refusal)
        await writer.drain()
        return True


async def control_request(machine, method, path, body=b""):
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(machine.address, machine.ports["control"]), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(message(f"{method} {path} HTTP/1.1",
                             [("Host", machine.address), ("Content-Type", "application/json")], body))
        head = await asyncio.wait_for(read_head(reader), 1)
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


class Machine:
    """One machine with a daemon: its address, its ports and its process."""

    def __init__(self, site, number, zone, service):
        self.site, self.zone, self.service = site, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.address = f"127.{site.net}.1.{number}"
        self.ports = site.ports
        self.process = None
        self.store_endpoint = f"{site.store.address}:{site.store.port}"

    def settings(self):
        ports = self.ports
        return {
            "id": self.name, "region": self.site.zones[self.zone], "dataCentre": self.zone,
            "dataCentres": self.site.zones, "interface": "platform", "service": self.service,
            "listen": f"{self.address}:{ports['outbound']}", "ready": f"{self.address}:{ports['ready']}",
            "registration": f"{self.address}:{ports['control']}",
            "peers": f"{self.address}:{ports['range']}", "admin": f"{self.address}:{ports['range'] + 15}",
            "store": self.store_endpoint,
            "memoryMegabytes": MEMORY_MB, "coldSlack": COLD_SLACK, "graceSeconds": GRACE_S,
            "retries": {"ratio": RETRY_RATIO, "slack": BUDGET_SLACK, "windowSeconds": BUDGET_WINDOW_S}}

    async def start(self):
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C.UTF-8",
                       "COLTSFOOTWELL_BOOT": path}
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        return await status_of(self.address, self.ports["ready"], "/ready") == 200

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0


async def status_of(address, port, path):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1)
        writer.write(message(f"GET {path} HTTP/1.1", [("Host", address)]))
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None


class Site:
    """A small deployment: the store and some machines."""

    def __init__(self, zones, layout):
        """layout: list of (zone, service), one entry a machine."""
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.net = random.randrange(10, 250)
        self.ports = self._free_ports()
        self.store = Store(f"127.{self.net}.0.1", self.ports["store"])
        self.machines = [Machine(self, number + 1, zone, service)
                         for number, (zone, service) in enumerate(layout)]

    def _free_ports(self):
        """Ports that are free on the addresses of this site; nothing else uses 127.NET.x.y."""
        for _ in range(100):
            base = random.randrange(20000, 30000, 64)
            try:
                for port in range(base, base + 40):
                    with socket.socket() as probe:
                        probe.bind((f"127.{self.net}.1.1", port))
            except OSError:
                continue
            return {"range": base, "control": base + 20, "outbound": base + 29, "ready": base + 25,
                    "app": base + 28, "store": base + 30}
        raise RuntimeError("no free ports")

    async def start(self, configuration):
        await self.store.start()
        await self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        for machine in self.machines:
            await machine.start()

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def stop(self, keep=False):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                await machine.kill()
        await self.store.stop()
        if keep or os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, **limits):
    """routes: list of dicts as in op/config; services: list of names."""
    return {"version": f"{version:08x}",
            "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 240, "protocol": "h1",
                          "tls": False, "coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15, **limits}}


def route(name, host, prefix, service, kind="idempotent", timeout_s=1.2, target_s=0.3, attempts=2,
          regions=(), priority=1):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout_s,
            "targetLatencyS": target_s, "priority": priority, "service": service,
            "maxAttempts": attempts, "allowedRegions": list(regions)}


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def new_id():
    return f"{random.getrandbits(64):016x}"


class Client:
    """One kept connection of a client; opened again when it has closed."""

    def __init__(self, record, machine):
        self.record, self.machine = record, machine
        self._reader = self._writer = None

    async def request(self, method, host, path, deadline_s, body=b"", request_id=None):
        """Sends one attempt. Returns an Answer, or a word for what happened instead."""
        request_id = request_id or new_id()
        self.record.write(f"sent {request_id} {method} {path} to {self.machine.name}")
        result = await self._exchange(method, host, path, deadline_s, body, request_id)
        what = result if isinstance(result, str) else str(result.status)
        self.record.write(f"answered {request_id} {what}")
        return request_id, result

    async def _exchange(self, method, host, path, deadline_s, body, request_id):
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.wait_for(
                    asyncio.open_connection(self.machine.address, self.machine.ports["outbound"]), 1)
        except (OSError, asyncio.TimeoutError):
            return "no connection"
        try:
            self._writer.write(message(f"{method} {path} HTTP/1.1",
                                       [("Host", host), ("X-Attempt-Id", request_id),
                                        ("X-Deadline-Ms", str(int(deadline_s * 1000)))], body))
            return await asyncio.wait_for(self._read_answer(), deadline_s)
        except asyncio.TimeoutError:
            self.close()
            return "gave up"
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return "closed"

    async def _read_answer(self):
        head = await read_head(self._reader)
        if head is None:
            self.close()
            return "closed"
        start, headers = head
        body = await read_body(self._reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(start.split(" ")[1]), headers, body)

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def main(folder, play):
    """Runs a case: play(record) returns (exit code, text)."""
    if not os.path.exists(DAEMON):
        print("target/coltsfootd is missing: run deploy/build")
        return NOT_RUN
    record = Record(folder)

    async def run():
        # A signal ends the case like its time limit, so that it still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(record), 110)

    try:
        code, text = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        code, text = NOT_RUN, f"could not run: {error!r}"
    record.write(text)
    record.close()
    print(text)
    return code
