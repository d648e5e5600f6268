"""Checkers for the promises, which are the numbered guarantees that the load balancer gives its users.

Each checker takes the recorded calls and events of a test and returns a list of violations as text.

calls: records of callers.py. events: entries of the histories of the stand-in backend servers, as
Fleet.run_events() returns them; the event "begin" records the start of a run. Times are nanoseconds of the host's
monotonic clock.
"""

from collections import defaultdict

# Maximum time from the acceptance of a change until all daemons apply it.
PROPAGATION_LIMIT_NS = 3_000_000_000


def started_runs(events):
    return [event for event in events if event["event"] == "begin"]


def at_most_once(calls, events):
    """Promise 7: a non-idempotent request runs at most once."""
    run_counts = defaultdict(int)
    for run in started_runs(events):
        if run["method"] == "POST":
            run_counts[run["order"]] += 1
    return [f"order {order} ran {n} times, limit: 1" for order, n in run_counts.items() if n > 1]


def not_run_refusals_are_true(calls, events):
    """Promise 6: a request whose outcome is reported as "not run" has not run."""
    run_starts = defaultdict(list)
    for run in started_runs(events):
        run_starts[run["order"]].append(run["ns"])
    by_order = defaultdict(list)
    for call in calls:
        by_order[call["order"]].append(call)
    violations = []
    for order, order_calls in by_order.items():
        possibly_run = [call for call in order_calls if call["outcome"] != "not-run"]
        earliest = min((call["start"] for call in possibly_run), default=None)
        for ns in run_starts[order]:
            if earliest is None or ns < earliest:
                violations.append(f"order {order} ran at {ns} ns although its caller received \"not run\"")
    return violations


def answers_match_requests(calls, events, expected):
    """Promise 5: a caller receives the complete answer to its own request.

    expected: length and hash of the request body by kind of request.
    """
    violations = []
    for call in calls:
        if call["status"] != 200 or not call["complete"]:
            continue
        echo = call["echo"] or {}
        if echo.get("order") != call["order"]:
            violations.append(f"order {call['order']} got the answer of order {echo.get('order')}")
        elif call["method"] == "POST" and (echo.get("length"), echo.get("hash")) != expected[call["kind"]]:
            violations.append(f"order {call['order']}: received a body of {echo.get('length')} bytes with hash "
                              f"{echo.get('hash')}, expected (length, hash) {expected[call['kind']]}")
    return violations


def long_answers_are_whole(calls):
    """Promise 5: an answer that ends as a complete one has all the bytes that the backend server has sent.

    A connection that breaks within an answer is no violation.
    """
    return [f"order {call['order']} got a complete answer of {call['received']} bytes"
            f"{', altered on the way' if call['altered'] else ''}, sent by the server: {call['requested']}"
            for call in calls
            if "requested" in call and call["status"] == 200 and call["complete"]
            and (call["received"] != call["requested"] or call["altered"])]


def memory_within_limit(peaks_mb, max_mb):
    """No process takes more memory than its host has for it, which would end it with all its calls.

    peaks_mb: largest resident memory by process.
    """
    return [f"{process} took {peak_mb:.0f} MB, limit: {max_mb} MB" for process, peak_mb in peaks_mb.items() if peak_mb > max_mb]


def daemons_list_each_other(listed_by_daemon):
    """Daemons find each other among the records of hosts that are gone, and list none of these.

    listed_by_daemon: addresses that each living daemon lists, by its own address; None without an answer.
    """
    living = set(listed_by_daemon)
    return [f"the daemon at {address} lists " + ("nothing" if listed is None else
            f"{sorted(living - set(listed))} not, and {sorted(set(listed) - living)} which are gone")
            for address, listed in listed_by_daemon.items() if listed is None or set(listed) != living]


def no_run_after_removal(events, field, value, removed_ns, restored_ns=None):
    """Promises 3 and 8: no run starts more than 3 s after its data centre or backend server was taken out of service.

    field, value: event field and its value that identify the data centre or backend server. removed_ns: time at
    which the removal was accepted. restored_ns: time from which runs are allowed again; None for never.
    """
    return [f"order {run['order']} ran at {field} {value} {(run['ns'] - removed_ns) / 1e9:.2f} s after its removal, limit: 3 s"
            for run in started_runs(events)
            if run[field] == value and run["ns"] > removed_ns + PROPAGATION_LIMIT_NS
            and (restored_ns is None or run["ns"] < restored_ns)]


def versions_in_force(samples, accepted):
    """Promise 10: a configuration version is in force everywhere within 3 s of its acceptance, and no process reverts to
    an older one.

    samples: (ns, daemon, incarnation, version); accepted: (ns, version) in ascending order. An empty list of accepted
    versions limits the check to reversions.
    """
    violations = []
    highest = {}
    for ns, daemon, incarnation, version in sorted(samples):
        process = (daemon, incarnation)
        if version < highest.get(process, 0):
            violations.append(f"{daemon} reverted from version {highest[process]} to {version}")
        highest[process] = max(version, highest.get(process, 0))
        required = max((v for accepted_ns, v in accepted if ns > accepted_ns + PROPAGATION_LIMIT_NS), default=0)
        if version < required:
            violations.append(f"{daemon} has version {version} in force {PROPAGATION_LIMIT_NS / 1e9:.0f} s after "
                              f"version {required} was accepted")
    return violations


def routes_stay_known(calls):
    """Promise 10: a daemon refuses no route that every published version has; one that knows no version answers 503."""
    return [f"order {call['order']} at port {call['port']} was answered with 404 {call['reason']}"
            for call in calls if call["status"] == 404]


def planned_stop_interrupts_no_call(calls, port, stop_ns):
    """Promise 9: a planned stop neither interrupts a call that reached the stopping daemon nor makes its outcome unknown.

    port: entry port of the daemon. stop_ns: time of the stop signal.
    """
    return [f"order {call['order']} through the stopping daemon ended with {call['error'] or call['outcome']}"
            for call in calls
            if call["port"] == port and call["connected"] and call["end"] > stop_ns
            and (call["error"] or call["outcome"] == "unknown")]


def cold_servers_not_overloaded(events, cold_slots):
    """Promise 2: a cold backend server gets at most cold_slots calls at once and does not fail under overload."""
    violations = [f"cold backend server at {run['daemon']} had {run['inUse']} calls in progress, limit: {cold_slots}"
                  for run in started_runs(events) if run["state"] == "cold" and run["inUse"] > cold_slots]
    return violations + [f"cold backend server at {event['daemon']} failed under overload"
                         for event in events if event["event"] == "fell"]


def runs_stay_in_home_regions(order_prefix, home_daemons, events, stored_texts):
    """Promise 4: a call with home regions runs only there, and no data of it is stored elsewhere.

    order_prefix: prefix of the orders of such calls. home_daemons: names of the daemons in the home regions.
    stored_texts: by name, all text that daemons outside the home regions store or log.
    """
    violations = [f"order {run['order']} ran at {run['daemon']}, outside its home regions"
                  for run in started_runs(events) if run["order"].startswith(order_prefix) and run["daemon"] not in home_daemons]
    return violations + [f"{name} contains data of an order {order_prefix}" for name, text in stored_texts.items()
                         if order_prefix in text]


def probes_within_budget(probe_count, seconds, max_per_second):
    """Promise 1: probes stay within their budget, with a tolerance of one for a probe at the edge of the interval."""
    limit = max_per_second * seconds + 1
    return [] if probe_count <= limit else [f"{probe_count} probes in {seconds:.1f} s, limit: {limit:.0f}"]
