"""Test with real processes that an order whose run has started is not answered "not run" after its serving daemon was killed
and started again, while the connections between the two daemons break at the worst moments."""

import argparse
import contextlib
import pathlib
import socket
import struct
import sys
import threading
import time

import callers
import fleet

FIRST_PORT = 30_000
PORTS_PER_ORDER = 256
ORDERS = 3
# Longer than the test needs to kill the daemon, so that the run is under way then.
SERVICE_MS = 800
DEADLINE_MS = 4_000
ORDER = "1"
STEP_TIMEOUT_S = 5.0
FRAME_LENGTH_BYTES = 4
CHUNK_BYTES = 64 * 1024


class FrameRelay:
    """Forwards connections to a daemon, and breaks them between two of its frames.

    The mode applies to connections that are opened from now on: "no-answers" drops what the daemon sends, "hello-only"
    resets the connection after the daemon's first frame, "pass" forwards everything. While the daemon cannot be
    reached, connections wait.
    """

    def __init__(self, port, target_port):
        self.target_port = target_port
        self.mode = "no-answers"
        self.hellos_cut = 0
        self.lock = threading.Lock()
        self.sockets = set()
        self.listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        for open_socket in [self.listener, *self.sockets]:
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)
            open_socket.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        target = self._connect()
        if target is None:
            client.close()
            return
        with self.lock:
            mode = self.mode
            if mode == "hello-only":
                self.mode = "pass"
        self.sockets.update((client, target))
        threading.Thread(target=self._forward, args=(client, target), daemon=True).start()
        if mode == "hello-only":
            self._forward_frame(target, client)
            reset(client)
            reset(target)
        else:
            self._forward(target, client, drop=mode == "no-answers")

    def _connect(self):
        end = time.monotonic() + STEP_TIMEOUT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                return socket.create_connection(("127.0.0.1", self.target_port))
            time.sleep(0.01)
        return None

    def _forward_frame(self, source, target):
        with contextlib.suppress(OSError):
            length = source.recv(FRAME_LENGTH_BYTES, socket.MSG_WAITALL)
            target.sendall(length + source.recv(struct.unpack(">I", length)[0], socket.MSG_WAITALL))
            self.hellos_cut += 1
            # The frame must be read before the reset discards it.
            time.sleep(0.05)

    @staticmethod
    def _forward(source, target, drop=False):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if not drop:
                    target.sendall(data)
        reset(source)
        reset(target)


def reset(connection):
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # close() alone does not wake up a thread that reads.
        connection.shutdown(socket.SHUT_RD)
        connection.close()


def wait_until(condition, what):
    end = time.monotonic() + STEP_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(f"{what}: not within {STEP_TIMEOUT_S} s")
        time.sleep(0.005)


def started_runs(test_fleet):
    return sum(event["event"] == "begin" and event["order"] == ORDER for event in test_fleet.run_events())


def run_order(port, binary):
    """Sends one order through the faults; returns its record, its number of runs and the number of hellos that were cut."""
    test_fleet = fleet.Fleet(port, [("entry", "r", "dc", None), ("serving", "r", "dc", "bookings")], ["bookings"],
                             service_ms=SERVICE_MS, binary=binary)
    frame_relay = None
    try:
        test_fleet.start()
        entry, serving = test_fleet.daemons["entry"], test_fleet.daemons["serving"]
        # Replaces the relay of the serving daemon's connections.
        serving.relay.loop.call_soon_threadsafe(serving.relay.server.close)
        serving.relay.set_mode("cut")
        frame_relay = FrameRelay(serving.advertised_port, serving.peer_port)
        serving.relay.set_mode("pass")
        records = []
        caller = threading.Thread(target=lambda: records.append(callers.call_once(entry.port, "order", ORDER, DEADLINE_MS)))
        caller.start()
        wait_until(lambda: started_runs(test_fleet), "the run has started")
        with frame_relay.lock:
            frame_relay.mode = "hello-only"
        serving.process.kill()
        serving.process.start()
        caller.join()
        time.sleep(SERVICE_MS / 1000)
        return records[0], started_runs(test_fleet), frame_relay.hellos_cut
    finally:
        test_fleet.stop()
        if frame_relay:
            frame_relay.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="coltsfootd", type=pathlib.Path)
    options = parser.parse_args()
    failed = False
    for n in range(ORDERS):
        record, runs, hellos_cut = run_order(FIRST_PORT + n * PORTS_PER_ORDER, options.binary)
        print(f"order {n}: status {record['status']} outcome {record['outcome']!r} reason {record['reason']!r} "
              f"runs {runs} hellos cut {hellos_cut} {record['error']}")
        failed = failed or hellos_cut != 1 or runs != 1 or record["outcome"] == "not-run"
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
