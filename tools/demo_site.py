"""Runs the demonstration site: two data centres with six backend servers, each with a daemon beside it.
Sends a mix of calls while one data centre is taken out of service and brought back. Called by tools/demo."""

import collections
import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
STORE_ADDRESS = "127.0.0.1:7000"
FIRST_DAEMON_PORT = 7101
FIRST_BACKEND_PORT = 7111
REGION = "nordeste-litoral"
DATA_CENTRES = ("recife-a", "salvador-b")
OUT_OF_SERVICE_DATA_CENTRE = "salvador-b"
# For each service: slots of a backend server, mean service time of a call in ms.
SERVICES = {"estoque-consulta": (9, 3), "pedidos": (9, 8), "contagens": (9, 40)}
# Maximum time to publish the configuration, and maximum time until all daemons answer calls.
START_TIMEOUT_S = 15
# Maximum time between SIGTERM and SIGKILL.
STOP_TIMEOUT_S = 8
# Duration of the load, and times after its start at which the data centre is taken out of service and
# brought back.
LOAD_DURATION_S, OUT_AT_S, BACK_AT_S = 15, 5, 10
CALLS_PER_SECOND = 100
PHOTOGRAPH_BYTES = 4_000_000
# Outcomes that the load tool can report for a call.
OUTCOMES = ("run", "not-run", "unknown", "broken", "not-sent")
EXIT_VIOLATIONS, EXIT_NOT_STARTED = 1, 2


