"""A seeded run of the platform interface with real processes: daemons, backend servers that break off, spoil and repeat their
answers, and callers, under overlapping faults. The checks use only what callers and backend servers have seen.

  incident_run.py --seed 7 --seconds 60                   all faults
  incident_run.py --seed 7 --faults extra,shed            only the named ones
  incident_run.py --list                                  names of the faults
  incident_run.py --ci                                    the fixed seed of CI

On a violation it prints what callers, backend servers and logs say of the request, and keeps the logs.
"""

import argparse
import asyncio
import collections
import copy
import json
import multiprocessing
import random
import shutil
import signal
import subprocess
import sys
import time

import fleet
import http_stream
import platform_callers
import platform_path
import platform_servers
import relay

BASE_PORT = 15_000
REGIONS = {"klang-a": "klang", "klang-b": "klang", "penang-a": "penang", "penang-b": "penang"}
SERVICES = ("catalogue", "bookings", "inspections")
ROUTES = (("browse", "idempotent", 1.0, "catalogue", 2), ("book", "non_idempotent", 1.3, "bookings", 3),
          ("upload", "non_idempotent", 1.3, "inspections", 3), ("stock", "idempotent", 0.2, "bookings", 2),
          ("fit", "idempotent", 0.2, "inspections", 2))
NON_IDEMPOTENT = ("book", "upload")
# Services to which some configuration sends the route.
ALLOWED = {"browse": ("catalogue",), "book": ("bookings", "catalogue"), "upload": ("inspections",), "stock": ("bookings",),
           "fit": ("inspections",)}
# A host is in touch if nothing has disturbed it for this time.
CONTACT_S = 4.0
GRACE_S = 6.0
SETTLE_S = 4.0
CI = {"seed": 51, "seconds": 20, "hosts": 8, "rate": 200, "loops": 9,
      "faults": "extra,extra,extra,shed,health_shed,health_shed,scale_in,stall_leaving"}


def initial_configuration():
    return {"version": "00000003", "limits": platform_path.CONFIGURATION["limits"],
            "routes": [{"name": name, "host": "a.example", "pathPrefix": f"/{name}/", "kind": kind, "timeoutS": timeout_s,
                        "targetLatencyS": timeout_s / 3, "priority": i, "service": service, "maxAttempts": attempts,
                        "allowedRegions": []} for i, (name, kind, timeout_s, service, attempts) in enumerate(ROUTES)],
            "services": [{"name": name, "healthPath": "/health", "maxConnections": platform_servers.MAX_CONNECTIONS,
                          "coldStartS": platform_servers.COLD_S, "coldPerS": 60} for name in SERVICES]}


class Host:
    def __init__(self, name, settings_path, daemon, server):
        self.name, self.settings_path, self.daemon, self.server = name, settings_path, daemon, server
        self.link = self.store_link = None
        self.is_leaving = False
        # Times at which the daemon, its links or its signals were disturbed.
        self.disturbances = []

    def start_daemon(self):
        # Several faults may restart the same daemon.
        if not self.daemon.is_running():
            self.daemon.start()
        self.disturbances.append(time.monotonic())

    def was_in_touch(self, at):
        return not any(at - CONTACT_S <= time_s <= at for time_s in self.disturbances)


