"""A restarted daemon forgets that its worker has said it leaves. See claim.txt."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import site_on_loopback as site_module  # noqa: E402

ZONES = {"recife-a": "nordeste-litoral", "salvador-b": "nordeste-litoral"}
ROUTE_TIMEOUT_S = 1.2
DEADLINE_MS = 2500
ORDERS_PER_S = 40
# Seconds from the worker's last heartbeat before it leaves to the arrival of that heartbeat at the daemon.
HEARTBEAT_DELAY_S = 2.0
# A worker takes a heartbeat without an answer for lost after this time.
ACK_TIMEOUT_S = 1.0
# Seconds for which the worker serves on after its DELETE was answered.
SERVES_ON_S = 9.0


class Orders:
    """Clients of one machine, which send non-idempotent orders at a fixed rate, each on a new connection."""

    def __init__(self, record, machine):
        self.record, self.machine = record, machine
        self.answers = {}
        self.sent = {}
        self.stopped = threading.Event()
        self.threads = []

    def run(self):
        n = 0
        while not self.stopped.wait(1 / ORDERS_PER_S):
            n += 1
            thread = threading.Thread(target=self.send, args=(f"order-{n}",))
            thread.start()
            self.threads.append(thread)

    def start(self):
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def send(self, request_id):
        self.sent[request_id] = time.monotonic()
        status, headers, _ = site_module.exchange(self.machine.outbound, "POST", "/order/x", b"order",
                                                  site_module.request_headers(request_id, DEADLINE_MS))
        self.answers[request_id] = status
        self.record.write(f"client: {request_id} sent {time.monotonic() - self.sent[request_id]:.3f} s ago got {status}")

    def stop(self):
        self.stopped.set()
        self.thread.join()
        for thread in self.threads:
            thread.join()


def main():
    record = site_module.Record(HERE)
    site = site_module.Site(record, ZONES)
    orders = None
    try:
        entry = site.add_machine("m1", "recife-a", "estoque-consulta")
        leaving_machine = site.add_machine("m2", "recife-a", "pedidos")
        staying_machine = site.add_machine("m3", "salvador-b", "pedidos")
        site_module.Worker(site, entry)
        leaving = site_module.Worker(site, leaving_machine)
        site_module.Worker(site, staying_machine)
        site.start(site_module.configuration(
            3, [site_module.route("r1", "/order/", "pedidos", "non_idempotent", ROUTE_TIMEOUT_S)],
            ["pedidos", "estoque-consulta"]))
        site.wait_for(lambda: site_module.exchange(entry.outbound, "POST", "/order/x", b"x",
                                                   site_module.request_headers("warm-up", 1500))[0] == 200, "orders are served")
        orders = Orders(record, entry)
        orders.start()
        time.sleep(3)
        restarted_at = None
        if site_module.trouble_enabled():
            leaving_machine.send_signal(signal.SIGTERM)
            leaving_machine.process.wait()
            time.sleep(site_module.RESTART_DELAY_S)
            leaving.beating = False
            leaving_machine.start()
            site.wait_for(leaving_machine.is_ready, "the restarted daemon is ready")
            restarted_at = time.monotonic()
        leaving.beating = False
        # The worker's last heartbeat is on its way for seconds. Without an answer, the worker goes on after a second.
        late = leaving.heartbeat_body()
        record.write(f"worker {leaving.instance}: sends its last heartbeat, which is late")
        arrival = threading.Timer(HEARTBEAT_DELAY_S, lambda: record.write(
            f"the late heartbeat arrives and is answered with {leaving.send_heartbeat(late)}"))
        arrival.start()
        time.sleep(ACK_TIMEOUT_S)
        status, acknowledged_at = leaving.send_delete()
        if status != 200:
            record.result(f"the DELETE was answered with {status}")
            return 2
        leaving.state = "draining"
        time.sleep(max(0.0, acknowledged_at + SERVES_ON_S - time.monotonic()))
        ended_at = time.monotonic()
        leaving.stop()
        record.write(f"worker {leaving.instance}: exits")
        time.sleep(2)
        orders.stop()
        return judge(record, orders, leaving, acknowledged_at, restarted_at, ended_at)
    except RuntimeError as error:
        record.result(str(error))
        return 2
    finally:
        if orders and not orders.stopped.is_set():
            orders.stop()
        site.stop()


def judge(record, orders, leaving, acknowledged_at, restarted_at, ended_at):
    """The rule DRAIN: requests that reach the worker later than drainS, sent on by machines in touch."""
    bounds = site_module.BOUNDS
    from_s = acknowledged_at + bounds["drainS"]
    if restarted_at is not None:
        from_s = max(from_s, restarted_at + bounds["contactS"])
    late = [(request_id, at) for request_id, at in leaving.runs if at > from_s]
    if late:
        record.result(f"DRAIN: {len(late)} orders reached {leaving.instance} later than {bounds['drainS']} s after its DELETE "
                      f"was acknowledged, up to {late[-1][1] - acknowledged_at:.2f} s, with both machines in touch")
    dropped = [request_id for request_id, how in leaving.ended if how == "dropped"]
    record.result(f"{len(dropped)} orders were at work when the worker exited {ended_at - acknowledged_at:.2f} s after the "
                  f"acknowledgement, their clients got {sorted(orders.answers.get(request_id, 0) for request_id in dropped)}")
    record.result(f"{len(orders.answers)} orders: " + ", ".join(
        f"{list(orders.answers.values()).count(status)} got {status}" for status in sorted(set(orders.answers.values()))))
    return 1 if late else 0


sys.exit(main())
