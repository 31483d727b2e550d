"""What answers without end cost an entry, and the requests of other servers.

``python -m tests.platform.endless_answers`` plays each place of an answer at which such bytes may
begin, for answers that may be repeated, that may run only once, and streams, and prints a table.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import tempfile
import time

import attrs
import httpcore
import trio

from standins import processes
from tests.platform import endless, standins, unlinked_entry
from tests.platform.soak import backends
from toucanhold import asgi
from toucanhold.platform import settings

HOST = "endless.example"
KINDS = ("order", "lookup", "stream")
TIMEOUT_MS = 3000
# Fewer endless servers than attempts, so that one attempt reaches a sound one.
ENDLESS_SERVERS, SOUND_SERVERS = 2, 3
REQUESTS, REQUESTS_PER_S = 100, 50.0
PROBE_INTERVAL_S = 0.02
CALM_S = 2.0
MAX_GROWTH_KB = 32 * 1024
MAX_DELAY_S = 0.05
PORTS = {"front": 8227, "ready": 8220, "directory": 8224, "between": 7340}


@attrs.define
class Outcome:
    """What one play showed.

    :ivar statuses: number of requests by kind and status; 0 for answers that were broken off
    :ivar slowest_s: longest time until a request of each kind ended
    :ivar growth_kb: growth of the entry's memory, the largest of all entries
    :ivar delay_s: by how much the slowest request of another server took longer than in calm
    :ivar open_s: longest time for which an endless answer was open, by the servers
    :ivar sent_bytes: most bytes that were sent in one
    """

    statuses: dict = attrs.field(factory=lambda: collections.defaultdict(collections.Counter))
    slowest_s: dict = attrs.field(factory=lambda: collections.defaultdict(float))
    growth_kb: int = 0
    delay_s: float = 0.0
    open_s: float = 0.0
    sent_bytes: int = 0

    def violations(self):
        """Return descriptions of what must not be."""
        found = []
        if self.growth_kb >= MAX_GROWTH_KB:
            found.append(f"memory grew by {self.growth_kb} KB")
        if self.delay_s >= MAX_DELAY_S:
            found.append(f"others were delayed by {1000 * self.delay_s:.0f} ms")
        for kind, statuses in self.statuses.items():
            if statuses[500]:
                found.append(f"{statuses[500]} {kind} requests got status 500")
            if kind != "order" and set(statuses) != {200}:
                found.append(f"{kind} requests were not answered: {dict(statuses)}")
        return found


class SoundServer(standins.ServerApp):
    """Answers all requests at once, streams with three events."""

    async def __call__(self, scope, receive, send):
        self.handler = self._stream if scope.get("path", "").startswith("/stream") else None
        await super().__call__(scope, receive, send)

    async def _stream(self, request_headers, receive, send):
        await asgi.start(send, 200, self.seal(request_headers))
        first = 1 + int(request_headers.get("last-event-id", 0))
        for number in range(first, 4):
            await asgi.write(send, f"id: {number}\ndata: {number}\n\n".encode(), True)
        await asgi.write(send, b"", False)


@attrs.define(eq=False, slots=False)
class Site:
    """A store, sound and endless servers, and entries as processes."""

    group: processes.ProcessGroup
    nursery: trio.Nursery
    subnet: str
    has_tunnels: bool = False

    @property
    def entries(self):
        return ["e1", "e2"] if self.has_tunnels else ["e1"]

    def address(self, entry, interface="front"):
        return f"127.{self.subnet}.{entry[1:]}:{PORTS[interface]}"

    async def start(self, place, speed):
        """Start everything."""
        self.store = backends.ExpiringStore()
        self.nursery.start_soon(self.store.run)
        self.store_address = await self._serve(self.store)
        self.ports = [standins.free_address().rpartition(":")[2] for _ in range(ENDLESS_SERVERS)]
        self.statistics_address = standins.free_address()
        statistics_port = self.statistics_address.rpartition(":")[2]
        arguments = ["tests.platform.endless_servers", place, speed, statistics_port, *self.ports]
        await self.group.start("servers", arguments)
        addresses = [f"127.0.0.1:{port}" for port in self.ports]
        for address in addresses:
            await processes.wait_listening(address)
        sound = [await self._serve(SoundServer()) for _ in range(2 * SOUND_SERVERS)]
        self._put_servers("mixed", addresses + sound[:SOUND_SERVERS])
        self._put_servers("once", addresses)
        self._put_servers("sound", sound[SOUND_SERVERS:])
        self._put_configuration()
        unreachable = self.ports + [address.rpartition(":")[2] for address in sound]
        for entry in self.entries:
            is_unlinked = self.has_tunnels and entry == "e1"
            path = self.group.log_folder / f"{entry}.toml"
            path.write_text(self._settings(entry))
            variables = {settings.FILE_VARIABLE: str(path)}
            variables[unlinked_entry.PORTS_VARIABLE] = ",".join(unreachable)
            arguments = ["tests.platform.unlinked_entry"] if is_unlinked else ["toucanhold"]
            await self.group.start(entry, arguments + ["platform"], variables)
        for entry in self.entries:
            await processes.wait_listening(self.address(entry))
        await self._wait_served()

    async def _wait_served(self):
        with trio.fail_after(30):
            while (await self.send("sound", "probe"))[0] != 200:
                await trio.sleep(0.1)
        if self.has_tunnels:
            # An entry asks others for tunnels once they know each other.
            await trio.sleep(2)

    async def _serve(self, app):
        address = standins.free_address()

        async def serve(*, task_status):
            async with standins.serve_app(app, address):
                task_status.started()
                await trio.sleep_forever()

        await self.nursery.start(serve)
        return address

    def _put_servers(self, service, addresses):
        for number, address in enumerate(addresses):
            fields = {"service": service, "address": address, "zone": "zone-a", "slots": 1000}
            fields |= {"state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1}
            self.store.put(f"servers/{service}-{number}", json.dumps(fields).encode())

    def _put_configuration(self):
        routes = []
        for name, service, kind, more in (
            ("order", "once", "non_idempotent", {}),
            ("lookup", "mixed", "idempotent", {"attempts": 3}),
            ("stream", "mixed", "streaming", {"attempts": 3, "resumable": True}),
            ("probe", "sound", "idempotent", {"attempts": 1}),
        ):
            route = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind}
            route |= {"timeout_ms": TIMEOUT_MS, "goal_ms": 500, "gap_target_ms": 500}
            routes.append(route | {"service": service, "priority": 1, "public": True} | more)
        services = [{"name": name} for name in ("mixed", "once", "sound")]
        fields = {"version": 1, "routes": routes, "services": services}
        self.store.put("op/config", json.dumps(fields).encode())

    def _settings(self, entry):
        listen = "\n".join(
            f'{name} = "{self.address(entry, name)}"' for name in ("front", "ready", "directory")
        )
        host = self.address(entry).rpartition(":")[0]
        return f"""
