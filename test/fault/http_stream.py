"""HTTP/1.1 over asyncio for the stand-ins of incident_run.py: each side sees when bytes arrive and when the other one closes."""

import asyncio
import socket
import struct
import time


class Stream(asyncio.Protocol):
    """One connection. arrived_at: time at which the oldest byte that is not yet consumed was read. failure: error that ended
    the connection, or None.
    """

    def __init__(self, on_open=None):
        self.on_open = on_open
        self.buf = bytearray()
        self.opened_at = self.arrived_at = time.monotonic()
        self.closed = asyncio.get_running_loop().create_future()
        self.waiter = None
        self.transport = None
        self.failure = None

    def connection_made(self, transport):
        self.transport = transport
        if self.on_open:
            self.on_open(self)

    def data_received(self, data):
        if not self.buf:
            self.arrived_at = time.monotonic()
        self.buf += data
        self._wake()

    def connection_lost(self, failure):
        self.failure = failure
        if not self.closed.done():
            self.closed.set_result(None)
        self._wake()

    def _wake(self):
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def _wait(self):
        if self.closed.done():
            raise EOFError
        self.waiter = asyncio.get_running_loop().create_future()
        await self.waiter

    def write(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self):
        self.transport.close()

    def reset(self):
        # Without this option the end of the connection looks like an orderly one.
        if connection := self.transport.get_extra_info("socket"):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def _take(self, n):
        data = bytes(self.buf[:n])
        del self.buf[:n]
        return data

    async def read_until(self, separator):
        while (end := self.buf.find(separator)) < 0:
            await self._wait()
        return self._take(end + len(separator))

    async def read_exactly(self, n):
        while len(self.buf) < n:
            await self._wait()
        return self._take(n)

    async def read_head(self):
        """Returns the parts of the first line, and the headers with names in lower case."""
        lines = (await self.read_until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0].split(" ", 2), headers

    async def read_body(self, headers, until_close=False):
        """Reads a body with Content-Length, a chunked one, or one that ends with the connection, but not by a reset."""
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while size := int((await self.read_until(b"\r\n")).split(b";")[0], 16):
                body += (await self.read_exactly(size + 2))[:-2]
            await self.read_until(b"\r\n")
            return body
        if "content-length" in headers or not until_close:
            return await self.read_exactly(int(headers.get("content-length", 0)))
        try:
            while True:
                await self._wait()
        except EOFError:
            if self.failure:
                raise
            return self._take(len(self.buf))


async def connect(port):
    _, stream = await asyncio.get_running_loop().create_connection(Stream, "127.0.0.1", port)
    return stream


def head(first_line, headers):
    return "\r\n".join([first_line, *(f"{name}: {value}" for name, value in headers.items()), "", ""]).encode()


async def exchange(port, method, path, body=b"", headers=None, timeout_s=1.0):
    """Makes one request over a new connection; returns its status and body, or (0, b"") if there is no complete answer."""
    stream = None
    try:
        async with asyncio.timeout(timeout_s):
            stream = await connect(port)
            stream.write(head(f"{method} {path} HTTP/1.1", {"Host": "a.example", "Content-Length": len(body), **(headers or {})})
                         + body)
            first_line, answer_headers = await stream.read_head()
            return int(first_line[1]), await stream.read_body(answer_headers)
    except (OSError, EOFError, ValueError, IndexError, TimeoutError):
        return 0, b""
    finally:
        if stream:
            stream.close()
