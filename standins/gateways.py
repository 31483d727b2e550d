"""Backend servers in memory that answer calls, and a gateway before them."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import random

import attrs
import trio

from toucanhold.gateway import (
    admission,
    budget,
    calls,
    crashes,
    entries,
    gateway,
    health,
    load,
    silence,
    targets,
)
from toucanhold.registry import servers
from toucanhold.routes import table

HOST = "site.example"
LOOKUPS = table.Route(
    name="lookups",
    host=HOST,
    prefix="/lookups/",
    service_shares=(table.ServiceShare("desk", 1),),
    repeatability=table.Repeatability.IDEMPOTENT,
    is_stream=False,
    max_attempts=2,
    timeout_s=1.2,
    objective_s=0.15,
    gap_objective_s=1.2,
    priority=2,
    is_public=True,
)
ORDERS = attrs.evolve(
    LOOKUPS,
    name="orders",
    prefix="/orders/",
    repeatability=table.Repeatability.ONCE,
    max_attempts=1,
)
STREAMS = attrs.evolve(
    LOOKUPS,
    name="streams",
    prefix="/streams/",
    repeatability=table.Repeatability.RESUMABLE,
    is_stream=True,
    timeout_s=5.0,
    priority=1,
)


def new_call(path: str, wait_s: float = 5.0, **fields) -> calls.Call:
    """Return a caller's request that arrives now."""
    now_s = trio.current_time()
    given = {
        "call_id": "call-1",
        "method": "GET",
        "host": HOST,
        "path": path,
        "target": path.encode(),
        "headers": (),
        "body": b"",
        "key": None,
        "arrived_s": now_s,
        "deadline_s": now_s + wait_s,
    }
    return calls.Call(**(given | fields))


@attrs.define(eq=False)
class MemoryReply(calls.Reply):
    """What a caller got."""

    status: int = 0
    body: bytearray = attrs.field(factory=bytearray)
    is_complete: bool = False
    arrivals_s: list[float] = attrs.field(factory=list)

    async def start(self, status: int, headers: calls.Headers, length_bytes: int | None) -> None:
        """See :class:`calls.Reply`."""
        assert not self.status, "an answer began twice"
        self.status = status

    async def send(self, chunk: bytes) -> None:
        """See :class:`calls.Reply`."""
        self.arrivals_s.append(trio.current_time())
        self.body += chunk

    async def finish(self) -> None:
        """See :class:`calls.Reply`."""
        self.is_complete = True

    @property
    def event_ids(self) -> list[int]:
        """The ids of the events, in their order."""
        lines = bytes(self.body).split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


@attrs.define(eq=False)
class Behaviour:
    """How a server answers.

    :ivar work_s: time to an answer, or to a stream's first event
    :ivar gap_s: time between events
    :ivar events: number of a stream's events
    :ivar cut_after: events after which the connection breaks; None for never
    :ivar silent_after: events after which nothing comes any more; None for never
    :ivar refuses: answers that it has not run the call
    :ivar loses_answer: runs the call and breaks the connection
    """

    status: int = 200
    work_s: float = 0.03
    gap_s: float = 0.05
    events: int = 10
    cut_after: int | None = None
    silent_after: int | None = None
    refuses: bool = False
    loses_answer: bool = False


@attrs.define(eq=False)
class MemoryDesk(calls.ServerClient):
    """Servers by name; tells which calls each one ran."""

    behaviours: dict[str, Behaviour] = attrs.field(
        factory=lambda: collections.defaultdict(Behaviour)
    )
    runs: list[tuple[str, str]] = attrs.field(factory=list)
    arrivals: list[tuple[float, str, calls.ForwardedCall]] = attrs.field(factory=list)
    working: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @contextlib.asynccontextmanager
    async def exchange(
        self, server: servers.Server, forwarded: calls.ForwardedCall
    ) -> collections.abc.AsyncIterator[calls.Response]:
        """See :class:`calls.ServerClient`."""
        name = server.server_id
        behaviour = self.behaviours[name]
        self.arrivals.append((trio.current_time(), name, forwarded))
        self.working[name] += 1
        try:
            if behaviour.refuses:
                await trio.sleep(0.001)
                raise calls.NotRunError(f"{name} is full")
            await trio.sleep(behaviour.work_s)
            self.runs.append((name, forwarded.call.call_id))
            if behaviour.loses_answer:
                raise calls.ResponseLostError(f"{name}: connection lost", is_connection_lost=True)
            chunks = self._events(behaviour, forwarded)
            if not forwarded.is_stream or behaviour.status != 200:
                chunks = self._whole()
            yield calls.Response(behaviour.status, (), chunks)
        finally:
            self.working[name] -= 1

    async def _whole(self) -> collections.abc.AsyncIterator[bytes]:
        yield b"answer"

    async def _events(
        self, behaviour: Behaviour, forwarded: calls.ForwardedCall
    ) -> collections.abc.AsyncIterator[bytes]:
        sent = 0
        for number in range((forwarded.last_event_id or 0) + 1, behaviour.events + 1):
            if sent == behaviour.cut_after:
                yield b"id: 99"
                raise calls.ResponseLostError("connection lost", is_connection_lost=True)
            if sent == behaviour.silent_after:
                await trio.sleep_forever()
            if sent:
                await trio.sleep(behaviour.gap_s)
            yield f"id: {number}\ndata: token {number}\n\n".encode()
            sent += 1


