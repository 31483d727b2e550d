"""Gateways of several entries over UDP, with in-memory servers that some requests crash."""

import collections
import contextlib

import attrs
import trio

from standins import gateways
from tests.platform import standins
from toucanhold.gateway import calls, entries

CRASHER = b"crash-the-server"
CRASHING_PARTS = frozenset(("bad-1", "bad-2", "bad-3"))
CRASH_DELAY_S = 0.02
RUN_S = 0.15
RESTART_S = 2.0
ZONES = ("zone-a", "zone-b", "zone-c")
SERVERS = 24
SLOTS = 13
# Long enough for several notices to reach every entry.
NEWS_DELAY_S = 1.0


@attrs.define(eq=False)
class CrashingServers(calls.ServerClient):
    """In-memory servers that crash when they run ``CRASHER`` or answer on ``CRASHING_PARTS``.

    Crashed servers are back after ``RESTART_S``.
    """

    servers: dict = attrs.field(factory=lambda: new_servers())
    crashes: list = attrs.field(factory=list)
    _restarting: list = attrs.field(factory=list)
    _crashed: dict = attrs.field(factory=lambda: collections.defaultdict(trio.Event))

    @contextlib.asynccontextmanager
    async def exchange(self, server, forwarded):
        self._restart_crashed()
        crashed = self._crashed[server.incarnation]
        if forwarded.is_stream:
            yield calls.Response(200, (), self._stream(server, crashed, forwarded.call))
            return
        if forwarded.call.body == CRASHER:
            await trio.sleep(CRASH_DELAY_S)
            self._crash(server)
        await self._run_until_crash(server, crashed, RUN_S)
        yield calls.Response(200, (), self._body())

    def _crash(self, server):
        if self._crashed[server.incarnation].is_set():
            return
        self.crashes.append(server.server_id)
        self._crashed[server.incarnation].set()
        self.servers.pop(server.server_id, None)
        restarted = attrs.evolve(server, born_ms=server.born_ms + 1)
        self._restarting.append((trio.current_time() + RESTART_S, restarted))

    def _restart_crashed(self):
        while self._restarting and self._restarting[0][0] <= trio.current_time():
            _, server = self._restarting.pop(0)
            self.servers[server.server_id] = server

    async def _run_until_crash(self, server, crashed, duration_s):
        with trio.move_on_after(duration_s):
            await crashed.wait()
        if crashed.is_set():
            raise calls.ResponseLostError(server.server_id, is_connection_lost=True)

    async def _stream(self, server, crashed, call):
        await self._run_until_crash(server, crashed, CRASH_DELAY_S)
        yield b"id: 1\ndata: first\n\n"
        if CRASHING_PARTS & set(call.shared_parts):
            self._crash(server)
        await self._run_until_crash(server, crashed, RUN_S)
        yield b"id: 2\ndata: last\n\n"

    async def _body(self):
        yield b"answer"


def new_servers():
    """Return servers, spread over the availability zones."""
    servers = gateways.new_servers(SERVERS, slots=SLOTS)
    return {
        name: attrs.evolve(server, zone=ZONES[number % len(ZONES)])
        for number, (name, server) in enumerate(servers.items())
    }


def new_site(entries_per_zone=2):
    """Return servers, and gateways in three availability zones that know each other."""
    backend = CrashingServers()
    fixtures = []
    for zone in ZONES:
        for number in range(entries_per_zone):
            address = standins.free_address()
            entry = entries.Entry(f"{zone}-{number}", zone, "r", address, address, "b1", 1.0)
            fixtures.append(gateways.GatewayFixture(backend.servers, backend, entry=entry))
    for fixture in fixtures:
        fixture.entry_list.other_entries += [
            other.entry for other in fixtures if other is not fixture
        ]
    return backend, fixtures


@contextlib.asynccontextmanager
async def running(fixtures):
    """Run gateways and their exchange of notices."""
    async with trio.open_nursery() as nursery:
        for fixture in fixtures:
            nursery.start_soon(fixture.gateway.admission.run)
            nursery.start_soon(fixture.exchange.run)
        # Entries find each other's aggregators before the first request.
        await trio.sleep(NEWS_DELAY_S)
        yield nursery
        nursery.cancel_scope.cancel()