node = "{entry}"
zone = "zone-a"
region = "here"
ip = "{host}"
internal_ports = [{PORTS["between"]}, {PORTS["between"] + 15}]
[listen]
{listen}
[limits]
cpu_share = 1.0
cores = 1
[bounds]
retry_ratio = 3.0
retry_slack = 1000
[platform]
address = "{self.store_address}"
"""

    async def send(self, kind, path="1"):
        """Send a request to the first entry; return its status and how long it took."""
        name = "probe" if kind == "sound" else kind
        method = "POST" if kind == "order" else "GET"
        headers = [("host", HOST), ("x-attempt-id", f"{name}-{time.monotonic_ns()}")]
        headers.append(("x-deadline-remaining-ms", str(2 * TIMEOUT_MS)))
        began_s = time.monotonic()
        try:
            with trio.fail_after(2 * TIMEOUT_MS / 1000):
                status, _, _ = await standins.send_request(
                    self.address("e1"), method, f"/{name}/{path}", headers
                )
        except (httpcore.ProtocolError, httpcore.NetworkError, trio.TooSlowError):
            status = 0
        return status, time.monotonic() - began_s

    async def read_statistics(self):
        """Return what the endless servers have sent."""
        host, _, port = self.statistics_address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            return json.loads(b"".join([part async for part in stream]))

    def memory_kb(self):
        """Return the resident memory of each entry."""
        return {entry: resident_kb(self.group.pid(entry)) for entry in self.entries}


def resident_kb(pid):
    """Return the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"process {pid} shows no memory")


