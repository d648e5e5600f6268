#!/usr/bin/env python3
"""Guards against an accepted configuration that is not in force everywhere within 3 s, against a
publish whose outcome is unknown after a lost answer, and against a daemon that cannot start while
the log is down. Runs the real processes on loopback; takes the build folder as its argument."""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

LOG = "127.0.0.1:13300"
PORTS = [13301, 13302, 13303]
IN_FORCE_LIMIT_S = 3.0

CONFIGURATION = {
    "version": 1,
    "logRegion": "klang",
    "dataCentres": {"klang-a": {"region": "klang"}, "klang-b": {"region": "klang"}},
    "services": {"bookings": {"slots": 12}},
    "routes": [{"prefix": "/bookings", "service": "bookings"}],
}


class Processes:
    """Starts the processes of one run and ends them, and only them."""

    def __init__(self, build, folder):
        self.build, self.folder, self.running = build, folder, {}

    def start(self, name, program, *arguments):
        output = open(os.path.join(self.folder, name + ".log"), "ab")
        command = [os.path.join(self.build, program), *arguments]
        self.running[name] = subprocess.Popen(command, stdout=output, stderr=output)
        output.close()

    def start_log(self):
        self.start("log", "coltsfoot-log", "--listen", LOG)

    def start_daemon(self, port):
        path = os.path.join(self.folder, f"{port}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({
                "id": f"daemon-{port}",
                "region": "klang",
                "dataCentre": "klang-b" if port == PORTS[-1] else "klang-a",
                "listen": f"127.0.0.1:{port}",
                "seeds": [f"127.0.0.1:{other}" for other in PORTS],
                "log": {"address": LOG},
            }, file)
        self.start(f"daemon-{port}", "coltsfootd", "--settings", path)

    def end(self, name, kill=False):
        process = self.running.pop(name)
        process.kill() if kill else process.terminate()
        code = process.wait(timeout=10)
        if not kill and code != 0:
            raise AssertionError(f"{name} ended with {code}")

    def end_all(self):
        for process in self.running.values():
            process.kill()
            process.wait()

    def control(self, *arguments, stdin=None):
        command = [os.path.join(self.build, "coltsfootctl"), "--log", LOG, *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        print("$ coltsfootctl", *arguments, "->", result.returncode, result.stdout.strip()[:200],
              result.stderr.strip()[:200], flush=True)
        return result

    def publish(self, configuration, *options):
        path = os.path.join(self.folder, "configuration.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(configuration, file)
        return self.control("publish", path, *options)


def status(port):
    url = f"http://127.0.0.1:{port}/coltsfootwell/status"
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return json.load(answer)
    except (OSError, ValueError):
        return None


def wait_for(what, condition, limit_s):
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > limit_s:
            raise AssertionError(f"{what}: not within {limit_s} s; {[status(p) for p in PORTS]}")
        time.sleep(0.02)
    return time.monotonic() - start


def in_force(version, ports=PORTS):
    found = [status(port) for port in ports]
    return all(one and one["version"] == version for one in found)


def expect(code, result):
    if result.returncode != code:
        raise AssertionError(f"exit code {result.returncode}, expected {code}: {result.stderr}")


def run(processes):
    processes.start_log()
    for port in PORTS:
        processes.start_daemon(port)
    wait_for("daemons answer", lambda: all(status(port) for port in PORTS), 5)

    expect(0, processes.publish(CONFIGURATION, "--wait", "3"))
    times = []
    for version in range(2, 12):
        CONFIGURATION["services"]["bookings"]["slots"] = version
        CONFIGURATION["version"] = version
        start = time.monotonic()
        expect(0, processes.publish(CONFIGURATION))
        wait_for("in force", lambda v=version: in_force(v), IN_FORCE_LIMIT_S)
        times.append(time.monotonic() - start)
    print(f"in force everywhere after at most {max(times) * 1000:.0f} ms from the command's start",
          flush=True)

    CONFIGURATION["version"] = 10
    conflict = processes.publish(CONFIGURATION, "--author", "late")
    expect(3, conflict)
    if "version 11" not in conflict.stderr:
        raise AssertionError("the conflict does not name the version in force")
    CONFIGURATION["services"]["bookings"]["slots"] = 0
    expect(2, processes.publish(CONFIGURATION))

    faults = [os.path.join(processes.build, "coltsfoot-log"), "--set-faults", "--listen", LOG]
    subprocess.run([*faults, "--lose-answers", "1"], check=True, timeout=10)
    expect(0, processes.control("out", "klang-b", "--wait", "3"))
    subprocess.run([*faults, "--unavailable"], check=True, timeout=10)
    expect(4, processes.control("back", "klang-b"))
    subprocess.run(faults, check=True, timeout=10)
    if status(PORTS[0])["version"] != 12:
        raise AssertionError("a refused append has had an effect")

    processes.end("log", kill=True)
    expect(4, processes.control("back", "klang-b"))
    processes.end(f"daemon-{PORTS[1]}", kill=True)
    processes.start_daemon(PORTS[1])
    wait_for("restarted daemon knows the version", lambda: in_force(12), 5)

    # The new log has lost all records; readers write the version in force back.
    processes.start_log()
    wait_for("fresh again", lambda: all(status(port)["fresh"] for port in PORTS), 8)
    wait_for("the new log names all daemons",
             lambda: processes.control("status").stdout.count(" fresh") == len(PORTS), 5)
    back = processes.control("back", "klang-b", "--wait", "3")
    expect(0, back)
    if "on 3 daemons" not in back.stdout:
        raise AssertionError("the new log does not name all daemons")
    if not in_force(13):
        raise AssertionError("the version after the loss is not 13")
    for name in [*processes.running]:
        processes.end(name)


def main():
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(sys.argv[1], folder)
        try:
            run(processes)
        finally:
            processes.end_all()
    print("passed")


if __name__ == "__main__":
    main()