class Run:
    """The processes of one run and its faults."""

    def __init__(self, seed, host_count, base_port):
        self.rng = random.Random(seed)
        names = [(f"{list(REGIONS)[i % 4]}-{i // 4 + 1}", list(REGIONS)[i % 4], SERVICES[i % 3]) for i in range(host_count)]
        self.configuration = initial_configuration()
        self.site = platform_path.Site(names, base_port, self.configuration, REGIONS)
        self.relays = relay.RelayThread()
        self.hosts = []
        # Injected faults: time, name and hosts.
        self.log = []
        for name, _, service in names:
            port = self.site.ports[name]
            server = platform_servers.BackendServer(name, service, (port + 5, port + 3, port), random.Random(f"{seed}{name}"))
            host = Host(name, self.site.directory / f"{name}.json", self.site.daemons[name], server)
            host.link = self.relays.add(port + 6, port + 1)
            host.store_link = self.relays.add(port + 7, self.site.store_port, datagrams=False)
            self.change_settings(host, advertise=f"127.0.0.1:{port + 6}", store=f"127.0.0.1:{port + 7}")
            self.hosts.append(host)

    def change_settings(self, host, **fields):
        host.settings_path.write_text(json.dumps({**json.loads(host.settings_path.read_text()), **fields}))

    def note(self, fault, *hosts):
        """Records a fault that disturbs the given hosts from now on."""
        self.log.append((time.monotonic(), fault, [host.name for host in hosts]))
        for host in hosts:
            host.disturbances.append(time.monotonic())

    def pick(self, most=3):
        return self.rng.sample(self.hosts, self.rng.randint(1, min(most, len(self.hosts))))

    def pick_service(self):
        service = self.rng.choice(SERVICES)
        return [host for host in self.hosts if host.server.service == service]

    async def publish(self, key, value):
        return await asyncio.to_thread(self.site.publish, key, value)

    async def publish_configuration(self):
        self.configuration["version"] = f"{int(self.configuration['version'], 16) + self.rng.randint(1, 4):08x}"
        await self.publish("config", json.dumps(self.configuration).encode())

    async def start(self):
        self.site.store.start()
        for host in self.hosts:
            host.daemon.start()
        while not await self.publish("config", json.dumps(self.configuration).encode()):
            await asyncio.sleep(0.1)
        for host in self.hosts:
            await host.server.start(cold=False)
        end = time.monotonic() + platform_path.START_TIMEOUT_S
        while not all([await self.is_ready(host) for host in self.hosts]):
            if time.monotonic() > end:
                raise RuntimeError(f"the daemons in {self.site.directory} are not ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(2)

    async def is_ready(self, host):
        if not host.daemon.is_running():
            raise RuntimeError(f"the daemon {host.name} has ended at its start, see {self.site.directory}")
        return (await http_stream.exchange(self.site.ports[host.name] + 2, "GET", "/ready"))[0] == 200

    async def run(self, faults, loops, seconds):
        """Injects faults, several at the same time, and ends those that still last after the given time."""
        loops = [asyncio.ensure_future(self.inject(faults)) for _ in range(loops)]
        await asyncio.wait(loops, timeout=seconds)
        for loop in loops:
            loop.cancel()
        for error in await asyncio.gather(*loops, return_exceptions=True):
            if not isinstance(error, asyncio.CancelledError):
                raise error
        for host in self.hosts:
            host.server.faults.clear()
            host.link.set_mode("pass")
            host.store_link.set_mode("pass")
            host.daemon.send_signal(signal.SIGCONT)

    async def inject(self, faults):
        while True:
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            await FAULTS[self.rng.choice(faults)](self)

    def stop(self):
        for host in self.hosts:
            host.daemon.send_signal(signal.SIGCONT)
        self.site.stop()
        self.relays.stop()


def spoil(name, least=0.05, most=0.5):
    """A fault that backend servers inject into their answers with some probability, for some seconds."""
    async def fault(run):
        hosts = run.pick_service() if run.rng.random() < 0.6 else run.pick(6)
        probability = run.rng.uniform(least, most)
        run.log.append((time.monotonic(), name, [host.name for host in hosts]))
        for host in hosts:
            host.server.faults[name] = probability
        await asyncio.sleep(run.rng.uniform(1, 5))
        for host in hosts:
            host.server.faults.pop(name, None)
    return fault


async def slow(run):
    hosts, factor = run.pick(5), run.rng.uniform(2, 5)
    for host in hosts:
        host.server.work_factor = factor
    await asyncio.sleep(run.rng.uniform(1, 5))
    for host in hosts:
        host.server.work_factor = 1.0


async def freeze_server(run):
    """Freezes some servers, those first that leave, since what was sent before the freeze is read after it."""
    hosts = {host.name: host for host in [host for host in run.hosts if host.server.state == "draining"][:2] + run.pick()}
    await asyncio.gather(*(host.server.freeze(run.rng.uniform(0.1, 3)) for host in hosts.values() if not host.server.frozen))


async def stall_leaving(run):
    """Freezes servers that leave at the end of their drain time."""
    for host in run.hosts:
        server = host.server
        left_s = server.acknowledged_at and server.acknowledged_at + platform_servers.DRAIN_S - time.monotonic()
        if left_s and 0.9 < left_s < 2.2 and not server.frozen:
            server.spawn(server.freeze(left_s + run.rng.uniform(0, 0.5)))
    await asyncio.sleep(0.3)


async def replace_server(run, host, how, gap_s, service=None, same_id=False, restarts_daemon=False):
    """Ends the server of a host and starts another one. how: "draining", "delete" or "crash"."""
    if host.is_leaving or host.server.state != "ready":
        return
    host.is_leaving = True
    run.log.append((time.monotonic(), f"{how} of {host.server.instance}", [host.name]))
    if how == "crash":
        host.server.crash()
    else:
        await host.server.leave(how, run.rng.choice((0.2, 0.5, 2, 5)))
    if restarts_daemon:
        await stop_daemon(run, host)
    await asyncio.sleep(gap_s)
    if service:
        host.server.service = service
        run.change_settings(host, service=service)
    if restarts_daemon:
        host.start_daemon()
    await host.server.start(same_id)
    host.is_leaving = False


async def stop_daemon(run, host):
    run.note("term", host)
    host.daemon.send_signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while host.daemon.is_running() and time.monotonic() < end:
        await asyncio.sleep(0.05)
    host.daemon.kill()


async def release(run):
    hosts = run.pick_service()
    how, same_id, restarts = run.rng.choice(("draining", "draining", "delete")), run.rng.random() < 0.2, run.rng.random() < 0.4
    overlap_s = run.rng.uniform(0.5, 4)
    tasks = []
    for host in hosts:
        tasks.append(asyncio.ensure_future(replace_server(run, host, how, 0.3, same_id=same_id, restarts_daemon=restarts)))
        await asyncio.sleep(overlap_s)
    await asyncio.gather(*tasks)


async def scale_in(run):
    how = run.rng.choice(("draining", "delete"))
    await asyncio.gather(*(replace_server(run, host, how, run.rng.uniform(0.5, 4), restarts_daemon=True) for host in run.pick(2)))


async def reuse(run):
    host, how = run.rng.choice(run.hosts), run.rng.choice(("draining", "delete", "crash"))
    others = [other for other in run.hosts if other.server.service == host.server.service and other is not host]
    if len(others) > 1:
        await replace_server(run, host, how, 2.0, run.rng.choice(SERVICES), restarts_daemon=True)


async def crash(run):
    await asyncio.gather(*(replace_server(run, host, "crash", run.rng.uniform(0.1, 2), same_id=run.rng.random() < 0.3)
                           for host in run.pick()))


async def kill(run, most=2):
    hosts = run.pick(most)
    run.note("kill", *hosts)
    for host in hosts:
        host.daemon.kill()
    await asyncio.sleep(run.rng.uniform(0.02, 1))
    for host in hosts:
        host.start_daemon()


async def herd(run):
    await kill(run, len(run.hosts))


async def term(run):
    for host in run.pick(3):
        if not host.is_leaving:
            await stop_daemon(run, host)
            host.start_daemon()


async def pause(run):
    hosts = run.pick(3)
    run.note("pause", *hosts)
    for host in hosts:
        host.daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(run.rng.choice((0.1, 0.3, 0.8, 1.5, 3)))
    for host in hosts:
        host.daemon.send_signal(signal.SIGCONT)
        host.disturbances.append(time.monotonic())


async def hup(run):
    for host in run.pick(len(run.hosts)):
        run.change_settings(host, coldSlack=run.rng.choice((4, 5, 6)))
        if run.rng.random() < 0.8:
            host.daemon.send_signal(signal.SIGHUP)
    await asyncio.sleep(run.rng.uniform(0.1, 1))


def harm(relay_name, *modes):
    """A fault of the links between daemons ("link") or to the store ("store_link")."""
    async def fault(run):
        hosts, mode = run.pick(4), run.rng.choice(modes)
        run.note(f"{relay_name} {mode}", *hosts)
        for host in hosts:
            getattr(host, relay_name).set_mode(mode, run.rng.uniform(0.02, 0.3))
        await asyncio.sleep(run.rng.choice((0.02, 0.1, 0.5, 2)))
        for host in hosts:
            getattr(host, relay_name).set_mode("pass")
            host.disturbances.append(time.monotonic())
    return fault


def disturb_store(**fields):
    async def fault(run):
        run.log.append((time.monotonic(), f"store {fields}", []))
        await http_stream.exchange(run.site.store_port, "POST", "/fault", json.dumps(fields).encode())
        await asyncio.sleep(run.rng.uniform(0.5, 4))
        await http_stream.exchange(run.site.store_port, "POST", "/fault", b"{}")
    return fault


async def config(run):
    changed = copy.deepcopy(initial_configuration()["routes"])
    for route, (_, _, timeout_s, _, _) in zip(changed, ROUTES):
        route["timeoutS"] = timeout_s * run.rng.choice((0.7, 1, 1, 1.3))
    if (what := run.rng.randrange(4)) == 0:
        changed[1]["service"] = "catalogue"
    elif what == 1:
        del changed[1]["service"]
        changed[1]["weightedServices"] = [{"service": "bookings", "weight": 3}, {"service": "catalogue", "weight": 1}]
    elif what == 2:
        changed.append({**changed[0], "name": "new", "pathPrefix": f"/new{run.rng.randrange(9)}/"})
    run.configuration["routes"] = changed
    run.log.append((time.monotonic(), "config", []))
    await run.publish_configuration()


async def storm(run):
    for _ in range(run.rng.randint(5, 15)):
        await config(run)
        await asyncio.sleep(run.rng.uniform(0.05, 0.4))


async def evacuate(run):
    data_centre = run.rng.choice(list(REGIONS))
    await run.publish(f"evacuate/{data_centre}", b"{}")
    await asyncio.sleep(run.rng.uniform(2, 6))
    await run.publish(f"evacuate/{data_centre}", b"")


SPOILED = {"extra": (0.2, 0.9), "cut": (0.05, 0.5), "spoil": (0.05, 0.5), "unframed": (0.05, 1), "early": (0.05, 0.5),
           "lost": (0.05, 0.5), "mute": (0.05, 0.3), "shed": (0.05, 0.9), "error": (0.05, 0.5), "lying_health": (0.5, 1),
           "health_shed": (0.05, 0.5), "late_heartbeat": (0.05, 1), "malformed": (0.05, 0.5), "early_cut": (0.05, 0.5)}
FAULTS = {
    **{name: spoil(name, *probabilities) for name, probabilities in SPOILED.items()}, "slow": slow,
    "freeze_server": freeze_server, "stall_leaving": stall_leaving, "release": release, "scale_in": scale_in, "reuse": reuse,
    "crash": crash, "kill": kill, "herd": herd, "term": term, "pause": pause, "hup": hup, "link_cut": harm("link", "cut"),
    "link_one_way": harm("link", "drop-to", "drop-from"), "link_silent": harm("link", "silent"),
    "link_delay": harm("link", "delay"), "store_cut": harm("store_link", "cut", "drop-to", "drop-from", "silent"),
    "store_down": disturb_store(down="busy"), "store_silent": disturb_store(down="silent"),
    "store_slow": disturb_store(delayMs=300), "store_lost": disturb_store(loseAnswers=20), "config": config, "storm": storm,
    "evacuate": evacuate}


class Verdict:
    """Violations by kind, each as (request id, description)."""

    def __init__(self, run, calls):
        self.run, self.calls = run, {call["id"]: call for call in calls if call["id"]}
        self.reads = [read for host in run.hosts for read in host.server.reads]
        self.runs = collections.defaultdict(list)
        for read in self.reads:
            if read["run_at"]:
                self.runs[read["id"]].append(read)
        self.violations = collections.defaultdict(list)
        self.check_calls(calls)
        self.check_runs()
        self.check_leaving()

    def add(self, kind, request_id, text):
        self.violations[kind].append((request_id, text))

    def check_calls(self, calls):
        for call in calls:
            runs = self.runs.get(call["id"], [])
            if call["kind"] in NON_IDEMPOTENT and call["status"] in platform_callers.NOT_RUN and runs:
                self.add("REFUSED", call["id"], f"answered {call['status']}, ran {len(runs)} times")
            if call["problem"]:
                self.add("MIXED", call["id"], call["problem"])

    def check_runs(self):
        for request_id, runs in self.runs.items():
            kind = runs[0]["path"].split("/")[1]
            if kind in NON_IDEMPOTENT and len(runs) > 1:
                self.add("TWICE", request_id, f"ran {len(runs)} times")
            if "." not in request_id and request_id not in self.calls:
                self.add("UNASKED", request_id, "no caller sent it")
            for run in runs:
                if run["service"] not in ALLOWED[kind]:
                    self.add("ROUTE", request_id, f"ran in {run['service']}")
        for host in self.run.hosts:
            for problem in host.server.problems:
                self.add("UNASKED", problem.split()[1], problem)

    def check_leaving(self):
        hosts = {host.name: host for host in self.run.hosts}
        for read in self.reads:
            if read["leaving"] is not None and read["leaving"] > platform_servers.DRAIN_S:
                kind = "DRAIN" if hosts[read["host"]].was_in_touch(read["at"]) else "DRAIN excused"
                self.add(kind, read["id"], f"read {read['leaving']:.3f} s after the acknowledgement of {read['instance']} at "
                         f"{read['host']} over a connection {read['connection_age']:.3f} s old, its request {read['connection_count']}")

    def explain(self, request_id):
        files = [argument for host in self.run.hosts for argument in ("--file", self.run.site.directory / f"{host.name}.log")]
        completed = subprocess.run([fleet.BUILD / "coltsfootctl", "explain", request_id, *files], capture_output=True, text=True,
                                   timeout=20, stdin=subprocess.DEVNULL)
        return completed.stdout + completed.stderr

    def print(self, most=3):
        for kind, found in self.violations.items():
            for request_id, text in found[:most]:
                print(f"{kind} {request_id}: {text}\n  caller: {self.calls.get(request_id)}")
                reads = [read for read in self.reads if read["id"] == request_id]
                for read in reads:
                    print(f"  server: {read}")
                if reads:
                    print(f"  faults before: {[fault for fault in self.run.log if 0 < reads[-1]['at'] - fault[0] < CONTACT_S]}")
                if request_id:
                    print("  " + self.explain(request_id).replace("\n", "\n  "))


async def play(run, options, faults, calls_path):
    await run.start()
    seed = options.seed * 1000
    context = multiprocessing.get_context("spawn")
    ports = {host.name: run.site.ports[host.name] for host in run.hosts}
    callers = [context.Process(target=platform_callers.run,
                               args=(ports, options.rate / 2, seed + i, f"{calls_path}-{i}", options.seconds))
               for i in range(2)]
    for process in callers:
        process.start()
    await run.run(faults, min(options.loops, len(faults) + 2), options.seconds)
    while any(process.is_alive() for process in callers):
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    for host in run.hosts:
        host.server.crash()
        for task in host.server.tasks:
            task.cancel()
    return [json.loads(line) for i in range(2) for line in open(f"{calls_path}-{i}")]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--hosts", type=int, default=13)
    parser.add_argument("--rate", type=float, default=200, help="mean requests per second")
    parser.add_argument("--loops", type=int, default=4, help="faults at the same time")
    parser.add_argument("--faults", default="all")
    parser.add_argument("--port", type=int, default=BASE_PORT)
    parser.add_argument("--keep", action="store_true", help="keep the logs also without a violation")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--ci", action="store_true")
    options = parser.parse_args()
    if options.list:
        print(" ".join(FAULTS))
        return 0
    if options.ci:
        vars(options).update(CI)
    faults = list(FAULTS) if options.faults == "all" else options.faults.split(",")
    run = Run(options.seed, options.hosts, options.port)
    try:
        calls = asyncio.run(play(run, options, faults, run.site.directory / "calls"))
    finally:
        run.stop()
    verdict = Verdict(run, calls)
    verdict.print()
    statuses = collections.Counter(call["status"] for call in calls)
    kinds = {kind: len(found) for kind, found in verdict.violations.items()}
    print(json.dumps({"build": str(fleet.BUILD), "faults": options.faults, "seed": options.seed, "seconds": options.seconds,
                      "answers": sum(n for status, n in statuses.items() if status), "statuses": dict(sorted(statuses.items())),
                      "runs": sum(map(len, verdict.runs.values())), "violations": kinds, "logs": str(run.site.directory)}))
    with open(run.site.directory / "reads", "w") as reads:
        reads.writelines(json.dumps(read) + "\n" for read in verdict.reads)
    is_red = any(not kind.endswith("excused") for kind in kinds)
    if not kinds and not options.keep:
        shutil.rmtree(run.site.directory)
    return 1 if is_red else 0


if __name__ == "__main__":
    sys.exit(main())
