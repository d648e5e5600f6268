"""An operator of a fleet, and a store that comes back from an older copy.

The operator publishes with coltsfootctl. While the store lacks what it has acknowledged, the operator bases changes on what he
has written himself and appends them with the next version: coltsfootctl reads the store, and would use a version number again.
"""

import base64
import copy
import http.client
import json
import re
import subprocess
import threading
import time

import checkers
import fleet

CONTROL_TOPIC = "keyed.control"
CONFIGURATION_KEY = "configuration"
# RULES.md, "Core": this long after the end of a disruption of the store, calm daemons are in touch again, so that bounds hold.
CONTACT_NS = 4_000_000_000
STORE_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1


class Operator:
    """Publishes configurations and data centres out of service; several threads may use it at once.

    accepted: (time in ns, version) of each version that the store has acknowledged, also when it was written again.
    returns: (start, end) in ns of the times for which the store was away before it came back from a copy.
    errors: versions that were published twice; checks by version would not notice what the second one changes.
    """

    def __init__(self, test_fleet):
        self.fleet = test_fleet
        self.accepted = test_fleet.accepted_versions
        self.returns = []
        self.errors = []
        # Guards the members below.
        self.condition = threading.Condition()
        # Runs of coltsfootctl; the store does not return meanwhile, so that what it loses is known.
        self.running = 0
        self.is_returning = False
        # Whether the store has come back from a copy, and what it lacks is not written again yet.
        self.is_behind = False
        # Newest configuration that the store held before it went away.
        self.newest = None

    def set_in_service(self, data_centre, in_service):
        """Returns the exit code of coltsfootctl; see change()."""
        def edit(document):
            document["dataCentres"][data_centre]["inService"] = in_service
        return self.change(edit, "back" if in_service else "out", data_centre)

    def publish(self, edit, path):
        """Publishes the newest configuration with a change.

        edit: function that changes the document, which names the version before. path: file for coltsfootctl.
        """
        held = self.read_newest()
        if not held:
            return 4
        document = held[0]
        edit(document)
        path.write_text(json.dumps(document))
        return self.change(edit, "publish", path)

    def change(self, edit, *arguments):
        """Runs coltsfootctl, or appends the change to the store while that lacks something.

        Returns an exit code of coltsfootctl, or -1 if it does not end because the store does not answer.
        """
        with self.condition:
            self.condition.wait_for(lambda: not self.is_returning)
            if self.is_behind:
                return self._append_change(edit)
            self.running += 1
        try:
            code, text = self.fleet.run_coltsfootctl(*arguments)
        except subprocess.TimeoutExpired:
            code, text = -1, ""
        finally:
            with self.condition:
                self.running -= 1
                self.condition.notify_all()
        if match := re.search(r"accepted version (\d+)", text):
            with self.condition:
                self._accept_first(int(match.group(1)))
        return code

    def return_from_copy(self, away_s, how):
        """Makes the store go away and come back from the copy that it has taken; returns whether it did.

        how: what callers meet while it is away, "reset" or "silent".
        """
        with self.condition:
            self.condition.wait_for(lambda: not self.is_returning)
            self.is_returning = True
            self.condition.wait_for(lambda: self.running == 0)
            try:
                return self._return_from_copy(away_s, how)
            finally:
                self.is_returning = False
                self.condition.notify_all()

    def write_again(self):
        """Writes what the store lacks since its return; returns whether it holds it then."""
        end = time.monotonic() + fleet.START_TIMEOUT_S
        while time.monotonic() < end:
            with self.condition:
                if not self.is_behind or self._write_newest():
                    return True
            time.sleep(RETRY_PAUSE_S)
        return False

    def due_ns(self, accepted_ns):
        """Returns the time from which a version that was accepted at a time must be in force everywhere.

        RULES.md, "In touch": bounds hold for machines in touch, thus with a store that is stable.
        """
        due = accepted_ns + checkers.PROPAGATION_LIMIT_NS
        return max([due] + [end + CONTACT_NS for start, end in self.returns if start < due])

    def read_newest(self):
        """Returns the newest configuration in the store and the end of the topic, or None."""
        try:
            status, body = self._call("GET", "/log-newest", "")
            document = json.loads(body) if status == 200 else None
        except (OSError, http.client.HTTPException, ValueError):
            return None
        values = [item["value"] for item in document["items"] if item["key"] == CONFIGURATION_KEY] if document else []
        return (json.loads(base64.b64decode(values[0])), document["end"]) if values else None

    def _return_from_copy(self, away_s, how):
        # The store may be paused, or have a fault that answers nothing.
        end = time.monotonic() + fleet.START_TIMEOUT_S
        while time.monotonic() < end:
            self.fleet.set_store_faults()
            held = self.read_newest()
            if held and (not self.is_behind or held[0]["version"] > self.newest["version"]):
                self.newest = held[0]
            if held:
                start_ns = time.monotonic_ns()
                self.is_behind = True
                if self.fleet.set_store_faults(restoreCopy={"awayMs": int(away_s * 1000), "how": how}):
                    self.returns.append((start_ns, time.monotonic_ns() + int(away_s * 1e9)))
                    return True
            time.sleep(RETRY_PAUSE_S)
        return False

    def _append_change(self, edit):
        held = self.read_newest()
        if not held:
            return 4
        document = copy.deepcopy(max(self.newest, held[0], key=lambda other: other["version"]))
        edit(document)
        document["version"] += 1
        status = self._append(document, held[1])
        if status == 200:
            self.newest = document
            self.is_behind = False
            self._accept_first(document["version"])
        return {200: 0, 412: 3}.get(status, 4)

    def _write_newest(self):
        held = self.read_newest()
        if not held:
            return False
        if held[0]["version"] < self.newest["version"] and self._append(self.newest, held[1]) != 200:
            return False
        self.is_behind = False
        self.accepted.append((time.monotonic_ns(), max(held[0]["version"], self.newest["version"])))
        return True

    def _accept_first(self, version):
        if version in {other for _, other in self.accepted}:
            self.errors.append(f"the store has acknowledged version {version} a second time")
        self.accepted.append((time.monotonic_ns(), version))

    def _append(self, document, end):
        key, value = CONFIGURATION_KEY.encode(), json.dumps(document).encode()
        record = bytes([len(key)]) + key + value
        try:
            return self._call("POST", "/log-append", f"&at={end}", len(record).to_bytes(4, "big") + record)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def _call(self, method, path, query, body=b""):
        connection = http.client.HTTPConnection("127.0.0.1", self.fleet.store_port, timeout=STORE_TIMEOUT_S)
        try:
            connection.request(method, f"{path}?topic={CONTROL_TOPIC}&part=0{query}", body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()


def take_copy(test_fleet):
    """Makes the store take a copy to come back from; returns whether it did. Other faults of the store end."""
    return test_fleet.set_store_faults(takeCopy=True)


def late_daemons(test_fleet, version, due_ns):
    """Waits until a version is in force in all daemons, at most until a time; returns a violation for each that lacks it then."""
    while True:
        in_force = {daemon: found for _, daemon, _, found in test_fleet.sample_versions()}
        violations = [f"{daemon.name} has version {in_force.get(daemon.name)} in force, newest accepted version: {version}"
                      for daemon in test_fleet.daemons.values() if in_force.get(daemon.name, 0) < version]
        if not violations or time.monotonic_ns() > due_ns:
            return violations
        time.sleep(0.1)
