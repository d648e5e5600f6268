"""Tests that the stand-ins keep what other tests rest on.

Store: appends with conditions, reads that wait, the newest records, trimmed and forgotten history, rate limits, outage,
slowness, lost answers, calls that are refused at one address and served at another, and the return from a copy. Backend
server: each answer repeats the id of its request, by which the daemon tells answers apart.
"""

import base64
import http.client
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

BUILD = pathlib.Path(os.environ.get("BUILD_DIR", "build"))
FIRST, SECOND, PORT, BACKEND_PORT = "127.0.0.1", "127.0.0.2", 18_990, 18_991
TOPIC = "?topic=keyed.t&part=0"


def call(method, target, body=b"", address=FIRST, timeout=3.0):
    """Returns status and body; status 0 if there was no answer."""
    connection = http.client.HTTPConnection(address, PORT, timeout=timeout)
    try:
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def record(key, value):
    content = bytes([len(key)]) + key.encode() + value.encode()
    return len(content).to_bytes(4, "big") + content


def append(key, value, condition="", address=FIRST):
    status, body = call("POST", "/log-append" + TOPIC + condition, record(key, value), address)
    return status, json.loads(body) if body.startswith(b"{") else {}


def read(offset, wait_ms=0):
    """Returns status, end, first retained offset and the bytes of the records."""
    status, body = call("GET", f"/log-read{TOPIC}&from={offset}&waitMs={wait_ms}")
    return status, int.from_bytes(body[:8], "big"), int.from_bytes(body[8:16], "big"), body[16:]


def newest():
    document = json.loads(call("GET", "/log-newest" + TOPIC)[1])
    return {item["key"]: base64.b64decode(item["value"]).decode() for item in document["items"]}


def set_faults(**faults):
    check("a fault is accepted", call("POST", "/fault", json.dumps(faults).encode())[0], 200)


FAILED = []


def check(what, found, expected):
    if found != expected:
        FAILED.append(what)
        print(f"FAILED: {what}: found {found}, expected {expected}")


def check_calls():
    check("first append", append("a", "1"), (200, {"offset": 0, "end": 1}))
    check("append at the end", append("b", "2", "&at=1"), (200, {"offset": 1, "end": 2}))
    check("append elsewhere", append("b", "3", "&at=1"), (412, {"end": 2}))
    check("malformed records", call("POST", "/log-append" + TOPIC, b"\0\0\0\x09a")[0], 400)
    check("read", read(0), (200, 2, 0, record("a", "1") + record("b", "2")))
    check("newest records", newest(), {"a": "1", "b": "2"})
    check("deletion of a key", append("a", "")[0], 200)
    check("newest records after a deletion", newest(), {"b": "2"})
    start = time.monotonic()
    check("read that waits", read(3, 300), (200, 3, 0, b""))
    check("the read has waited", time.monotonic() - start >= 0.3, True)


def check_history():
    check("trim", call("POST", "/log-trim" + TOPIC + "&before=2")[0], 200)
    check("read of trimmed records", read(1)[0], 410)
    check("read of retained records", read(2), (200, 3, 2, record("a", "")))
    check("trim without an offset", call("POST", "/log-trim" + TOPIC)[0], 400)
    set_faults(forgetHistory=True)
    check("read of forgotten records", read(2)[0], 410)
    check("newest records after the history was forgotten", newest(), {"b": "2"})


def check_faults():
    set_faults(writesPerSecond=2)
    check("appends beyond the rate", sorted(append("r", str(n))[0] for n in range(3)), [200, 200, 429])
    check("a read beside them", call("GET", "/log-newest" + TOPIC)[0], 200)
    set_faults(readsPerSecond=1)
    statuses = sorted(call("GET", "/log-newest" + TOPIC)[0] for _ in range(2))
    check("reads beyond the rate", statuses, [200, 429])
    set_faults(refuseAt=[SECOND])
    check("append at a refused address", append("h", "1", address=SECOND)[0], 503)
    check("append at another address", append("h", "1")[0], 200)
    set_faults(down="busy")
    check("append in an outage", append("o", "1")[0], 503)
    set_faults(down="reset")
    check("append with a reset", append("o", "1")[0], 0)
    set_faults(down="silent")
    check("append without an answer", call("POST", "/log-append" + TOPIC, record("o", "1"), timeout=0.3)[0], 0)
    set_faults(loseAnswers=1)
    check("append whose answer is lost", append("l", "1")[0], 0)
    check("the append was executed", newest().get("l"), "1")
    set_faults(delayMs=200)
    start = time.monotonic()
    check("slow append", append("s", "1")[0], 200)
    check("the append was slow", time.monotonic() - start >= 0.2, True)


def epoch(address=FIRST):
    """Returns the epoch that an answer of the store names."""
    connection = http.client.HTTPConnection(address, PORT, timeout=3)
    try:
        connection.request("GET", "/log-newest" + TOPIC)
        return connection.getresponse().getheader("Store-Era")
    finally:
        connection.close()


