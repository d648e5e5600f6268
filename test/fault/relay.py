"""Relays between processes of a test, whose traffic can be cut, dropped in one direction or delayed.

A relay listens on one loopback port for TCP and UDP and passes everything on to another. All relays
of a test run in one thread.
"""

import asyncio
import socket
import threading

CHUNK_BYTES = 64 * 1024


class Relay:
    """One relay; its mode can be changed from any thread."""

    def __init__(self, loop, port, target_port, datagrams):
        self.datagrams = datagrams
        self.loop = loop
        self.port = port
        self.target_port = target_port
        self.mode = "pass"
        self.delay = 0.0
        self.connections = set()
        self.udp_clients = {}

    def set_mode(self, mode, delay=0.0):
        """mode: pass, cut, drop-to, drop-from, silent (open connections only), delay."""
        done = threading.Event()
        self.loop.call_soon_threadsafe(self._apply, mode, delay, done)
        done.wait(5)

    def _apply(self, mode, delay, done):
        self.mode = mode
        self.delay = delay
        if mode == "cut":
            for connection in list(self.connections):
                connection.abort()
        if mode == "silent":
            for connection in self.connections:
                connection.silent = True
        done.set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        if not self.datagrams:
            return
        self.udp, _ = await self.loop.create_datagram_endpoint(
            lambda: _UdpFront(self), local_addr=("127.0.0.1", self.port))

    async def _accept(self, reader, writer):
        if self.mode == "cut":
            _reset(writer)
            return
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            _reset(writer)
            return
        connection = _Connection(self, (reader, writer), target)
        self.connections.add(connection)
        try:
            await connection.run()
        except asyncio.CancelledError:
            connection.abort()
        finally:
            self.connections.discard(connection)


class _Connection:
    def __init__(self, relay, source, target):
        self.relay = relay
        self.source = source
        self.target = target
        self.silent = False

    async def run(self):
        await asyncio.gather(
            self._pump(self.source[0], self.target[1], "drop-to"),
            self._pump(self.target[0], self.source[1], "drop-from"))

    async def _pump(self, reader, writer, drop_mode):
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.silent or self.relay.mode == drop_mode:
                    if not data:
                        return
                    continue
                if self.relay.mode == "delay":
                    await asyncio.sleep(self.relay.delay)
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            self.abort()

    def abort(self):
        _reset(self.source[1])
        _reset(self.target[1])


class _UdpFront(asyncio.DatagramProtocol):
    """Takes datagrams for the target and keeps one socket for each sender, so that answers return."""

    def __init__(self, relay):
        self.relay = relay

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        if self.relay.mode in ("cut", "drop-to"):
            return
        back = self.relay.udp_clients.get(address)
        if back is None:
            back = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            back.setblocking(False)
            back.connect(("127.0.0.1", self.relay.target_port))
            self.relay.udp_clients[address] = back
            self.relay.loop.add_reader(back, self._answer, back, address)
        try:
            back.send(data)
        except OSError:
            pass

    def _answer(self, back, address):
        try:
            data = back.recv(CHUNK_BYTES)
        except OSError:
            return
        if self.relay.mode not in ("cut", "drop-from"):
            self.transport.sendto(data, address)


def _reset(writer):
    transport = writer.transport
    if transport is not None:
        transport.abort()


def _report_unless_dropped(loop, context):
    # A connection that its peer resets while the relay still connects onwards takes its task along.
    if "Task was destroyed" not in context.get("message", ""):
        loop.default_exception_handler(context)


class RelayThread:
    """Runs the relays of one test."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(_report_unless_dropped)
        self.relays = []
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def add(self, port, target_port, datagrams=True):
        relay = Relay(self.loop, port, target_port, datagrams)
        asyncio.run_coroutine_threadsafe(relay.start(), self.loop).result(5)
        self.relays.append(relay)
        return relay

    def stop(self):
        """A second call does nothing, so that it cannot hide why a fleet did not start."""
        if not self.thread.is_alive():
            return
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self.loop).result(5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def _cancel_all(self):
        # Connections of processes that are being killed end in many ways; none matters any more.
        self.loop.set_exception_handler(lambda loop, context: None)
        for relay in self.relays:
            relay.server.close()
            if relay.datagrams:
                relay.udp.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
