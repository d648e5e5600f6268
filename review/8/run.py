"""The machines that read the store are cut off from it. The others must still apply a new configuration."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

HOST = "shop.example"
CONFIG_APPLY_S = 2.5
CUT_S = 5.5
CYCLES = 5
# From the end of a cut to the next storm: longer than contactS (4 s).
CALM_S = 6.0
# A storm of configurations, as in the list of troubles of kk-mesh.
STORM_S, STORM_GAP_S = 4.0, 0.33
# The zone lies in the region that the store is not in: 30 ms each way.
STORE_DELAY_S = 0.03


class StoreLink:
    """The link of one machine to the store. A cut is silent: nothing passes, nothing is closed."""

    def __init__(self, machine, store):
        self.machine, self.store = machine, store
        self.open = asyncio.Event()
        self.open.set()
        self.last_read_at = 0.0
        self._server = None
        self.address, self.port = f"127.{machine.site.net}.2.{machine.address.split('.')[3]}", store.port
        machine.store_endpoint = f"{self.address}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    async def stop(self):
        if self._server:
            self._server.close()

    async def _serve(self, reader, writer):
        await self.open.wait()
        try:
            store_reader, store_writer = await asyncio.open_connection(self.store.address, self.store.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(reader, store_writer, True), self._copy(store_reader, writer, False))

    async def _copy(self, reader, writer, to_store):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(STORE_DELAY_S)
                await self.open.wait()
                if to_store and b"GET /log-read?topic=keyed.op" in data and b"waitMs=0&" not in data:
                    self.last_read_at = time.monotonic()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def routes(version):
    """Each version adds one route."""
    return [s.route(f"r-{n}", HOST, f"/v{n}/", "stock") for n in range(1, version + 1)]


async def publish(record, site, version):
    await site.store.put("keyed.op", "config", s.json.dumps(
        s.configuration(version, routes(version), ["stock"])).encode())
    record.write(f"version {version} is acknowledged")
    return time.monotonic()


async def ask(record, machine, version):
    client = s.Client(record, machine)
    _, result = await client.request("GET", HOST, f"/v{version}/x", 1.2)
    client.close()
    return result if isinstance(result, str) else result.status


async def watch(record, machine, version, acknowledged, until):
    """Asks a machine on the new route. Returns the time after the acknowledgement of the last request that
    was refused since the route is unknown, 0 if there is none."""
    last = 0.0
    while time.monotonic() < until:
        sent = time.monotonic()
        if await ask(record, machine, version) == 404:
            last = sent - acknowledged
        await asyncio.sleep(0.04)
    return last


async def play(record):
    site = s.Site({"zone-a": "region-a"}, [("zone-a", "stock")] * 4)
    servers = [s.Server(record, machine, "stock", f"i-{number}")
               for number, machine in enumerate(site.machines)]
    links = [StoreLink(machine, site.store) for machine in site.machines]
    latest = []
    try:
        for link in links:
            await link.start()
        await site.start(s.configuration(1, routes(1), ["stock"]))
        await site.wait_until_ready()
        for server in servers:
            await server.start()
        await asyncio.sleep(6)
        version = 1
        for _ in range(CYCLES):
            cut_at = time.monotonic() + random.uniform(0.5, STORM_S - 1)
            next_at, storm_end = time.monotonic(), time.monotonic() + STORM_S
            others, watches = [], []
            while next_at < storm_end:
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))
                next_at += STORM_GAP_S
                if not others and time.monotonic() >= cut_at:
                    # The two machines that read from the store last.
                    cut = sorted(links, key=lambda link: link.last_read_at)[-2:]
                    others = [link.machine for link in links if link not in cut]
                    if s.disruption_enabled():
                        for link in cut:
                            link.open.clear()
                            record.write(f"{link.machine.name} is cut off from the store")
                version += 1
                acknowledged = await publish(record, site, version)
                if others and not watches:
                    watches = [asyncio.create_task(watch(record, machine, version, acknowledged,
                                                         acknowledged + 4.5)) for machine in others]
            latest += await asyncio.gather(*watches)
            await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
            for link in links:
                link.open.set()
            record.write("all machines reach the store")
            await asyncio.sleep(CALM_S)
    finally:
        for server in servers:
            await server.stop()
        for link in links:
            await link.stop()
        await site.stop()
    text = (f"last request that a machine which reaches the store refused with 404, seconds after the "
            f"acknowledgement: {', '.join(f'{value:.2f}' for value in latest)}; allowed {CONFIG_APPLY_S}")
    return (s.BROKEN if max(latest) > CONFIG_APPLY_S else s.HELD), text


if __name__ == "__main__":
    sys.exit(s.main(FOLDER, play))