def restore_copy(away_ms, how):
    set_faults(restoreCopy={"awayMs": away_ms, "how": how})


def wait_until_back():
    """Waits until the store answers; returns the time that passed."""
    start = time.monotonic()
    while call("GET", "/log-newest" + TOPIC, timeout=0.2)[0] != 200 and time.monotonic() < start + 5:
        time.sleep(0.01)
    return time.monotonic() - start


def long_poll(offset, wait_ms, timeout):
    """Starts a read that waits; returns a function that waits for its status and for the time that it took."""
    result = []

    def run():
        start = time.monotonic()
        status = call("GET", f"/log-read{TOPIC}&from={offset}&waitMs={wait_ms}", timeout=timeout)[0]
        result.extend((status, time.monotonic() - start))
    thread = threading.Thread(target=run)
    thread.start()
    time.sleep(0.2)

    def finish():
        thread.join()
        return result
    return finish


def check_copy():
    check("return without a copy", call("POST", "/fault", b'{"restoreCopy": {"awayMs": 0, "how": "reset"}}')[0], 400)
    check("first epoch", epoch(), "1")
    end = append("c", "kept")[1]["end"]
    set_faults(takeCopy=True)
    append("c", "lost")
    append("d", "lost")
    wait = long_poll(end + 2, 3000, timeout=4)
    kept = http.client.HTTPConnection(FIRST, PORT, timeout=3)
    kept.request("GET", "/log-newest" + TOPIC)
    kept.getresponse().read()
    restore_copy(300, "reset")
    set_faults()
    check("append while the store is away", append("c", "away")[0], 0)
    check("the store is away for its time", 0.2 <= wait_until_back() <= 1.0, True)
    status, waited = wait()
    check("a read that waited is reset", (status, waited < 2), (0, True))
    try:
        kept.request("GET", "/log-newest" + TOPIC)
        check("a kept connection is reset", kept.getresponse().status, 0)
    except (OSError, http.client.HTTPException):
        pass
    check("epoch after the return", epoch(), "2")
    check("newest records after the return", (newest()["c"], newest().get("d")), ("kept", None))
    check("read beyond the end", call("GET", f"/log-read{TOPIC}&from={end + 1}&waitMs=3000"),
          (410, b'{"first":%d}' % read(end)[2]))
    start = time.monotonic()
    check("read from the end", read(end, 300)[:2], (200, end))
    check("the read from the end has waited", time.monotonic() - start >= 0.3, True)
    check("an offset is given out again", append("c", "again"), (200, {"offset": end, "end": end + 1}))
    wait = long_poll(end + 1, 3000, timeout=1)
    restore_copy(300, "silent")
    check("append to the silent store", call("POST", "/log-append" + TOPIC, record("c", "away"), timeout=0.1)[0], 0)
    check("the store is silent for its time", 0.1 <= wait_until_back() <= 1.0, True)
    check("a read that waited gets no answer", wait()[1] >= 1, True)
    check("epoch after the second return", epoch(), "3")
    check("the copy stays", newest()["c"], "kept")


def counts():
    return json.loads(call("GET", "/fault")[1])


def check_counts():
    before = counts()
    append("n", "1")
    read(0)
    read(0)
    newest()
    after = counts()
    check("counted calls", [after[kind] - before[kind] for kind in ("writes", "reads", "newestReads")], [1, 2, 1])
    set_faults(down="reset")
    append("n", "1")
    set_faults()
    check("a call without an answer is counted", counts()["writes"] - after["writes"], 1)


def check_request_ids():
    command = [BUILD / "coltsfoot-backend", "--port", str(BACKEND_PORT), "--service-ms", "1", "--daemon", f"{FIRST}:{PORT}"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as backend:
        try:
            backend.stdout.readline()
            for target in ("/x?order=1", "/x?order=2&bytes=100000&stream=1"):
                connection = http.client.HTTPConnection(FIRST, BACKEND_PORT, timeout=3)
                connection.request("GET", target, headers={"Coltsfootwell-Request": "r-7"})
                answer = connection.getresponse()
                answer.read()
                check(f"status of {target}", answer.status, 200)
                check(f"request id of the answer to {target}", answer.getheader("Coltsfootwell-Request"), "r-7")
                connection.request("GET", target)
                check("no id without a request id", connection.getresponse().getheader("Coltsfootwell-Request"), None)
                connection.close()
        finally:
            backend.terminate()


def main():
    command = [BUILD / "coltsfoot-store", "--listen", f"{FIRST}:{PORT}", f"{SECOND}:{PORT}"]
    with subprocess.Popen(command) as store:
        try:
            deadline = time.monotonic() + 10
            while call("GET", "/log-newest" + TOPIC)[0] != 200 and time.monotonic() < deadline:
                time.sleep(0.05)
            check_calls()
            check_history()
            check_faults()
            check_copy()
            check_counts()
            check_request_ids()
        finally:
            store.terminate()
    print(f"{len(FAILED)} checks of the stand-ins failed")
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())
