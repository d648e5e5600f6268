"""Stand-in backend servers on the platform interface: slots and a queue, slowdowns, nested calls, spoiled answers, heartbeats,
announced and unannounced ends, and new processes with the same or another id."""

import asyncio
import hashlib
import json
import time

import http_stream

SLOTS = 12
QUEUE_LENGTH = 6
MAX_CONNECTIONS = 240
KEEP_ALIVE_S = 5
HEARTBEAT_S = 1.5
DRAIN_S = 2.5
COLD_S = 1.0
# Time after which a server that gets no acknowledgement of its shutdown exits.
UNACKNOWLEDGED_EXIT_S = 4.0
NESTED_DEADLINE_MS = 200
# Length of the body of which a server sends a part before it has read an upload.
EARLY_ANSWER_BYTES = 100_000
INVALID_STATUSES = (b"000", b"099", b"101", b"600", b"999")
MALFORMED_LINES = (b" X-Name: a", b"\tX-Name: a", b"X Name: a", b"X\x01Name: a", b"X-Name: a\x00b",
                   b"Transfer-Encoding: gzip")
# By path: seconds of work, path of the nested call ("" for none) and its probability.
WORK = {"browse": (0.060, "stock", 0.3), "book": (0.078, "fit", 0.3), "upload": (0.072, "stock", 0.2),
        "stock": (0.015, "", 0), "fit": (0.015, "", 0)}


def digest(data):
    return hashlib.sha1(data).hexdigest()[:12]


def seal(request_id, body):
    return digest(request_id.encode() + body)


