"""Guards against a daemon that a SIGHUP ends before its start is complete. The platform sends one whenever the settings change,
also to a process that has just started."""

import os
import signal
import subprocess
import sys
import tempfile
import time

import fleet

START_TIMEOUT_S = 10.0
SIGNAL_EFFECT_S = 0.5


def open_for_writing(path):
    """Returns the writing end of a named pipe once the daemon reads it, or None if it does not."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(0.01)
    return None


def main():
    with tempfile.TemporaryDirectory(prefix="coltsfootwell-fault-") as directory:
        # The daemon waits for its settings as long as the pipe is open and empty.
        path = os.path.join(directory, "settings.json")
        os.mkfifo(path)
        child = subprocess.Popen([fleet.BUILD / "coltsfootd", "--settings", path], stdin=subprocess.DEVNULL)
        try:
            writer = open_for_writing(path)
            if writer is None:
                print("the daemon does not read its settings")
                return 1
            child.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_EFFECT_S)
            code = child.poll()
        finally:
            child.kill()
            child.wait()
    print("the daemon lives" if code is None else f"SIGHUP at its start ended the daemon with the code {code}")
    return 0 if code is None else 1


if __name__ == "__main__":
    sys.exit(main())