def request(port, method, path, body=None):
    """Sends an HTTP request to a daemon. Returns (status, body), or (0, "") if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


# Processes of the demonstration site: a store, daemons and backend servers.
class Site:
    def __init__(self, directory):
        self.directory = directory
        self.processes = []
        self.histories = []
        self.configuration = ROOT / "examples/mandacaru/configuration.json"
        self.ports = []

    def start_process(self, name, *command):
        with open(self.directory / f"{name}.log", "wb") as output:
            process = subprocess.Popen(list(map(str, command)), stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        self.processes.append((name, process))
        return process

    # Returns True when every daemon answers calls to every service.
    def start(self):
        placements = [(centre, service) for centre in DATA_CENTRES for service in SERVICES]
        self.start_process("store", BUILD / "coltsfoot-store", "--listen", STORE_ADDRESS)
        self.ports = [FIRST_DAEMON_PORT + i for i in range(len(placements))]
        for i, (centre, service) in enumerate(placements):
            name = f"{centre}-{service}"
            settings = {"id": name, "region": REGION, "dataCentre": centre, "listen": f"127.0.0.1:{self.ports[i]}",
                        "peers": f"127.0.0.1:{self.ports[i] + 100}", "store": STORE_ADDRESS}
            path = self.directory / f"{name}.json"
            path.write_text(json.dumps(settings))
            self.start_process(name, BUILD / "coltsfootd", "--settings", path)
        if not self.publish():
            return False
        for i, (centre, service) in enumerate(placements):
            slots, service_ms = SERVICES[service]
            name = f"{centre}-{service}-server"
            history = self.directory / f"{name}.history"
            self.histories.append(history)
            self.start_process(name, BUILD / "coltsfoot-backend", "--service", service, "--daemon",
                               f"127.0.0.1:{self.ports[i]}", "--port", FIRST_BACKEND_PORT + i, "--slots", slots,
                               "--service-ms", service_ms, "--distribution", "exponential", "--seed", i + 1,
                               "--cold-slots", 2, "--cold-factor", 2, "--warm-after", 10, "--history", history)
        return self.wait_until(self.ready)

    # Returns False after START_TIMEOUT_S, or when a process has ended.
    def wait_until(self, condition):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return True
            if any(process.poll() is not None for _, process in self.processes):
                return False
            time.sleep(0.1)
        return False

    def publish(self):
        return self.wait_until(lambda: self.control("publish", self.configuration)[0] == 0)

    # Runs coltsfootctl. Returns its exit code and output, or (-1, reason) if it timed out.
    def control(self, *arguments):
        command = [str(BUILD / "coltsfootctl"), "--store", STORE_ADDRESS, *map(str, arguments)]
        try:
            result = subprocess.run(command, capture_output=True, text=True, timeout=10, stdin=subprocess.DEVNULL)
        except subprocess.TimeoutExpired:
            return -1, "timed out after 10 s"
        return result.returncode, (result.stdout + result.stderr).strip()

    def ready(self):
        return all(request(port, "GET", f"{path}/ready?order=ready")[0] == 200
                   for port in self.ports for path in ("/estoque", "/pedidos", "/contagens"))

    # Returns the runs that the backend servers recorded, except those of ready().
    def runs(self):
        lines = []
        for history in self.histories:
            for text in history.read_text().splitlines() if history.exists() else []:
                line = json.loads(text)
                if line["event"] == "begin" and line["order"] not in ("", "ready"):
                    lines.append({**line, "server": history.stem.removesuffix("-server")})
        return lines

    def stop(self):
        """Ends all processes, the backend servers after the others. Signals only processes that it started."""
        for is_server in (False, True):
            group = [process for name, process in self.processes if name.endswith("-server") == is_server]
            for process in group:
                if process.poll() is None:
                    process.terminate()
            end = time.monotonic() + STOP_TIMEOUT_S
            for process in group:
                try:
                    process.wait(max(0.1, end - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


# Returns the kinds of calls and their shares in percent, in the format of the load tool.
def call_mix():
    return [
        {"name": "stock check", "share": 60, "path": "/estoque/loja-7", "deadlineMs": 500},
        {"name": "order", "share": 30, "method": "POST", "path": "/pedidos/novo", "bodyBytes": 600,
         "deadlineMs": 2000},
        {"name": "order with nested stock check", "share": 9, "method": "POST",
         "path": "/pedidos/conferido?nested=/estoque/loja-7", "bodyBytes": 600, "deadlineMs": 2000},
        {"name": "count sheet with photograph", "share": 1, "method": "POST", "path": "/contagens/folha",
         "bodyBytes": PHOTOGRAPH_BYTES, "deadlineMs": 10000}]


def run_load(site):
    """Runs the load tool. Meanwhile takes a data centre out of service and brings it back.

    Returns the exit code of the load tool, the time and name of each command, and the failed commands as text."""
    path = site.directory / "mix.json"
    path.write_text(json.dumps(call_mix()))
    failed_commands = []
    targets = [argument for port in site.ports for argument in ("--target", f"127.0.0.1:{port}")]
    load = site.start_process("load", BUILD / "coltsfoot-load", *targets, "--mix", path, "--rate", CALLS_PER_SECOND,
                              "--seconds", LOAD_DURATION_S, "--seed", 1, "--history", site.directory / "calls.history",
                              "--report", site.directory / "report.json", "--plot", site.directory / "plot.svg")
    started = time.monotonic()
    events = []
    for at, command in ((OUT_AT_S, "out"), (BACK_AT_S, "back")):
        time.sleep(max(0, started + at - time.monotonic()))
        code, text = site.control(command, OUT_OF_SERVICE_DATA_CENTRE)
        events.append((time.monotonic_ns(), command))
        print(f"coltsfootctl {command} {OUT_OF_SERVICE_DATA_CENTRE}: exit code {code}")
        if code != 0:
            failed_commands.append(f"coltsfootctl {command} {OUT_OF_SERVICE_DATA_CENTRE} failed with exit code {code}: "
                                   f"{text}")
    return load.wait(LOAD_DURATION_S + 30), events, failed_commands


def print_table(calls, events):
    print("\nCalls by outcome and server")
    servers = sorted({call["servedBy"] or "none" for call in calls})
    outcomes = sorted({call["outcome"] + ("/" + call["reason"] if call["reason"] else "") for call in calls})
    count = collections.Counter((call["outcome"] + ("/" + call["reason"] if call["reason"] else ""),
                                 call["servedBy"] or "none") for call in calls)
    width = max(map(len, [*servers, "server"])) + 2
    print("server".ljust(width) + "".join(name.rjust(len(name) + 3) for name in outcomes))
    for server in servers:
        print(server.ljust(width) + "".join(str(count[name, server]).rjust(len(name) + 3) for name in outcomes))
    if len(events) == 2:
        out, back = events[0][0], events[1][0]
        served = [call for call in calls if call["servedBy"].startswith(OUT_OF_SERVICE_DATA_CENTRE)]
        while_out = sum(out + 3e9 < call["begin"] < back for call in served)
        after = sum(call["begin"] > back for call in served)
        print(f"\n{OUT_OF_SERVICE_DATA_CENTRE} served {while_out} calls from 3 s after it was taken out of service "
              f"until it was brought back, and {after} calls after that.")


def find_violations(calls, runs, report, load_code):
    """Returns a text for each call that is not accounted for, has a wrong answer, or ran more than once."""
    violations = [] if load_code == 0 else [f"coltsfoot-load failed with exit code {load_code}"]
    if not report["planned"] == report["finished"] == len(calls):
        violations.append(f"{report['planned']} calls were planned, {report['finished']} ended, {len(calls)} are "
                          "recorded")
    violations += [f"call {call['call']} has the outcome \"{call['outcome']}\"" for call in calls
                   if call["outcome"] not in OUTCOMES]
    posts = collections.Counter(run["order"] for run in runs if run["method"] == "POST")
    violations += [f"order {order} ran {n} times, limit: once" for order, n in posts.items() if n > 1]
    started = {run["order"] for run in runs}
    for call in calls:
        if call["outcome"] == "run" and call["order"] not in started:
            violations.append(f"order {call['order']} was answered, but no backend server recorded a run of it")
        if call["outcome"] == "not-run" and call["tries"] == 1 and call["order"] in started:
            violations.append(f"order {call['order']} ran although its only attempt had the outcome \"not-run\"")
        if call["crossed"] or (call["outcome"] == "run" and not call["whole"]):
            violations.append(f"order {call['order']} received a wrong or incomplete answer")
    return violations


def main():
    directory = pathlib.Path(tempfile.mkdtemp(prefix="coltsfootwell-demo-"))
    site = Site(directory)
    try:
        if not site.start():
            print(f"tools/demo: the site did not start: a step took longer than {START_TIMEOUT_S} s, or a process ended; "
                  f"see the logs in {directory}", file=sys.stderr)
            return EXIT_NOT_STARTED
        print(f"{len(site.ports)} daemons and backend servers run in {', '.join(DATA_CENTRES)}; "
              f"{CALLS_PER_SECOND} calls/s for {LOAD_DURATION_S} s")
        load_code, events, failed_commands = run_load(site)
    finally:
        site.stop()
    calls = [json.loads(line) for line in (directory / "calls.history").read_text().splitlines()]
    report = json.loads((directory / "report.json").read_text())
    violations = find_violations(calls, site.runs(), report, load_code)
    print_table(calls, events)
    latency = report["latency"]
    print(f"\nLatency of {latency['calls']} calls: p50 {latency['p50Ms']:.1f} ms, p99 {latency['p99Ms']:.1f} ms, "
          f"max {latency['maxMs']:.1f} ms")
    for failure in failed_commands:
        print(f"Not demonstrated: {failure}")
    for violation in violations[:20]:
        print(f"VIOLATION: {violation}")
    print("Every call is accounted for; every order ran at most once." if not violations
          else f"{len(violations)} violations")
    print(f"\nFurther reading:\n  {directory}/plot.svg   latency over time\n  {directory}/report.json   all counts\n"
          "  docs/callers.md   how to call a daemon\n  examples/   configurations with explanations\n"
          "  tutorial/   two lessons")
    return EXIT_VIOLATIONS if violations else 0


if __name__ == "__main__":
    sys.exit(main())
