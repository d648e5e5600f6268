"""A warm server under load becomes cold again. Counts what reaches it in each second while it is cold."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

HOST = "shop.example"
CALLS_PER_S = 100
CLIENTS = 40
COLD_EPISODES = 4
# From the end of one cold time to the begin of the next.
WARM_S = 5.0
LIMIT = s.COLD_PER_S * s.COLD_OVER + s.COLD_SLACK


async def send_calls(record, machines, until):
    """Sends calls at a steady rate over kept connections, with random gaps, until a time."""
    free = [s.Client(record, machine) for machine in machines for _ in range(CLIENTS // len(machines))]
    random.shuffle(free)
    tasks, answers = set(), {}

    async def one(client):
        _, result = await client.request("GET", HOST, f"/stock/{random.randrange(1000)}", 1.2)
        what = result if isinstance(result, str) else str(result.status)
        answers[what] = answers.get(what, 0) + 1
        free.append(client)

    due = time.monotonic()
    while due < until:
        due += random.expovariate(CALLS_PER_S)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        if free:
            tasks.add(task := asyncio.create_task(one(free.pop(0))))
            task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    for client in free:
        client.close()
    return answers


async def make_cold(record, server, first_at):
    """Makes the server cold at moments that do not depend on its heartbeats."""
    await asyncio.sleep(max(0.0, first_at - time.monotonic()))
    for _ in range(COLD_EPISODES):
        await asyncio.sleep(random.uniform(0, s.HEARTBEAT_S))
        server.cold_until = time.monotonic() + s.COLD_START_S
        record.write(f"{server.instance} is cold for {s.COLD_START_S} s")
        await asyncio.sleep(s.COLD_START_S + WARM_S)


def most_in_a_second(times):
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= 1:
            first += 1
        most = max(most, last - first + 1)
    return most


async def play(record):
    site = s.Site({"zone-a": "region-a"}, [("zone-a", "stock"), ("zone-a", "shop")])
    servers = [s.Server(record, site.machines[0], "stock", "i-stock"),
               s.Server(record, site.machines[1], "shop", "i-shop")]
    try:
        await site.start(s.configuration(7, [s.route("r-stock", HOST, "/stock/", "stock")],
                                         ["stock", "shop"]))
        await site.wait_until_ready()
        for server in servers:
            await server.start()
        await asyncio.sleep(5)
        start = time.monotonic()
        # The calls begin a while before, so that the server is warm and busy.
        end = start + 4 + COLD_EPISODES * (s.COLD_START_S + WARM_S + s.HEARTBEAT_S)
        calls = asyncio.create_task(send_calls(record, site.machines, end))
        if s.disruption_enabled():
            await make_cold(record, servers[0], start + 4)
        answers = await calls
    finally:
        for server in servers:
            await server.stop()
        await site.stop()
    cold = [at for at, _, is_cold in servers[0].arrivals if is_cold]
    most = most_in_a_second(cold)
    text = (f"{len(servers[0].arrivals)} requests reached the server, {len(cold)} while it was cold; "
            f"at most {most} of these in one second, {LIMIT:.0f} are allowed; answers: {answers}")
    if answers.get("200", 0) < 0.5 * len(servers[0].arrivals):
        return s.NOT_RUN, "too few answers: " + text
    return (s.BROKEN if most > LIMIT else s.HELD), text


if __name__ == "__main__":
    sys.exit(s.main(FOLDER, play))