@contextlib.asynccontextmanager
async def running(place, speed, folder, subnet, has_tunnels=False):
    """Run a site and yield it."""
    async with processes.ProcessGroup(pathlib.Path(folder)) as group:
        async with trio.open_nursery() as nursery:
            site = Site(group, nursery, subnet, has_tunnels)
            await site.start(place, speed)
            yield site
            nursery.cancel_scope.cancel()


async def play(site, kinds=KINDS, requests=REQUESTS):
    """Send requests to endless servers, and others beside them; return the outcome."""
    outcome, probes_s, peaks_kb = Outcome(), [], {}
    for _ in range(20):
        await site.send("sound")

    async def probe():
        while True:
            began_s = time.monotonic()
            status, took_s = await site.send("sound")
            probes_s.append(took_s if status == 200 else float("inf"))
            await trio.sleep(max(0, began_s + PROBE_INTERVAL_S - time.monotonic()))

    async def sample_memory():
        while True:
            for entry, size_kb in site.memory_kb().items():
                peaks_kb[entry] = max(peaks_kb.get(entry, 0), size_kb)
            await trio.sleep(0.01)

    async def send(kind, number):
        status, took_s = await site.send(kind, str(number))
        outcome.statuses[kind][status] += 1
        outcome.slowest_s[kind] = max(outcome.slowest_s[kind], took_s)

    async def send_all(kinds):
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                nursery.start_soon(send, kinds[number % len(kinds)], number)
                await trio.sleep(1 / REQUESTS_PER_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe)
        # As many requests of a sound service, to compare with.
        await send_all(["sound"])
        outcome.statuses.clear()
        outcome.slowest_s.clear()
        calm_s = max(probes_s)
        probes_s.clear()
        before_kb = site.memory_kb()
        nursery.start_soon(sample_memory)
        await send_all(kinds)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    outcome.delay_s = max(probes_s) - calm_s
    outcome.growth_kb = max(peaks_kb[entry] - before_kb[entry] for entry in before_kb)
    sent = await site.read_statistics()
    outcome.open_s = max(sent["durations_s"], default=0.0)
    outcome.sent_bytes = max(sent["sent_bytes"], default=0)
    return outcome


def add_options(parser):
    """Add the options that all benches share."""
    parser.add_argument("--place", choices=sorted(endless.PLACES), action="append")
    parser.add_argument("--speed", choices=("fast", "slow"), action="append")
    parser.add_argument("--requests", type=int, default=REQUESTS)


def play_all(options, play_one):
    """Play the chosen places and print a table; return 1 if anything was violated."""
    print("place; speed; growth KB; delay ms; open s; sent KB; statuses and slowest s; violations")
    failures = 0
    plays = [
        (place, speed)
        for place in options.place or endless.PLACES
        for speed in options.speed or ("fast", "slow")
    ]
    for number, (place, speed) in enumerate(plays):
        outcome = trio.run(play_one, place, speed, number)
        shown = {
            kind: (dict(counts), round(outcome.slowest_s[kind], 2))
            for kind, counts in outcome.statuses.items()
        }
        failures += bool(outcome.violations())
        print(
            f"{place}; {speed}; {outcome.growth_kb}; {1000 * outcome.delay_s:.0f};"
            f" {outcome.open_s:.2f}; {outcome.sent_bytes // 1024}; {shown};"
            f" {outcome.violations() or 'none'}",
            flush=True,
        )
    print(f"{len(plays) - failures} of {len(plays)} without a violation")
    return 1 if failures else 0


def main():
    """Play all places; return 1 if anything was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tunnels", action="store_true", help="reach the servers by another entry")
    add_options(parser)
    options = parser.parse_args()

    async def play_one(place, speed, number):
        subnet = f"{200 + options.tunnels}.{number}"
        with tempfile.TemporaryDirectory() as folder:
            async with running(place, speed, folder, subnet, options.tunnels) as site:
                return await play(site, requests=options.requests)

    return play_all(options, play_one)


if __name__ == "__main__":
    raise SystemExit(main())
