"""Starts a few real daemons with stand-ins on loopback and breaks them on command."""

import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time

import relay

BUILD = pathlib.Path(os.environ.get("BUILD_DIR", pathlib.Path(__file__).parents[2] / "build"))
START_TIMEOUT_S = 15.0


class Process:
    """One process, ended by its id only."""

    def __init__(self, arguments, log_path):
        self.arguments = [str(argument) for argument in arguments]
        self.log = open(log_path, "ab")
        self.child = None

    def start(self):
        self.child = subprocess.Popen(self.arguments, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    def send(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child:
            self.send(signal.SIGKILL)
            self.child.wait()

    def running(self):
        return self.child is not None and self.child.poll() is None


class Daemon:
    """One daemon with its backend server; peers reach it at the advertised port."""

    def __init__(self, name, region, data_centre, port, relayed):
        self.name = name
        self.region = region
        self.data_centre = data_centre
        self.port = port
        self.peers = port + 50
        self.advertised = port + 100 if relayed else self.peers
        self.backend_port = port + 200
        self.store_link = port + 150
        self.process = None
        self.backend = None
        self.relay = None
        self.store_relay = None
        self.history = None


class Fleet:
    """daemons: tuples of name, region, data centre, service or None."""

    def __init__(self, base_port, daemons, services, slots=8, service_ms=4, cold_slots=2, warm_after=0,
                 backend_options=(), binary="coltsfootd", home_regions=None, relays=True,
                 probes_per_second=2):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-fault-"))
        self.relays = relay.RelayThread() if relays else None
        self.base_port = base_port
        self.store_port = base_port + 49
        self.binary = binary
        self.cold_slots = cold_slots
        self.accepted = []
        self.probes_per_second = probes_per_second
        self.store = Process([BUILD / "coltsfoot-store", "--listen", f"127.0.0.1:{self.store_port}"],
                             self.directory / "store.log")
        self.daemons = {}
        for i, (name, region, data_centre, service) in enumerate(daemons):
            daemon = Daemon(name, region, data_centre, base_port + i, relays)
            daemon.service = service
            self.daemons[name] = daemon
        for daemon in self.daemons.values():
            self._prepare(daemon, slots, service_ms, cold_slots, warm_after, backend_options)
        self.configuration = self._configuration(services, slots, cold_slots, home_regions or {})

    def _prepare(self, daemon, slots, service_ms, cold_slots, warm_after, backend_options):
        settings = {"id": daemon.name, "region": daemon.region, "dataCentre": daemon.data_centre,
                    "listen": f"127.0.0.1:{daemon.port}", "peers": f"127.0.0.1:{daemon.peers}",
                    "advertise": f"127.0.0.1:{daemon.advertised}",
                    "seeds": [f"127.0.0.1:{other.advertised}" for other in self.daemons.values()],
                    "store": f"127.0.0.1:{daemon.store_link if self.relays else self.store_port}"}
        path = self.directory / f"{daemon.name}.json"
        path.write_text(json.dumps(settings))
        daemon.process = Process([BUILD / self.binary, "--settings", path], self.directory / f"{daemon.name}.log")
        if daemon.service:
            daemon.history = self.directory / f"{daemon.name}.history"
            daemon.backend = Process(
                [BUILD / "coltsfoot-backend", "--service", daemon.service, "--daemon", f"127.0.0.1:{daemon.port}",
                 "--port", daemon.backend_port, "--slots", slots, "--service-ms", service_ms, "--cold-slots",
                 cold_slots, "--warm-after", warm_after, "--history", daemon.history, *backend_options],
                self.directory / f"{daemon.name}-backend.log")

    def _configuration(self, services, slots, cold_slots, home_regions):
        return {
            "version": 1,
            "dataCentres": {d.data_centre: {"region": d.region, "inService": True} for d in self.daemons.values()},
            "services": {name: {"slots": slots, "defaultDeadlineMs": 1500, "probesPerSecond": self.probes_per_second,
                                "coldStart": {"initialSlots": cold_slots}}
                         for name in services},
            "routes": [{"prefix": f"/{name}", "service": name, "idempotentMethods": ["GET"],
                        "homeRegions": home_regions.get(name, [])} for name in services]}

    def start(self):
        try:
            self._start()
        except BaseException:
            # A fleet that is not ready must leave no processes behind.
            self.stop()
            raise

    def _start(self):
        self.store.start()
        for daemon in self.daemons.values():
            if self.relays:
                daemon.relay = self.relays.add(daemon.advertised, daemon.peers)
                daemon.store_relay = self.relays.add(daemon.store_link, self.store_port, datagrams=False)
            daemon.process.start()
        self.publish(self.configuration)
        for daemon in self.daemons.values():
            if daemon.backend:
                daemon.backend.start()
        self._wait_ready()

    def _wait_ready(self):
        end = time.monotonic() + START_TIMEOUT_S
        wanted = len(self.daemons)
        while time.monotonic() < end:
            if all(self._ready(daemon, wanted) for daemon in self.daemons.values()):
                return
            time.sleep(0.1)
        raise RuntimeError(f"the fleet in {self.directory} is not ready after {START_TIMEOUT_S} s")

    def _ready(self, daemon, wanted):
        known = self.get(daemon, "daemons")
        served = all(self.call_ready(daemon, other.service) for other in self.daemons.values() if other.service)
        return self.get(daemon, "health") is not None and known is not None \
            and len(known["daemons"]) == wanted and served

    def call_ready(self, daemon, service):
        connection = http.client.HTTPConnection("127.0.0.1", daemon.port, timeout=2)
        try:
            connection.request("GET", f"/{service}/ready?order=ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def get(self, daemon, path):
        """Returns the JSON answer of a control path, or None."""
        text = self.get_text(daemon, path)
        try:
            return json.loads(text) if text else None
        except ValueError:
            return None

    def get_text(self, daemon, path):
        connection = http.client.HTTPConnection("127.0.0.1", daemon.port, timeout=1)
        try:
            connection.request("GET", f"/coltsfootwell/{path}")
            response = connection.getresponse()
            body = response.read().decode()
            return body if response.status == 200 else None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def post_backend(self, daemon, path, document):
        connection = http.client.HTTPConnection("127.0.0.1", daemon.backend_port, timeout=2)
        try:
            connection.request("POST", path, json.dumps(document))
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def control(self, *arguments, timeout=20):
        """Runs the operators' tool; returns its exit code and output."""
        command = [str(BUILD / "coltsfootctl"), "--store", f"127.0.0.1:{self.store_port}", *map(str, arguments)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=timeout, stdin=subprocess.DEVNULL)
        return done.returncode, done.stdout + done.stderr

    def operate(self, *arguments):
        """Runs the operators' tool until it has accepted a version; returns the time of acceptance."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            code, text = self.control(*arguments)
            found = re.search(r"accepted version (\d+)", text)
            if code in (0, 5) and found:
                accepted = time.monotonic_ns()
                self.accepted.append((accepted, int(found.group(1))))
                return accepted
            time.sleep(0.1)
        raise RuntimeError(f"{arguments} was not accepted within {START_TIMEOUT_S} s: {text}")

    def publish(self, configuration):
        path = self.directory / "configuration.json"
        path.write_text(json.dumps(configuration))
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            code, text = self.control("publish", path)
            if code == 0:
                self.accepted.append((time.monotonic_ns(), configuration["version"]))
                return
            if time.monotonic() > end:
                raise RuntimeError(f"publish ended with {code}: {text}")
            time.sleep(0.2)

    def set_store_faults(self, **faults):
        """Switches faults of the stand-in store on; those not named are switched off."""
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=2)
        try:
            connection.request("POST", "/fault", json.dumps(faults))
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def versions(self):
        """Returns one sample (ns, daemon, incarnation, version) for each daemon that answers."""
        samples = []
        for daemon in self.daemons.values():
            began = time.monotonic_ns()
            status = self.get(daemon, "status")
            if status and status.get("version") is not None:
                samples.append((began, daemon.name, status.get("incarnation"), status["version"]))
        return samples

    def runs(self):
        lines = []
        for daemon in self.daemons.values():
            if daemon.history and daemon.history.exists():
                for text in daemon.history.read_text().splitlines():
                    try:
                        line = json.loads(text)
                    except ValueError:
                        continue  # A killed server may leave half a line.
                    if line["order"] != "ready" or line["event"] == "fell":
                        lines.append({**line, "daemon": daemon.name, "dataCentre": daemon.data_centre})
        return lines

    def expected_bodies(self, bodies):
        """Asks a stand-in directly for length and hash of each body that callers send."""
        daemon = next(d for d in self.daemons.values() if d.backend)
        expected = {}
        for kind, body in bodies.items():
            connection = http.client.HTTPConnection("127.0.0.1", daemon.backend_port, timeout=5)
            connection.request("POST", "/x?order=ready", body=body)
            echo = json.loads(connection.getresponse().read())
            connection.close()
            expected[kind] = (echo["length"], echo["hash"])
        return expected

    def stop(self):
        for daemon in self.daemons.values():
            for process in (daemon.process, daemon.backend):
                if process:
                    process.send(signal.SIGCONT)
                    process.kill()
        self.store.send(signal.SIGCONT)
        self.store.kill()
        if self.relays:
            self.relays.stop()
