"""Model servers in memory that register themselves, join groups and check what must never be."""

from __future__ import annotations

import contextlib
import random

import attrs
import trio

from toucanhold import codec
from toucanhold.coordination import keyvalue
from toucanhold.registry import servers
from toucanhold.replicas import orders
from toucanhold.routes import table

REGISTRATIONS_PREFIX = "registrations/"
REJOIN_S = 0.2
STALL_S = 4.0
FORM_S = 0.3
LAG_S = 0.2
HEARTBEAT_S = 1.2
SERVICE = "writers"
LARGE = table.Model("large", size=4, share=0.57, pace=1.0, load_s=16.0, warm_s=1.6)
SMALL = table.Model("small", size=3, share=0.43, pace=0.6, load_s=12.0, warm_s=1.1)


def new_engine(*models: table.Model, slots: int = 13) -> table.Engine:
    """Return what all servers of the service have in common."""
    return table.Engine(
        models=models or (LARGE, SMALL),
        slots=slots,
        memory_tokens=795_000,
        step_s=0.006,
        steps_per_pass=7,
        prefill_tokens_per_s=50_700.0,
        formation_time_s=FORM_S,
        loads_per_s=4.5,
        max_concurrent_loads=6,
    )


def new_routes(engine: table.Engine, *routes: table.Route, version: int = 1) -> table.RouteTable:
    """Return a configuration with one model service, and plain services as routes need them."""
    names = {share.service for route in routes for share in route.service_shares} - {SERVICE}
    services = {name: table.Service(name, 0.0) for name in names}
    services[SERVICE] = table.Service(SERVICE, 36.0, engine)
    hosts: dict[str, dict[str, table.Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, {})[route.prefix] = route
    limits = table.Limits(16_384, 1_000_000, 15.0)
    return table.RouteTable(version, hosts, services, {}, False, limits)


def decode(item: keyvalue.Item) -> servers.Server | None:
    """Read a registration as these servers write it."""
    try:
        return codec.from_json(item.value, servers.Server)
    except codec.CodecError:
        return None


@attrs.define(eq=False)
class MemoryServer:
    """One server's life after life.

    :ivar mode: ``up``, ``dark`` (dead, and silent to all), ``apart`` (alive, reached by nobody),
        ``unlisted`` (alive and reached, but cut off from the key-value service)
    """

    name: str
    domain: str
    zone: str
    born_ms: int = 1
    mode: str = "up"
    is_leaving: bool = False
    staged: tuple[str, ...] = ()
    model: str = ""
    order_count: int = 0
    membership: servers.Membership | None = None
    members: tuple[str, ...] = ()
    left: tuple[servers.Membership | None, tuple[str, ...]] = (None, ())
    stalled_at_s: float = float("inf")
    counted: list[tuple[float, int]] = attrs.field(factory=list)
    ready_names: set[tuple[str, int]] = attrs.field(factory=set)

    @property
    def is_reached(self) -> bool:
        """Whether it lives, and requests and orders reach it."""
        return self.mode in ("up", "unlisted")

    def state(self) -> servers.Server:
        """Return what it says of itself."""
        return servers.Server(
            server_id=self.name,
            born_ms=self.born_ms,
            service=SERVICE,
            address=f"{self.name}:80",
            zone=self.zone,
            slots=13,
            is_leaving=self.is_leaving,
            domain=self.domain,
            model=self.model,
            staged=self.staged,
            membership=self.membership,
            order_count=self.order_count,
        )


@attrs.define(eq=False)
class MemoryServers(orders.EngineClient):
    """All servers; orders may be lost or come late.

    :ivar store: where they register
    :ivar lose_share: part of the orders that get no answer and are carried out late
    :ivar broken: what must never be and was
    :ivar loads: times at which loads from the weight store began
    """

    store: keyvalue.KeyValueClient
    engine: table.Engine
    nursery: trio.Nursery
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    lose_share: float = 0.0
    servers: dict[str, MemoryServer] = attrs.field(factory=dict)
    broken: list[str] = attrs.field(factory=list)
    loads: list[float] = attrs.field(factory=list)
    orders: list[tuple[float, str, orders.Order]] = attrs.field(factory=list)

    async def add(self, name: str, domain: str, zone: str = "zone-a", **state) -> MemoryServer:
        """Start a server."""
        server = MemoryServer(name, domain, zone, **state)
        self.servers[name] = server
        await self.publish(server)
        return server

    async def publish(self, server: MemoryServer) -> None:
        """Register a server as it is now; a dead or cut off one registers nothing."""
        if not server.is_reached:
            return
        server.counted.append((trio.current_time(), server.order_count))
        if server.mode == "unlisted":
            return
        write = keyvalue.Write(REGISTRATIONS_PREFIX + server.name, codec.to_json(server.state()))
        with contextlib.suppress(keyvalue.KeyValueError):
            await self.store.commit([], [write])

    async def darken(self, name: str, mode: str = "dark") -> None:
        """Let a server die silently, or be cut off; its registration lapses."""
        server = self.servers[name]
        server.mode = mode
        if not server.is_reached:
            self._stall_heads_of(name)
        self.nursery.start_soon(self._lapse, server)

    async def cut_off_together(self, names: list[str]) -> None:
        """Cut servers off that go on reaching each other; their groups miss nobody."""
        for name in names:
            self.servers[name].mode = "apart"
            self.nursery.start_soon(self._lapse, self.servers[name])

    async def restart(self, name: str) -> None:
        """Start a dead server again under its name."""
        server = self.servers[name]
        server.born_ms += 1
        server.mode, server.order_count, server.is_leaving = "up", 0, False
        server.membership, server.members, server.model = None, (), ""
        server.left = None, ()
        server.stalled_at_s = float("inf")
        server.ready_names.clear()
        await self.publish(server)

    async def reconnect(self, name: str) -> None:
        """Let a server that was cut off be reached again."""
        self.servers[name].mode = "up"
        await self.publish(self.servers[name])

    async def send(
        self, server: servers.Server, order: orders.Order, order_count: int, fence: int
    ) -> orders.OrderOutcome:
        """See :class:`orders.EngineClient`."""
        await trio.sleep(0.002)
        self.orders.append((trio.current_time(), server.server_id, order))
        target = self.servers[server.server_id]
        if not target.is_reached:
            await trio.sleep(0.3)
            return orders.OrderOutcome.UNREACHABLE
        if self.rng.random() < self.lose_share:
            self.nursery.start_soon(self._carry_out_late, target, order, order_count)
            await trio.sleep(0.4)
            return orders.OrderOutcome.LOST
        if target.born_ms != server.born_ms:
            return orders.OrderOutcome.UNREACHABLE
        return await self._carry_out(target, order, order_count)

    async def probe(self, server: servers.Server) -> servers.Server | None:
        """See :class:`orders.EngineClient`."""
        await trio.sleep(0.002)
        target = self.servers[server.server_id]
        if not target.is_reached:
            await trio.sleep(0.3)
            return None
        counted = [(at_s, n) for at_s, n in target.counted if at_s <= trio.current_time() - LAG_S]
        return attrs.evolve(target.state(), order_count=counted[-1][1] if counted else 0)

    def open_groups(self) -> dict[str, MemoryServer]:
        """Return the heads that serve, by group."""
        return {
            server.membership.group: server
            for server in self.servers.values()
            if server.mode != "dark"
            and server.membership is not None
            and server.membership.state is servers.GroupState.OPEN
            and server.stalled_at_s == float("inf")
        }

    def run_request(self, head: str, size: int) -> None:
        """Check that the group of a head that gets a request is whole."""
        server = self.servers[head]
        membership = server.membership
        if membership is None or membership.state is not servers.GroupState.OPEN:
            return
        key = membership.group, membership.epoch
        if len(server.members) != size:
            self.broken.append(f"{head}: a request in a group of {len(server.members)}")
        for name in server.members:
            if key not in self.servers[name].ready_names and self.servers[name].is_reached:
                self.broken.append(f"{head}: {name} was never ready in {key}")

    async def _carry_out_late(
        self, target: MemoryServer, order: orders.Order, order_count: int
    ) -> None:
        born_ms = target.born_ms
        await trio.sleep(self.rng.uniform(2, 12))
        if target.is_reached and target.born_ms == born_ms:
            await self._carry_out(target, order, order_count)

    async def _carry_out(
        self, target: MemoryServer, order: orders.Order, order_count: int
    ) -> orders.OrderOutcome:
        if isinstance(order, orders.Join) and self._is_joined(target, order):
            return orders.OrderOutcome.HOLDS
        if order_count != target.order_count:
            return orders.OrderOutcome.REFUSED
        if isinstance(order, orders.Join):
            return await self._join(target, order)
        if isinstance(order, orders.Stage):
            return self._stage(target, order)
        membership = target.membership
        if membership is None or (membership.group, membership.epoch) != (order.group, order.epoch):
            return orders.OrderOutcome.REFUSED
        return await self._change(target, order)

    def _stage(self, target: MemoryServer, order: orders.Stage) -> orders.OrderOutcome:
        if order.model in target.staged:
            return orders.OrderOutcome.HOLDS
        target.order_count += 1
        target.counted.append((trio.current_time(), target.order_count))
        self.loads.append(trio.current_time())
        self.nursery.start_soon(self._finish_staging, target, order, target.born_ms)
        return orders.OrderOutcome.BEGUN

    async def _finish_staging(
        self, target: MemoryServer, order: orders.Stage, born_ms: int
    ) -> None:
        model = self.engine.model(order.model)
        assert model is not None
        await trio.sleep(model.load_s)
        if target.born_ms == born_ms and target.is_reached:
            target.staged = (order.model,)
            await self.publish(target)

    def _is_joined(self, target: MemoryServer, order: orders.Join) -> bool:
        membership = target.membership
        return membership is not None and (membership.group, membership.epoch) == (
            order.group,
            order.epoch,
        )

    async def _join(self, target: MemoryServer, order: orders.Join) -> orders.OrderOutcome:
        membership = target.membership
        if membership is not None and order.epoch < membership.epoch:
            return orders.OrderOutcome.REFUSED
        self._check_head_of(target)
        self._stall_heads_of(target.name)
        model = self.engine.model(order.model)
        assert model is not None
        duration_s = REJOIN_S
        if target.model != model.name:
            duration_s = model.warm_s if model.name in target.staged else model.load_s
            if duration_s == model.load_s:
                self.loads.append(trio.current_time())
        target.order_count += 1
        target.members = order.members
        rank = order.members.index(target.name)
        joining = servers.GroupState.JOINING
        target.membership = servers.Membership(order.group, order.epoch, rank, joining)
        target.stalled_at_s = float("inf")
        await self.publish(target)
        self.nursery.start_soon(self._finish_join, target, order, duration_s, target.born_ms)
        return orders.OrderOutcome.BEGUN

    async def _finish_join(
        self, target: MemoryServer, order: orders.Join, duration_s: float, born_ms: int
    ) -> None:
        await trio.sleep(duration_s)
        if target.born_ms != born_ms or not self._is_joined(target, order):
            return
        target.model = order.model
        target.staged = (order.model,)
        target.ready_names.add((order.group, order.epoch))
        await self._move(target, servers.GroupState.READY)

    async def _change(self, target: MemoryServer, order: orders.Order) -> orders.OrderOutcome:
        assert target.membership is not None
        state = target.membership.state
        if isinstance(order, orders.Leave):
            # Done by the time of the answer, which therefore says that it holds; it counts.
            target.order_count += 1
            target.left = target.membership, target.members
            target.membership, target.members = None, ()
            self._stall_heads_of(target.name)
            await self.publish(target)
            return orders.OrderOutcome.HOLDS
        if isinstance(order, orders.Open):
            if state is servers.GroupState.OPEN:
                return orders.OrderOutcome.HOLDS
            if state is not servers.GroupState.READY:
                return orders.OrderOutcome.REFUSED
            target.order_count += 1
            target.counted.append((trio.current_time(), target.order_count))
            self.nursery.start_soon(self._finish_open, target, target.membership)
            return orders.OrderOutcome.BEGUN
        if state not in (servers.GroupState.OPEN, servers.GroupState.CLOSING):
            return orders.OrderOutcome.HOLDS
        target.order_count += 1
        await self._move(target, servers.GroupState.READY)
        return orders.OrderOutcome.BEGUN

    async def _finish_open(self, target: MemoryServer, membership: servers.Membership) -> None:
        await trio.sleep(FORM_S)
        if target.membership == membership and target.mode != "dark":
            await self._move(target, servers.GroupState.OPEN)

    async def _move(self, target: MemoryServer, state: servers.GroupState) -> None:
        assert target.membership is not None
        target.membership = attrs.evolve(target.membership, state=state)
        await self.publish(target)

    def _check_head_of(self, target: MemoryServer) -> None:
        """Note a join of a server whose head still serves, or stands still but isn't broken.

        A server that has left its group is still missed by the head for a while.
        """
        membership, members = target.left
        if target.membership is not None:
            membership, members = target.membership, target.members
        if membership is None or not members:
            return
        head = self.servers[members[0]]
        same = head.membership is not None and (
            (head.membership.group, head.membership.epoch) == (membership.group, membership.epoch)
        )
        working = (servers.GroupState.OPEN, servers.GroupState.CLOSING)
        if head.mode == "dark" or not same or head.membership.state not in working:
            return
        if trio.current_time() < head.stalled_at_s + STALL_S:
            self.broken.append(f"{target.name} joins another group while {head.name} is open")

    def _stall_heads_of(self, name: str) -> None:
        for head in self.servers.values():
            is_working = (
                head.membership is not None
                and head.membership.state is servers.GroupState.OPEN
                and name in head.members[1:]
            )
            if is_working and head.stalled_at_s == float("inf"):
                head.stalled_at_s = trio.current_time()
                self.nursery.start_soon(self._break, head, head.membership)

    async def _break(self, head: MemoryServer, membership: servers.Membership) -> None:
        await trio.sleep(STALL_S)
        if head.membership == membership and head.is_reached:
            await self._move(head, servers.GroupState.BROKEN)

    async def _lapse(self, server: MemoryServer) -> None:
        born_ms = server.born_ms
        await trio.sleep(3 * HEARTBEAT_S)
        if server.mode != "up" and server.born_ms == born_ms:
            write = keyvalue.Write(REGISTRATIONS_PREFIX + server.name, None)
            with contextlib.suppress(keyvalue.KeyValueError):
                await self.store.commit([], [write])