class BackendServer:
    """The backend server of one host, through all its processes.

    reads: one record for each request that a process of the server has read, except health checks and those that got 421.
    faults: probability by name, see _send(), _handle() and _work().
    """

    def __init__(self, host, service, ports, rng):
        self.host, self.service, self.rng = host, service, rng
        # Port of the server itself, and those of its daemon for heartbeats and for calls.
        self.port, self.registration_port, self.entry_port = ports
        self.faults = {}
        self.work_factor = 1.0
        self.frozen = False
        self.reads, self.problems = [], []
        self.streams, self.tasks = set(), set()
        self.listener = None
        self.number = 0
        self.instance = ""
        self.state = "down"
        self.announces_by_heartbeat = True

    def fires(self, fault):
        return self.rng.random() < self.faults.get(fault, 0)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, same_id=False, cold=True):
        """Starts a new process of the server."""
        self.number += 1
        if not same_id or not self.instance:
            self.instance = f"i-{digest(f'{self.host}/{self.number}'.encode())[:8]}"
        self.born, self.sequence, self.acknowledged_at = int(time.time() * 1000), 0, None
        self.cold_until = time.monotonic() + (COLD_S if cold else 0)
        self.running, self.waiting, self.slowness, self.state = 0, [], 100, "ready"
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: http_stream.Stream(self._accept), "127.0.0.1", self.port,
                                                 reuse_address=True)
        self.spawn(self._send_heartbeats(self.number))
        self.spawn(self._vary_slowness(self.number))

    def crash(self):
        """Ends the process without any announcement."""
        self.state = "down"
        if self.listener:
            self.listener.close()
        for stream in list(self.streams):
            stream.reset()
        self.streams.clear()

    async def leave(self, how, longer_s):
        """Announces the shutdown ("draining" or "delete"), serves on for DRAIN_S + longer_s and ends the process."""
        self.state, self.announces_by_heartbeat = "draining", how == "draining"
        end = time.monotonic() + UNACKNOWLEDGED_EXIT_S
        while not self.acknowledged_at and time.monotonic() < end:
            await (self.send_heartbeat() if how == "draining" else self.deregister())
            if not self.acknowledged_at:
                await asyncio.sleep(0.2)
        if self.acknowledged_at:
            await asyncio.sleep(DRAIN_S + longer_s)
        if how == "draining":
            await self.deregister()
        self.crash()

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({"address": f"127.0.0.1:{self.port}", "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.host.rpartition("-")[0], "slots": SLOTS},
                           "status": {"state": self.state, "sequence": self.sequence,
                                      "coldRemainingS": max(0.0, round(self.cold_until - time.monotonic(), 3))}}).encode()

    async def send_heartbeat(self, delay_s=0):
        """Sends a heartbeat of the present, which arrives delay_s seconds late."""
        number, path, body, leaves = self.number, f"/instances/{self.instance}", self.heartbeat(), self.state == "draining"
        await asyncio.sleep(delay_s)
        status, _ = await http_stream.exchange(self.registration_port, "PUT", path, body)
        self._note_acknowledgement(number, leaves and status == 200)

    async def deregister(self):
        number, body = self.number, json.dumps({"born": self.born}).encode()
        status, _ = await http_stream.exchange(self.registration_port, "DELETE", f"/instances/{self.instance}", body)
        self._note_acknowledgement(number, status == 200)

    def _note_acknowledgement(self, number, is_acknowledged):
        if is_acknowledged and number == self.number and not self.acknowledged_at:
            self.acknowledged_at = time.monotonic()

    async def _send_heartbeats(self, number):
        while self.number == number and (self.state == "ready" or (self.state == "draining" and self.announces_by_heartbeat)):
            if self.fires("late_heartbeat"):
                self.spawn(self.send_heartbeat(self.rng.uniform(0.5, 3)))
            else:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.8, 1.2))

    async def _vary_slowness(self, number):
        while self.number == number and self.state != "down":
            self.slowness = self.rng.choice((100, 100, 100, 130, 100, 400, 700, 100))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def freeze(self, seconds):
        """Reads nothing for some time, as a process that gets no processor time."""
        self.frozen = True
        for stream in self.streams:
            stream.transport.pause_reading()
        await asyncio.sleep(seconds)
        self.frozen = False
        for stream in self.streams:
            stream.transport.resume_reading()

    def _accept(self, stream):
        if self.state == "down" or len(self.streams) >= MAX_CONNECTIONS:
            stream.reset()
            return
        if self.frozen:
            stream.transport.pause_reading()
        self.streams.add(stream)
        self.spawn(self._serve(stream))

    async def _serve(self, stream):
        stream.count, stream.extra = 0, b""
        try:
            while True:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    (method, path, _), headers = await stream.read_head()
                stream.count += 1
                if stream.extra:
                    stream.write(stream.extra)
                    stream.extra = b""
                if not await self._handle(stream, method, path, headers):
                    break
        except (EOFError, TimeoutError, OSError, ValueError):
            pass
        finally:
            self.streams.discard(stream)
            stream.close()

    async def _handle(self, stream, method, path, headers):
        """Handles one request; returns whether the connection stays open."""
        if path == "/health":
            await stream.read_body(headers)
            if self.fires("health_shed"):
                return await self._send(stream, 503, {"X-Not-Executed": "1"}, b"")
            status = 200 if (self.state == "ready") != self.fires("lying_health") else 503
            cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
            return await self._send(stream, status, {"X-Instance-Id": self.instance, "X-Cold-Ms": cold_ms}, b"")
        request_id = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": request_id}
        if headers.get("x-expected-instance") not in (None, self.instance):
            await stream.read_body(headers)
            return await self._send(stream, 421, {**echo, "X-Instance-Id": self.instance, "X-Not-Executed": "1"}, b"")
        record = {"id": request_id, "at": stream.arrived_at, "host": self.host, "service": self.service, "path": path,
                  "instance": self.instance, "leaving": self.acknowledged_at and stream.arrived_at - self.acknowledged_at,
                  "connection_age": stream.arrived_at - stream.opened_at, "connection_count": stream.count, "outcome": "",
                  "run_at": None}
        self.reads.append(record)
        if path.startswith("/upload") and self.fires("early_cut"):
            # The daemon is still writing the upload when it gets a part of an answer, which only the reset shows to be one.
            record.update(run_at=time.monotonic(), outcome="200 cut early")
            answer = request_id.encode() + b"a" * EARLY_ANSWER_BYTES
            stream.write(http_stream.head("HTTP/1.1 200 x", {**echo, "X-Server-Seal": seal(request_id, answer)}) + answer[:-1])
            stream.reset()
            return False
        is_full = self.running >= SLOTS and len(self.waiting) >= QUEUE_LENGTH
        if is_full or self.fires("shed") or (path.startswith("/upload") and self.fires("early")):
            record["outcome"] = "shed"
            stays_open = await self._send(stream, self.rng.choice((503, 503, 429)), {**echo, "X-Not-Executed": "1"}, b"")
            await stream.read_body(headers)
            return stays_open
        body = await stream.read_body(headers)
        if f"b={digest(body)}" not in path or f"/{request_id}?" not in path:
            self.problems.append(f"request {request_id} arrived changed: {method} {path}, {len(body)} bytes")
        work = asyncio.ensure_future(self._work(record, headers))
        await asyncio.wait({work, stream.closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            record["outcome"] += " dropped"
            return False
        status, answer_headers, answer_body = work.result()
        return await self._answer_run(stream, record, status, {**echo, **answer_headers}, answer_body)

    async def _answer_run(self, stream, record, status, headers, body):
        record["outcome"] += f" {status}"
        if status == 200:
            headers["X-Server-Seal"] = seal(record["id"], body)
        if record["run_at"] and self.fires("lost"):
            record["outcome"] += " lost"
            stream.reset() if self.rng.random() < 0.5 else stream.close()
            return False
        if record["run_at"] and self.fires("mute"):
            await stream.closed
        return await self._send(stream, status, headers, body)

    async def _work(self, record, headers):
        """Waits for a slot and runs the request; returns status, headers and body of the answer."""
        deadline = time.monotonic() + int(headers.get("x-deadline-ms", 1000)) / 1000
        not_run = 503, {"X-Not-Executed": "1"}, b""
        if self.running < SLOTS:
            self.running += 1
        else:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + deadline - time.monotonic()):
                    await turn
            except TimeoutError:
                self._withdraw(turn)
                return not_run
            except asyncio.CancelledError:
                self._withdraw(turn)
                raise
        try:
            if time.monotonic() >= deadline:
                return not_run
            record["run_at"], record["outcome"] = time.monotonic(), "run"
            return await self._run(record, deadline)
        finally:
            self._release_slot()

    def _withdraw(self, turn):
        if turn in self.waiting:
            self.waiting.remove(turn)
        elif turn.done() and not turn.cancelled():
            self._release_slot()

    def _release_slot(self):
        while self.waiting:
            if not (turn := self.waiting.pop(0)).done():
                turn.set_result(None)
                return
        self.running -= 1

    async def _run(self, record, deadline):
        kind = record["path"].split("/")[1]
        work_s, nested, probability = WORK[kind]
        cold_factor = 3 if time.monotonic() < self.cold_until else 1
        work_s *= self.work_factor * self.slowness / 100 * cold_factor * self.rng.uniform(0.6, 1.5)
        await asyncio.sleep(min(work_s, max(0.0, deadline - time.monotonic())))
        if nested and self.rng.random() < probability and not await self._call(nested, record["id"] + ".1", deadline):
            return (504 if time.monotonic() >= deadline else 500), {"X-Server-Seal": "failed"}, b"nested call failed"
        if time.monotonic() >= deadline:
            return 504, {"X-Server-Seal": "late"}, b"deadline"
        if self.fires("error"):
            return 500, {"X-Server-Seal": "failed"}, b"failed"
        return 200, {}, f"{record['id']} {self.instance} {record['path']} ".encode() + b"." * self.rng.randrange(2000)

    async def _call(self, kind, request_id, deadline):
        left_ms = min(NESTED_DEADLINE_MS, int((deadline - time.monotonic()) * 1000))
        if left_ms <= 0:
            return False
        status, _ = await http_stream.exchange(
            self.entry_port, "GET", f"/{kind}/{request_id}?b={digest(b'')}", b"",
            {"X-Attempt-Id": request_id, "X-Deadline-Ms": left_ms}, left_ms / 1000)
        return status == 200

    async def _send(self, stream, status, headers, body):
        """Sends an answer, perhaps spoiled; returns whether the connection stays open."""
        closes = self.state == "draining" or self.rng.random() < 0.01
        unframed = body and self.fires("unframed")
        load = f"{self.running},{len(self.waiting)},{SLOTS},{self.slowness}"
        framing = {} if unframed else {"Content-Length": len(body)}
        connection = {"Connection": "close"} if closes or unframed else {"Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        answer = http_stream.head(f"HTTP/1.1 {status} x", {**headers, "X-Server-Load": load, **framing, **connection}) + body
        if self.fires("cut"):
            stream.write(answer[:self.rng.randrange(len(answer))])
            if unframed:
                # Only a reset tells that an answer without a length is incomplete.
                stream.reset()
            return False
        if self.fires("malformed"):
            first_line, rest = answer.split(b"\r\n", 1)
            if self.rng.random() < 0.3:
                first_line = b"HTTP/1.1 " + self.rng.choice(INVALID_STATUSES) + b" x"
            else:
                # Behind the last of the headers that the answer echoes or signs.
                position = rest.index(b"X-Server-Load")
                # A wrong length contradicts the head only if there is a right one.
                lines = MALFORMED_LINES if unframed else (*MALFORMED_LINES, b"Content-Length: %d" % (len(body) + 1))
                rest = rest[:position] + self.rng.choice(lines) + b"\r\n" + rest[position:]
            stream.write(first_line + b"\r\n" + rest)
            return self.rng.random() < 0.5
        if self.fires("spoil"):
            stream.write(bytes(self.rng.randrange(256) for _ in range(self.rng.randrange(1, 200))))
            return self.rng.random() < 0.5
        stream.write(answer)
        # What follows an answer without a length would be a part of it.
        if not unframed and self.fires("extra"):
            self._repeat(stream, answer)
        return not (closes or unframed)

    def _repeat(self, stream, answer):
        """Sends the answer a second time: at once, some milliseconds later, or when the next request arrives."""
        when = self.rng.choice(("now", "soon", "next"))
        if when == "now":
            stream.write(answer)
        elif when == "soon":
            asyncio.get_running_loop().call_later(self.rng.uniform(0.001, 0.05), stream.write, answer)
        else:
            stream.extra = answer
