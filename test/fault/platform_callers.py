"""Callers on the platform interface: kept, fresh and pipelined connections, bursts, uploads, callers that leave early, and
retries as the protocol has them. They run in a process of their own and write one record for each attempt."""

import asyncio
import json
import random
import time

import http_stream
import platform_servers

# Per kind: method, deadline in ms, share of the requests.
KINDS = {"browse": ("GET", 1200, 0.61), "book": ("POST", 1500, 0.31), "upload": ("POST", 1500, 0.08)}
NOT_RUN = (408, 421, 429, 503)
IDLE_S = 8.0
# Time after the deadline at which a caller gives up.
PATIENCE_S = 0.6
IMPATIENT_SHARE = 0.15


class Callers:
    """Callers of all hosts. ports: entry ports by host. rate: mean requests per second."""

    def __init__(self, ports, rate, seed, path):
        self.ports, self.rate, self.rng, self.prefix = ports, rate, random.Random(seed), f"{seed:x}"
        self.out = open(path, "w")
        self.idle = {host: [] for host in ports}
        self.count = 0
        self.tasks = set()

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            phase_end = time.monotonic() + self.rng.uniform(0.3, 3)
            rate = self.rate * self.rng.choice((0.4, 1, 1, 1, 2, 3))
            hosts = self.rng.sample(list(self.ports), self.rng.choice((len(self.ports), len(self.ports), 4)))
            while time.monotonic() < min(phase_end, end):
                await asyncio.sleep(self.rng.expovariate(rate))
                task = asyncio.ensure_future(self.request(self.rng.choice(hosts)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        self.out.close()

    async def request(self, host):
        kind = self.rng.choices(list(KINDS), [share for _, _, share in KINDS.values()])[0]
        if kind == "browse" and self.rng.random() < 0.15:
            await self.attempt(host, kind, KINDS[kind][1], self.rng.randrange(2, 6))
            return
        impatient = self.rng.random() < IMPATIENT_SHARE
        end = time.monotonic() + KINDS[kind][1] / 1000
        for i in range(5 if impatient else 2):
            left_s = end - time.monotonic()
            if left_s < 0.05:
                return
            status, retry_after_s = await self.attempt(host, kind, int(left_s * 1000), is_retry=i > 0)
            if not (status in NOT_RUN or (kind == "browse" and status in (0, 500, 502, 504))):
                return
            await asyncio.sleep(0 if impatient else min(retry_after_s, (end - time.monotonic()) / 3))

    def encode(self, kind, deadline_ms):
        """Returns the id of a new request, and its parts, which are sent one after the other."""
        self.count += 1
        request_id = f"{self.prefix}x{self.count:07x}"
        size = {"browse": 0, "book": 200, "upload": self.rng.randrange(20_000, 200_000)}[kind]
        body = self.rng.randbytes(size)
        chunked = kind != "browse" and self.rng.random() < 0.4
        framing = {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": size}
        head = http_stream.head(f"{KINDS[kind][0]} /{kind}/{request_id}?b={platform_servers.digest(body)} HTTP/1.1",
                                {"Host": "a.example", "X-Attempt-Id": request_id, "X-Deadline-Ms": deadline_ms, **framing})
        blocks = [body[i:i + 30_000] for i in range(0, size, 30_000)]
        if chunked:
            blocks = [f"{len(block):x}\r\n".encode() + block + b"\r\n" for block in blocks] + [b"0\r\n\r\n"]
        return request_id, [head + (blocks[0] if blocks else b""), *blocks[1:]]

    async def attempt(self, host, kind, deadline_ms, n=1, is_retry=False):
        """Sends n requests over one connection; returns the status of the last one and its Retry-After in seconds."""
        requests = [self.encode(kind, deadline_ms) for _ in range(n)]
        records = [{"id": request_id, "kind": kind, "host": host, "start": time.monotonic(), "status": 0, "problem": "",
                    "sent": False, "left": False} for request_id, _ in requests]
        is_kept = not is_retry and self.idle[host] and self.rng.random() < 0.7
        leaves_after_s = self.rng.uniform(0.001, 0.4) if self.rng.random() < 0.04 else deadline_ms / 1000 + PATIENCE_S
        stream, retry_after_s, stays_open = None, 0.0, False
        try:
            async with asyncio.timeout(leaves_after_s):
                stream = self.idle[host].pop() if is_kept else await http_stream.connect(self.ports[host])
                sender = asyncio.ensure_future(self.send(stream, requests, records))
                try:
                    for record in records:
                        stays_open, retry_after_s = await self.read_answer(stream, record)
                        if not stays_open:
                            break
                    await sender
                finally:
                    sender.cancel()
        except TimeoutError:
            stays_open = False
            for record in records:
                record["left"] = True
        except (EOFError, OSError, ValueError, IndexError):
            stays_open = False
        if stream and stays_open and not stream.buf:
            self.idle[host].append(stream)
            asyncio.get_running_loop().call_later(IDLE_S, self.expire, host, stream)
        elif stream:
            if stays_open:
                records[-1]["problem"] = f"bytes without a request: {bytes(stream.buf[:200])}"
            stream.close()
        for record in records:
            self.out.write(json.dumps(record) + "\n")
        return records[-1]["status"], retry_after_s

    def expire(self, host, stream):
        if stream in self.idle[host]:
            self.idle[host].remove(stream)
            if stream.buf and b" 408 " not in stream.buf[:16]:
                self.out.write(json.dumps({"id": "", "kind": "", "host": host, "start": time.monotonic(), "status": 0, "left": True,
                                           "problem": f"bytes without a request: {bytes(stream.buf[:200])}"}) + "\n")
            stream.close()

    async def send(self, stream, requests, records):
        for (_, parts), record in zip(requests, records):
            for part in parts:
                stream.write(part)
                if len(parts) > 1:
                    await asyncio.sleep(self.rng.uniform(0, 0.01))
            record["sent"] = True

    async def read_answer(self, stream, record):
        """Reads and checks one answer; returns whether the connection stays open, and Retry-After in seconds."""
        (_, status, *_), headers = await stream.read_head()
        closes = headers.get("connection", "").lower() == "close"
        body = await stream.read_body(headers, until_close=True)
        record.update(status=int(status), end=time.monotonic())
        answer_id = headers.get("x-attempt-id", record["id"])
        if not 200 <= int(status) <= 599:
            record["problem"] = f"answer with the status {status}"
        elif answer_id != record["id"]:
            record["problem"] = f"answer {status} of request {answer_id}"
        elif status == "200" and (headers.get("x-server-seal") != platform_servers.seal(record["id"], body)
                                  or not body.startswith(record["id"].encode())):
            record["problem"] = f"success with a body or signature of another answer: {headers} {body[:100]}"
        return not closes, float(headers.get("retry-after", 0))


def run(ports, rate, seed, path, seconds):
    """Runs the callers to their end; called in a process of its own."""
    asyncio.run(Callers(ports, rate, seed, path).run(seconds))