@attrs.define(eq=False)
class FixedRegistry:
    """Servers of a service, as many as a test wants."""

    servers: dict[str, servers.Server]

    @property
    def version(self) -> tuple[servers.Server, ...]:
        """What differs after each change."""
        return tuple(self.servers.values())

    def of_service(self, service: str) -> list[servers.Server]:
        """Return the servers of one service."""
        return [server for server in self.servers.values() if server.service == service]


@attrs.define(eq=False)
class EmptyBoard:
    """No groups: the services are plain ones."""

    groups: dict = attrs.field(factory=dict)
    version: int = 0


def new_servers(count: int, service: str = "desk", slots: int = 6) -> dict[str, servers.Server]:
    """Return servers of one service in one availability zone."""
    names = [f"b{number}" for number in range(count)]
    return {
        name: servers.Server(name, 1, service, f"{name}:80", "zone-a", slots=slots)
        for name in names
    }


def new_entry(name: str, zone: str = "zone-a", cores: float = 1.0) -> entries.Entry:
    """Return an entry without addresses."""
    return entries.Entry(name, zone, "r", "", "", "b1", cores)


@attrs.define(eq=False)
class FixedList:
    """Entries that are always there."""

    own: entries.Entry
    known: list[entries.Entry] = attrs.field(factory=list)
    version: int = 0

    def others(self) -> list[entries.Entry]:
        """See :class:`entries.EntryList`."""
        return list(self.known)

    def find(self, name: str, boot: str) -> entries.Entry | None:
        """See :class:`entries.EntryList`."""
        found = (each for each in self.known if (each.entry, each.boot) == (name, boot))
        return next(found, None)


@attrs.define(eq=False, slots=False)
class GatewayScene:
    """A gateway before servers in memory."""

    registered: dict[str, servers.Server] = attrs.field(factory=lambda: new_servers(3))
    desk: MemoryDesk = attrs.field(factory=MemoryDesk)
    retry_slack: float = 100.0
    silent: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        rng = random.Random(1)
        self.routes = table.RouteTableHolder()
        self.routes.put(self.new_table(1, LOOKUPS, ORDERS, STREAMS))
        self.closed_zones: set[str] = set()
        self.loads = load.LoadTracker()
        self.health = health.Health()
        self.crashes = crashes.CrashTracker()
        found = targets.ServerSelector(
            FixedRegistry(self.registered),
            EmptyBoard(),
            self.loads,
            self.health,
            budget.ColdBudget(1.5, 5, FixedList(new_entry("e1"))),
            self.closed_zones,
            "zone-a",
            rng,
        )
        self.gateway = gateway.Gateway(
            self.routes,
            self.desk,
            admission.Admission(found),
            budget.RetryBudget(budget.RetryBound(0.2, self.retry_slack, 10.0), lambda: 1),
            self.health,
            self.crashes,
            silence.SilenceDetector(self.health, self.silent.append),
            rng,
        )

    def new_table(self, version: int, *routes: table.Route, keys=None) -> table.RouteTable:
        """Return a configuration of plain services."""
        prefixes = {route.prefix: route for route in routes}
        services = {"desk": table.Service("desk", 10.0)}
        limits = table.Limits(16_384, 1000, 15.0)
        return table.RouteTable(
            version, {HOST: prefixes}, services, keys or {}, keys is not None, limits
        )

    @contextlib.asynccontextmanager
    async def running(self) -> collections.abc.AsyncIterator[trio.Nursery]:
        """Run what the gateway needs beside requests."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gateway.admission.run)
            nursery.start_soon(self.gateway.silence_detector.run)
            yield nursery
            nursery.cancel_scope.cancel()

    async def ask(self, call: calls.Call) -> tuple[MemoryReply, Exception | None]:
        """Serve a call; return what the caller got, and how it ended otherwise."""
        reply = MemoryReply()
        try:
            await self.gateway.serve(call, reply)
        except (calls.CallError, calls.ResponseLostError) as error:
            return reply, error
        return reply, None
