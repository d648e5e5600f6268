"""Starts real daemons with stand-ins for the backend servers and the store on loopback, and injects faults into them."""

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
    """One process that the test starts, and ends by its process id only. Signals to an ended process are ignored."""

    def __init__(self, arguments, log_path):
        self.arguments = [str(argument) for argument in arguments]
        self.log = open(log_path, "ab")
        self.child = None

    def start(self):
        self.child = subprocess.Popen(self.arguments, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    def send_signal(self, signal_number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal_number)

    def kill(self):
        if self.child:
            self.send_signal(signal.SIGKILL)
            self.child.wait()

    def is_running(self):
        return self.child is not None and self.child.poll() is None


class Daemon:
    """One daemon, its backend server and their ports.

    With relays, peers reach the daemon through a relay on its advertised port, and the daemon reaches the store
    through a relay on store_relay_port.
    """

    def __init__(self, name, region, data_centre, port, use_relays):
        self.name = name
        self.region = region
        self.data_centre = data_centre
        self.port = port
        self.peer_port = port + 50
        self.advertised_port = port + 100 if use_relays else self.peer_port
        self.backend_port = port + 200
        self.store_relay_port = port + 150
        self.process = None
        self.backend = None
        self.relay = None
        self.store_relay = None
        self.history = None


class Fleet:
    """Daemons, their backend servers, a store, and the relays between them.

    base_port: first port; up to 49 daemons use ports from base_port to base_port + 248. daemons: tuples of name,
    region, data centre and service; the service is None for a daemon without a backend server. slots, service_ms,
    cold_slots, warm_after: options of the backend servers, see coltsfoot-backend --help. backend_options: further
    ones. binary: path of the daemon's program, relative to the build directory. home_regions: regions by service.
    use_relays: whether link and store connections pass through relays. probes_per_second: maximum number of load
    probes of each backend server.
    """

    def __init__(self, base_port, daemons, services, slots=8, service_ms=4, cold_slots=2, warm_after=0,
                 backend_options=(), binary="coltsfootd", home_regions=None, use_relays=True,
                 probes_per_second=2):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-fault-"))
        self.relay_thread = relay.RelayThread() if use_relays else None
        self.base_port = base_port
        self.store_port = base_port + 49
        self.binary = binary
        self.cold_slots = cold_slots
        self.accepted_versions = []
        self.probes_per_second = probes_per_second
        self.store = Process([BUILD / "coltsfoot-store", "--listen", f"127.0.0.1:{self.store_port}"],
                             self.directory / "store.log")
        self.daemons = {}
        for i, (name, region, data_centre, service) in enumerate(daemons):
            daemon = Daemon(name, region, data_centre, base_port + i, use_relays)
            daemon.service = service
            self.daemons[name] = daemon
        for daemon in self.daemons.values():
            self._prepare_processes(daemon, slots, service_ms, cold_slots, warm_after, backend_options)
        self.configuration = self._initial_configuration(services, slots, cold_slots, home_regions or {})

    def _prepare_processes(self, daemon, slots, service_ms, cold_slots, warm_after, backend_options):
        settings = {"id": daemon.name, "region": daemon.region, "dataCentre": daemon.data_centre,
                    "listen": f"127.0.0.1:{daemon.port}", "peers": f"127.0.0.1:{daemon.peer_port}",
                    "advertise": f"127.0.0.1:{daemon.advertised_port}",
                    "seeds": [f"127.0.0.1:{other.advertised_port}" for other in self.daemons.values()],
                    "store": f"127.0.0.1:{daemon.store_relay_port if self.relay_thread else self.store_port}"}
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

    def _initial_configuration(self, services, slots, cold_slots, home_regions):
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
            # Leaves no processes running if the fleet does not become ready.
            self.stop()
            raise

    def _start(self):
        self.store.start()
        for daemon in self.daemons.values():
            if self.relay_thread:
                daemon.relay = self.relay_thread.add(daemon.advertised_port, daemon.peer_port)
                daemon.store_relay = self.relay_thread.add(daemon.store_relay_port, self.store_port, datagrams=False)
            daemon.process.start()
        self.publish(self.configuration)
        for daemon in self.daemons.values():
            if daemon.backend:
                daemon.backend.start()
        self._wait_until_ready()

    def _wait_until_ready(self):
        end = time.monotonic() + START_TIMEOUT_S
        daemon_count = len(self.daemons)
        while time.monotonic() < end:
            if all(self._is_ready(daemon, daemon_count) for daemon in self.daemons.values()):
                return
            time.sleep(0.1)
        raise RuntimeError(f"the fleet in {self.directory} is not ready after {START_TIMEOUT_S} s")

    def _is_ready(self, daemon, daemon_count):
        daemon_list = self.get_json(daemon, "daemons")
        services_reachable = all(self.reaches_service(daemon, other.service) for other in self.daemons.values() if other.service)
        return self.get_json(daemon, "health") is not None and daemon_list is not None \
            and len(daemon_list["daemons"]) == daemon_count and services_reachable

    def reaches_service(self, daemon, service):
        connection = http.client.HTTPConnection("127.0.0.1", daemon.port, timeout=2)
        try:
            connection.request("GET", f"/{service}/ready?order=ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def get_json(self, daemon, path):
        """Returns the decoded answer of a control path, or None if there is no valid one with status 200."""
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

    def post_to_backend(self, daemon, path, document):
        connection = http.client.HTTPConnection("127.0.0.1", daemon.backend_port, timeout=2)
        try:
            connection.request("POST", path, json.dumps(document))
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def run_coltsfootctl(self, *arguments, timeout=20):
        """Runs coltsfootctl, the operators' tool; returns its exit code and its output."""
        command = [str(BUILD / "coltsfootctl"), "--store", f"127.0.0.1:{self.store_port}", *map(str, arguments)]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=timeout, stdin=subprocess.DEVNULL)
        return completed.returncode, completed.stdout + completed.stderr

    def run_until_accepted(self, *arguments):
        """Runs coltsfootctl repeatedly until the store has accepted a version; returns the time of acceptance in ns.

        Exit code 5 counts as accepted: the version is stored but not yet in force in all daemons.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            code, text = self.run_coltsfootctl(*arguments)
            match = re.search(r"accepted version (\d+)", text)
            if code in (0, 5) and match:
                accepted_ns = time.monotonic_ns()
                self.accepted_versions.append((accepted_ns, int(match.group(1))))
                return accepted_ns
            time.sleep(0.1)
        raise RuntimeError(f"coltsfootctl {arguments} was not accepted within {START_TIMEOUT_S} s: {text}")

    def publish(self, configuration):
        path = self.directory / "configuration.json"
        path.write_text(json.dumps(configuration))
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            code, text = self.run_coltsfootctl("publish", path)
            if code == 0:
                self.accepted_versions.append((time.monotonic_ns(), configuration["version"]))
                return
            if time.monotonic() > end:
                raise RuntimeError(f"coltsfootctl publish failed for {START_TIMEOUT_S} s, last exit code {code}: {text}")
            time.sleep(0.2)

    def set_store_faults(self, **faults):
        """Enables the named faults of the stand-in store and disables all others; returns whether it succeeded."""
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=2)
        try:
            connection.request("POST", "/fault", json.dumps(faults))
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def sample_versions(self):
        """Returns a sample (ns, daemon, incarnation, version in force) for each daemon that answers.

        The time is taken before the request, so that a checker compares the answer with what was due at that time.
        """
        samples = []
        for daemon in self.daemons.values():
            request_ns = time.monotonic_ns()
            status = self.get_json(daemon, "status")
            if status and status.get("version") is not None:
                samples.append((request_ns, daemon.name, status.get("incarnation"), status["version"]))
        return samples

    def run_events(self):
        events = []
        for daemon in self.daemons.values():
            if daemon.history and daemon.history.exists():
                for text in daemon.history.read_text().splitlines():
                    try:
                        event = json.loads(text)
                    except ValueError:
                        continue  # A killed server may leave an incomplete line.
                    # Skips the readiness calls of reaches_service().
                    if event["order"] != "ready" or event["event"] == "fell":
                        events.append({**event, "daemon": daemon.name, "dataCentre": daemon.data_centre})
        return events

    def body_digests(self, bodies):
        """Returns (length, hash) by kind for the given bodies, as a stand-in backend server computes them.

        The bodies are sent without a daemon in between, so that they arrive unchanged.
        """
        daemon = next(d for d in self.daemons.values() if d.backend)
        digests = {}
        for kind, body in bodies.items():
            connection = http.client.HTTPConnection("127.0.0.1", daemon.backend_port, timeout=5)
            connection.request("POST", "/x?order=ready", body=body)
            echo = json.loads(connection.getresponse().read())
            connection.close()
            digests[kind] = (echo["length"], echo["hash"])
        return digests

    def stop(self):
        for daemon in self.daemons.values():
            for process in (daemon.process, daemon.backend):
                if process:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        self.store.send_signal(signal.SIGCONT)
        self.store.kill()
        if self.relay_thread:
            self.relay_thread.stop()
