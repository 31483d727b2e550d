"""In-memory backend servers, and a gateway that forwards calls to them."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import random

import attrs
import trio

from standins import addresses
from toucanhold.gateway import (
    admission,
    budget,
    calls,
    crashes,
    draining,
    entries,
    exchange,
    gateway,
    health,
    limits,
    load,
    rate_limiter,
    retry_budget,
    silence,
    targets,
)
from toucanhold.registry import backoffs, servers, signals
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


def new_call(path: str, timeout_s: float = 5.0, **fields) -> calls.Call:
    """Return a call that arrives now.

    :param timeout_s: time until its deadline, seconds
    :param fields: further fields of :class:`calls.Call`
    """
    now_s = trio.current_time()
    field_values = {
        "call_id": "call-1",
        "method": "GET",
        "host": HOST,
        "path": path,
        "target": path.encode(),
        "headers": (),
        "body": b"",
        "key": None,
        "arrived_s": now_s,
        "deadline_s": now_s + timeout_s,
    }
    return calls.Call(**(field_values | fields))


@attrs.define(eq=False)
class RecordedReply(calls.Reply):
    """A reply that records what the caller receives.

    :ivar status: HTTP status; 0 before the response starts
    :ivar chunk_times_s: times on trio's clock at which chunks of the body arrived
    """

    status: int = 0
    body: bytearray = attrs.field(factory=bytearray)
    is_complete: bool = False
    chunk_times_s: list[float] = attrs.field(factory=list)

    async def start(self, status: int, headers: calls.Headers, length_bytes: int | None) -> None:
        """See :class:`calls.Reply`."""
        assert not self.status, "an answer began twice"
        self.status = status

    async def send(self, chunk: bytes) -> None:
        """See :class:`calls.Reply`."""
        self.chunk_times_s.append(trio.current_time())
        self.body += chunk

    async def finish(self) -> None:
        """See :class:`calls.Reply`."""
        self.is_complete = True

    @property
    def event_ids(self) -> list[int]:
        """The ids of the received events, in order of arrival."""
        lines = bytes(self.body).split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


@attrs.define(eq=False)
class ServerBehaviour:
    """How a server responds.

    :ivar status: HTTP status of its responses
    :ivar response_delay_s: time to a response, or to a stream's first event, seconds
    :ivar event_interval_s: time between two events of a stream, seconds
    :ivar event_count: number of events of a stream
    :ivar cut_after: number of events after which the connection breaks; None for never
    :ivar stall_after: number of events after which the stream stalls; None for never
    :ivar is_refusing: whether it responds that it has not run the call
    :ivar max_active: number of calls in progress above which it refuses; None for no limit
    :ivar is_down: whether it accepts no connections
    :ivar connect_timeout_s: time until a connection to it fails if it is down, seconds
    :ivar is_misdirected: whether it responds that another server was meant, or another head
    :ivar is_answer_lost: whether it runs the call and then breaks the connection
    :ivar signals: signals in each of its answers
    :ivar paused_until_s: time on trio's clock until which it accepts connections and sends nothing
    :ivar breaks_off_after_pause: whether its connections break at the end of a pause
    """

    status: int = 200
    response_delay_s: float = 0.03
    event_interval_s: float = 0.05
    event_count: int = 10
    cut_after: int | None = None
    stall_after: int | None = None
    is_refusing: bool = False
    max_active: int | None = None
    is_down: bool = False
    connect_timeout_s: float = 0.0
    is_misdirected: bool = False
    is_answer_lost: bool = False
    signals: signals.Signals = signals.Signals()
    paused_until_s: float = 0.0
    breaks_off_after_pause: bool = False

    async def work(self, duration_s: float) -> None:
        """Work for a time; a pause meanwhile is added to it."""
        await trio.sleep(duration_s)
        while trio.current_time() < self.paused_until_s:
            await trio.sleep_until(self.paused_until_s)
            if self.breaks_off_after_pause:
                raise calls.ResponseLostError("connection lost", is_connection_lost=True)


@attrs.define(eq=False)
class MemoryServerClient(calls.ServerClient):
    """Client of in-memory servers that records the calls they receive and run.

    :ivar behaviours: behaviour by server name
    :ivar executed_calls: calls run as (server name, call id)
    :ivar received_calls: calls received as (time on trio's clock, server name, call)
    :ivar active_calls: number of calls in progress by server name
    :ivar observer: notified of the signals in answers
    """

    behaviours: dict[str, ServerBehaviour] = attrs.field(
        factory=lambda: collections.defaultdict(ServerBehaviour)
    )
    executed_calls: list[tuple[str, str]] = attrs.field(factory=list)
    received_calls: list[tuple[float, str, calls.ForwardedCall]] = attrs.field(factory=list)
    active_calls: collections.Counter[str] = attrs.field(factory=collections.Counter)
    observer: signals.ServerObserver | None = None

    @contextlib.asynccontextmanager
    async def exchange(
        self, server: servers.Server, forwarded: calls.ForwardedCall
    ) -> collections.abc.AsyncIterator[calls.Response]:
        """See :class:`calls.ServerClient`."""
        name = server.server_id
        behaviour = self.behaviours[name]
        sent_s = trio.current_time()
        self.received_calls.append((trio.current_time(), name, forwarded))
        self.active_calls[name] += 1
        try:
            if behaviour.is_down:
                await trio.sleep(behaviour.connect_timeout_s)
                raise calls.NotRunError(f"{name}: cannot connect", is_gone=True, was_sent=False)
            if behaviour.is_misdirected:
                raise calls.NotRunError(f"{name}: status 421", is_gone=True)
            is_full = (
                behaviour.max_active is not None and self.active_calls[name] > behaviour.max_active
            )
            if behaviour.is_refusing or is_full:
                await trio.sleep(0.001)
                self._send_signals(server, sent_s)
                raise calls.NotRunError(f"{name}: no free slot; the call was not run")
            await behaviour.work(behaviour.response_delay_s)
            self.executed_calls.append((name, forwarded.call.call_id))
            if behaviour.is_answer_lost:
                raise calls.ResponseLostError(f"{name}: connection lost", is_connection_lost=True)
            self._send_signals(server, sent_s)
            chunks = self._stream_events(behaviour, forwarded)
            if not forwarded.is_stream or behaviour.status != 200:
                chunks = self._single_chunk()
            yield calls.Response(behaviour.status, (), chunks)
        finally:
            self.active_calls[name] -= 1

    def _send_signals(self, server: servers.Server, sent_s: float) -> None:
        if self.observer is not None:
            self.observer.observe(server, self.behaviours[server.server_id].signals, sent_s)

    async def _single_chunk(self) -> collections.abc.AsyncIterator[bytes]:
        yield b"answer"

    async def _stream_events(
        self, behaviour: ServerBehaviour, forwarded: calls.ForwardedCall
    ) -> collections.abc.AsyncIterator[bytes]:
        sent_count = 0
        for number in range((forwarded.last_event_id or 0) + 1, behaviour.event_count + 1):
            if sent_count == behaviour.cut_after:
                yield b"id: 99"
                raise calls.ResponseLostError("connection lost", is_connection_lost=True)
            if sent_count == behaviour.stall_after:
                await trio.sleep_forever()
            if sent_count:
                await behaviour.work(behaviour.event_interval_s)
            yield f"id: {number}\ndata: token {number}\n\n".encode()
            sent_count += 1


@attrs.define(eq=False)
class FixedRegistry:
    """A registry with a given set of servers.

    :ivar servers: servers by name
    """

    servers: dict[str, servers.Server]

    @property
    def version(self) -> tuple[servers.Server, ...]:
        """Value that differs after each change of the servers."""
        return tuple(self.servers.values())

    def of_service(self, service: str) -> list[servers.Server]:
        """Return the servers of one service."""
        return [server for server in self.servers.values() if server.service == service]

    def find(self, incarnation: tuple[str, int]) -> servers.Server | None:
        """See :class:`registry.Registry`."""
        server = self.servers.get(incarnation[0])
        return server if server is not None and server.incarnation == incarnation else None

    def mark_leaving(self, incarnation: tuple[str, int]) -> None:
        """See :class:`registry.Registry`."""
        name = incarnation[0]
        if self.servers[name].incarnation == incarnation:
            self.servers[name] = attrs.evolve(self.servers[name], is_leaving=True)


@attrs.define(eq=False)
class EmptyGroupTable:
    """A table without groups, for plain services only."""

    groups: dict = attrs.field(factory=dict)
    version: int = 0


def new_servers(count: int, service: str = "desk", slots: int = 6) -> dict[str, servers.Server]:
    """Return servers of one service in one availability zone, by name.

    :param slots: number of slots of each server
    """
    names = [f"b{number}" for number in range(count)]
    return {
        name: servers.Server(name, 1, service, f"{name}:80", "zone-a", slots=slots)
        for name in names
    }


def new_entry(name: str, zone: str = "zone-a", cores: float = 1.0) -> entries.Entry:
    """Return an entry.

    :param cores: processor cores of the entry
    """
    callers, exchange = addresses.of(name), addresses.of(name, 7340)
    return entries.Entry(name, zone, "r", callers, exchange, "b1", cores)


@attrs.define(eq=False)
class FixedEntryList:
    """An entry list that does not change unless a test changes it.

    :ivar own: this process's entry
    :ivar other_entries: all other entries
    :ivar departed: entries that are no longer registered
    """

    own: entries.Entry
    other_entries: list[entries.Entry] = attrs.field(factory=list)
    version: int = 0
    is_stopping: bool = False
    departed: list[entries.Entry] = attrs.field(factory=list)
    may_use_parts: bool = True

    def others(self) -> list[entries.Entry]:
        """See :class:`entries.EntryList`."""
        return list(self.other_entries)

    def sharing(self) -> list[entries.Entry]:
        """See :class:`entries.EntryList`."""
        return list(self.other_entries)

    def find(self, name: str, boot: str) -> entries.Entry | None:
        """See :class:`entries.EntryList`."""
        return _find(self.other_entries, name, boot)

    def find_departed(self, name: str, boot: str) -> entries.Entry | None:
        """See :class:`entries.EntryList`."""
        return _find(self.departed, name, boot)


def _find(known: list[entries.Entry], name: str, boot: str) -> entries.Entry | None:
    return next((entry for entry in known if (entry.entry, entry.boot) == (name, boot)), None)


@attrs.define(eq=False)
class FixedLimitShare(retry_budget.LimitShare):
    """A share of the limits of all entries that does not change."""

    value: float

    def fraction(self, window_s: float) -> float:
        """See :class:`retry_budget.LimitShare`."""
        return self.value


@attrs.define(eq=False, slots=False)
class GatewayFixture:
    """A gateway with in-memory servers.

    :ivar registered_servers: registered servers by name
    :ivar retry_slack: number of retries permitted in excess of the retry ratio
    :ivar silent_servers: servers reported as silent, in order of the reports
    :ivar entry: the entry that this gateway belongs to
    """

    registered_servers: dict[str, servers.Server] = attrs.field(factory=lambda: new_servers(3))
    server_client: MemoryServerClient = attrs.field(factory=MemoryServerClient)
    retry_slack: float = 100.0
    silent_servers: list[str] = attrs.field(factory=list)
    entry: entries.Entry = attrs.field(factory=lambda: new_entry("e1"))

    def __attrs_post_init__(self) -> None:
        """Build the gateway and its dependencies."""
        rng = random.Random(1)
        self.routes = table.RouteTableHolder()
        self.routes.put(self.new_table(1, LOOKUPS, ORDERS, STREAMS))
        self.closed_zones: set[str] = set()
        self.loads = load.LoadTracker()
        self.entry_list = FixedEntryList(self.entry)
        self.limit_table = limits.LimitTable()
        self.rate_limiter = rate_limiter.RateLimiter(self.limit_table, self.entry_list, rng)
        self.backoff_table = backoffs.BackoffTable()
        self.draining_table = draining.DrainingTable(FixedRegistry(self.registered_servers))
        observers = self.rate_limiter, self.backoff_table, self.draining_table
        self.server_client.observer = signals.ObserverGroup(observers)
        self.health = health.Health()
        self.crashes = crashes.CrashTracker(self.entry_list)
        self.exchange = exchange.Exchange(
            self.entry_list,
            self.loads,
            self.rate_limiter,
            self.draining_table,
            self.crashes,
            lambda server_id, entry: None,
            rng,
        )
        server_targets = targets.ServerSelector(
            FixedRegistry(self.registered_servers),
            EmptyGroupTable(),
            self.loads,
            self.health,
            budget.ColdBudget(1.5, 5, self.entry_list),
            self.closed_zones,
            self.rate_limiter,
            self.backoff_table,
            self.entry.zone,
            rng,
        )
        self.gateway = gateway.Gateway(
            self.routes,
            self.server_client,
            admission.Admission(server_targets),
            retry_budget.RetryBudget(retry_budget.RetryBound(0.2, self.retry_slack, 10.0)),
            self.health,
            self.crashes,
            silence.SilenceDetector(self.health, self.silent_servers.append),
            rng,
        )

    def new_table(self, version: int, *routes: table.Route, keys=None) -> table.RouteTable:
        """Return a route table with one plain service.

        :param keys: workspaces by API key; None if API keys are not required
        """
        prefixes = {route.prefix: route for route in routes}
        services = {"desk": table.Service("desk", 10.0)}
        limits = table.Limits(16_384, 1000, 15.0)
        return table.RouteTable(
            version, {HOST: prefixes}, services, keys or {}, keys is not None, limits
        )

    @contextlib.asynccontextmanager
    async def running(self) -> collections.abc.AsyncIterator[trio.Nursery]:
        """Run the gateway's background tasks."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gateway.admission.run)
            nursery.start_soon(self.gateway.silence_detector.run)
            yield nursery
            nursery.cancel_scope.cancel()

    async def send(self, call: calls.Call) -> tuple[RecordedReply, Exception | None]:
        """Send a call; return what the caller received, and the error that ended it, if any."""
        reply = RecordedReply()
        try:
            await self.gateway.serve(call, reply)
        except (calls.CallError, calls.ResponseLostError) as error:
            return reply, error
        return reply, None
