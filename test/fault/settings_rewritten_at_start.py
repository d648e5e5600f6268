"""Guards against a daemon that ends because its settings file is being rewritten at the moment of its start: the file is empty,
cut or missing for a part of a second."""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import fleet

BASE_PORT = 23_400
REWRITE_S = 0.3
SETTLE_S = 3.0


def outcome(directory, case, port):
    """Starts a daemon while its settings file has the content of the case; returns its exit code, or None if it runs."""
    settings = json.dumps({"id": case, "region": "r", "dataCentre": "d", "listen": f"127.0.0.1:{port}"})
    path = pathlib.Path(directory, f"{case}.json")
    if case != "missing":
        path.write_text({"whole": settings, "empty": "", "cut": settings[:len(settings) // 2]}[case])
    child = subprocess.Popen([fleet.BUILD / "coltsfootd", "--settings", path], stdout=subprocess.DEVNULL,
                             stdin=subprocess.DEVNULL)
    try:
        time.sleep(REWRITE_S)
        path.write_text(settings)
        time.sleep(SETTLE_S)
        return child.poll()
    finally:
        child.kill()
        child.wait()


def main():
    with tempfile.TemporaryDirectory(prefix="coltsfootwell-fault-") as directory:
        codes = {case: outcome(directory, case, BASE_PORT + 2 * i) for i, case in enumerate(("whole", "empty", "cut", "missing"))}
    for case, code in codes.items():
        print(f"{case}: {'runs' if code is None else f'ended with the code {code}'}")
    return 0 if all(code is None for code in codes.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
