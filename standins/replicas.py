"""In-memory model servers that register, join groups and check invariants of groups."""

from __future__ import annotations

import collections.abc
import contextlib
import random

import attrs
import trio

from standins import addresses
from toucanhold import codec
from toucanhold.coordination import keyvalue
from toucanhold.registry import servers
from toucanhold.replicas import orders
from toucanhold.routes import table

REGISTRATIONS_PREFIX = "registrations/"
# Time to join a group when the model is loaded already.
LOADED_JOIN_S = 0.2
# Time after which a head that misses a member of its group is broken.
STALL_S = 4.0
FORM_S = 0.3
# Age of the order count that a probe returns.
PROBE_LAG_S = 0.2
HEARTBEAT_S = 1.2
SERVICE = "writers"
LARGE = table.Model("large", size=4, share=0.57, pace=1.0, load_s=16.0, warm_s=1.6)
SMALL = table.Model("small", size=3, share=0.43, pace=0.6, load_s=12.0, warm_s=1.1)


def new_engine(*models: table.Model, slots: int = 13) -> table.Engine:
    """Return the engine configuration that all servers of the service share."""
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
    """Return a route table with one model service and the plain services that the routes name."""
    names = {share.service for route in routes for share in route.service_shares} - {SERVICE}
    services = {name: table.Service(name, 0.0) for name in names}
    services[SERVICE] = table.Service(SERVICE, 36.0, engine)
    hosts: dict[str, dict[str, table.Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, {})[route.prefix] = route
    limits = table.Limits(16_384, 1_000_000, 15.0)
    return table.RouteTable(version, hosts, services, {}, False, limits)


def decode_registration(item: keyvalue.Item) -> servers.Server | None:
    """Return the server that a registration describes, or None when it is malformed."""
    try:
        return codec.from_json(item.value, servers.Server)
    except codec.CodecError:
        return None


@attrs.define(eq=False)
class MemoryServer:
    """One model server, across its restarts.

    :ivar domain: fabric domain
    :ivar born_ms: start time of its present process; increases with each restart
    :ivar mode: ``up``, ``dark`` (dead and unreachable), ``apart`` (running, but unreachable from
        entries and the key-value service), ``unlisted`` (running and reachable, but partitioned
        from the key-value service), ``paused`` (its VM accepts connections, but the process stands
        still)
    :ivar staged: models staged on its host
    :ivar model: model that it has loaded; empty for none
    :ivar order_count: number of orders that it has begun to execute
    :ivar membership: its present group membership
    :ivar members: names of the members of its present group by rank
    :ivar former_membership: membership and members of the group that it left last
    :ivar stalled_at_s: time on trio's clock since which it waits, as a head, for a missing member
    :ivar busy_until_s: time on trio's clock until which it has running requests, as a head
    :ivar order_count_history: values of ``order_count`` as (time on trio's clock, count)
    :ivar ready_epochs: groups and epochs in which it has become ready, also before a restart
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
    former_membership: tuple[servers.Membership | None, tuple[str, ...]] = (None, ())
    stalled_at_s: float = float("inf")
    busy_until_s: float = float("-inf")
    order_count_history: list[tuple[float, int]] = attrs.field(factory=list)
    ready_epochs: set[tuple[str, int]] = attrs.field(factory=set)

    @property
    def is_reachable(self) -> bool:
        """Whether it runs, and requests and orders reach it."""
        return self.mode in ("up", "unlisted")

    @property
    def finishes_work(self) -> bool:
        """Whether what it has begun takes effect, at once or after a pause."""
        return self.is_reachable or self.mode == "paused"

    def registration(self) -> servers.Server:
        """Return its registration."""
        return servers.Server(
            server_id=self.name,
            born_ms=self.born_ms,
            service=SERVICE,
            address=addresses.of(self.name),
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
    """Client of a fleet of in-memory servers; orders may be lost or delayed.

    :ivar store: key-value service with which the servers register
    :ivar order_loss_ratio: fraction of orders that get no response and are executed late
    :ivar servers: servers by name
    :ivar violations: descriptions of violated invariants
    :ivar load_starts_s: times on trio's clock at which loads from the weight store started
    :ivar sent_orders: orders sent as (time on trio's clock, server name, order)
    :ivar cut_off_heads: names of the heads whose running requests were ended by an order or a
        stall
    """

    store: keyvalue.KeyValueClient
    engine: table.Engine
    nursery: trio.Nursery
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    order_loss_ratio: float = 0.0
    servers: dict[str, MemoryServer] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    load_starts_s: list[float] = attrs.field(factory=list)
    sent_orders: list[tuple[float, str, orders.Order]] = attrs.field(factory=list)
    cut_off_heads: list[str] = attrs.field(factory=list)

    async def add(self, name: str, domain: str, zone: str = "zone-a", **state) -> MemoryServer:
        """Start and register a server.

        :param state: further fields of :class:`MemoryServer`
        """
        server = MemoryServer(name, domain, zone, **state)
        self.servers[name] = server
        await self.register(server)
        return server

    async def register(self, server: MemoryServer) -> None:
        """Update the registration of a server, unless it cannot reach the key-value service."""
        if not server.is_reachable:
            return
        server.order_count_history.append((trio.current_time(), server.order_count))
        if server.mode == "unlisted":
            return
        write = keyvalue.Write(
            REGISTRATIONS_PREFIX + server.name, codec.to_json(server.registration())
        )
        with contextlib.suppress(keyvalue.KeyValueError):
            await self.store.commit([], [write])

    async def make_unreachable(self, name: str, mode: str = "dark") -> None:
        """Let a server die or be partitioned without warning; its registration expires.

        :param mode: see :class:`MemoryServer`
        """
        server = self.servers[name]
        server.mode = mode
        if not server.is_reachable:
            self._stall_heads_of(name)
        self.nursery.start_soon(self._expire_registration, server)

    async def pause(self, name: str, duration_s: float) -> None:
        """Let the process of a server stand still, and wait until it goes on."""
        server = self.servers[name]
        server.mode = "paused"
        await trio.sleep(duration_s)
        if server.mode == "paused":
            server.mode = "up"
            await self.register(server)

    async def partition_together(self, names: list[str]) -> None:
        """Partition servers that still reach each other, so that their groups do not stall."""
        for name in names:
            self.servers[name].mode = "apart"
            self.nursery.start_soon(self._expire_registration, self.servers[name])

    async def restart(self, name: str) -> None:
        """Start a new process of a server under the same name."""
        server = self.servers[name]
        server.born_ms += 1
        server.mode, server.order_count, server.is_leaving = "up", 0, False
        server.membership, server.members, server.model = None, (), ""
        server.former_membership = None, ()
        server.stalled_at_s = float("inf")
        await self.register(server)

    async def reconnect(self, name: str) -> None:
        """Make a partitioned server reachable again."""
        self.servers[name].mode = "up"
        await self.register(self.servers[name])

    async def send(
        self, server: servers.Server, order: orders.Order, order_count: int, fence: int
    ) -> orders.OrderOutcome:
        """See :class:`orders.EngineClient`."""
        await trio.sleep(0.002)
        self.sent_orders.append((trio.current_time(), server.server_id, order))
        target = self.servers[server.server_id]
        if target.mode == "paused":
            self.nursery.start_soon(self._execute_late, target, order, order_count)
            await trio.sleep(0.4)
            return orders.OrderOutcome.LOST
        if not target.is_reachable:
            await trio.sleep(0.3)
            return orders.OrderOutcome.UNREACHABLE
        if self.rng.random() < self.order_loss_ratio:
            self.nursery.start_soon(self._execute_late, target, order, order_count)
            await trio.sleep(0.4)
            return orders.OrderOutcome.LOST
        if target.born_ms != server.born_ms:
            return orders.OrderOutcome.UNREACHABLE
        return await self._execute(target, order, order_count)

    async def probe(
        self, server: servers.Server, on_connected: collections.abc.Callable[[], None]
    ) -> servers.Server | None:
        """See :class:`orders.EngineClient`."""
        await trio.sleep(0.002)
        target = self.servers[server.server_id]
        if target.mode == "paused":
            on_connected()
            await trio.sleep_forever()
        if target.is_reachable:
            on_connected()
        if not target.is_reachable:
            await trio.sleep(0.3)
            return None
        visible_counts = [
            (at_s, count)
            for at_s, count in target.order_count_history
            if at_s <= trio.current_time() - PROBE_LAG_S
        ]
        return attrs.evolve(
            target.registration(),
            order_count=visible_counts[-1][1] if visible_counts else 0,
        )

    def serving_heads(self) -> dict[str, MemoryServer]:
        """Return the heads that serve requests, by group."""
        return {
            server.membership.group: server
            for server in self.servers.values()
            if server.mode != "dark"
            and server.membership is not None
            and server.membership.state is servers.GroupState.OPEN
            and server.stalled_at_s == float("inf")
        }

    def check_request(self, head: str, group_size: int) -> None:
        """Check the invariant that a head serves requests only in a complete group.

        Records a violation otherwise.

        :param head: name of the head that receives a request
        :param group_size: expected number of members
        """
        server = self.servers[head]
        membership = server.membership
        if membership is None or membership.state is not servers.GroupState.OPEN:
            return
        key = membership.group, membership.epoch
        if len(server.members) != group_size:
            self.violations.append(f"{head}: a request in a group of {len(server.members)}")
        for name in server.members:
            if key not in self.servers[name].ready_epochs and self.servers[name].is_reachable:
                self.violations.append(f"{head}: {name} was never ready in {key}")

    async def _execute_late(
        self, target: MemoryServer, order: orders.Order, order_count: int
    ) -> None:
        born_ms = target.born_ms
        await trio.sleep(self.rng.uniform(2, 12))
        if target.is_reachable and target.born_ms == born_ms:
            await self._execute(target, order, order_count)

    async def _execute(
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
        target.order_count_history.append((trio.current_time(), target.order_count))
        self.load_starts_s.append(trio.current_time())
        self.nursery.start_soon(self._finish_staging, target, order, target.born_ms)
        return orders.OrderOutcome.BEGUN

    async def _finish_staging(
        self, target: MemoryServer, order: orders.Stage, born_ms: int
    ) -> None:
        model = self.engine.model(order.model)
        assert model is not None
        await trio.sleep(model.load_s)
        if target.born_ms == born_ms and target.finishes_work:
            target.staged = (order.model,)
            await self.register(target)

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
        self._check_old_head(target)
        self._stall_heads_of(target.name)
        model = self.engine.model(order.model)
        assert model is not None
        join_duration_s = LOADED_JOIN_S
        if target.model != model.name:
            join_duration_s = model.warm_s if model.name in target.staged else model.load_s
            if join_duration_s == model.load_s:
                self.load_starts_s.append(trio.current_time())
        target.order_count += 1
        target.members = order.members
        rank = order.members.index(target.name)
        joining = servers.GroupState.JOINING
        target.membership = servers.Membership(order.group, order.epoch, rank, joining)
        target.stalled_at_s = float("inf")
        await self.register(target)
        self.nursery.start_soon(self._finish_join, target, order, join_duration_s, target.born_ms)
        return orders.OrderOutcome.BEGUN

    async def _finish_join(
        self, target: MemoryServer, order: orders.Join, join_duration_s: float, born_ms: int
    ) -> None:
        await trio.sleep(join_duration_s)
        if target.born_ms != born_ms or not self._is_joined(target, order):
            return
        target.model = order.model
        target.staged = (order.model,)
        target.ready_epochs.add((order.group, order.epoch))
        await self._set_state(target, servers.GroupState.READY)

    async def _change(self, target: MemoryServer, order: orders.Order) -> orders.OrderOutcome:
        assert target.membership is not None
        state = target.membership.state
        if isinstance(order, orders.Leave):
            # Leaving is complete when the response is sent, so the outcome is HOLDS, not BEGUN;
            # the order still counts.
            target.order_count += 1
            target.former_membership = target.membership, target.members
            target.membership, target.members = None, ()
            self._stall_heads_of(target.name)
            await self.register(target)
            return orders.OrderOutcome.HOLDS
        if isinstance(order, orders.Open):
            if state is servers.GroupState.OPEN:
                return orders.OrderOutcome.HOLDS
            if state is not servers.GroupState.READY:
                return orders.OrderOutcome.REFUSED
            target.order_count += 1
            target.order_count_history.append((trio.current_time(), target.order_count))
            self.nursery.start_soon(self._finish_open, target, target.membership)
            return orders.OrderOutcome.BEGUN
        if state not in (servers.GroupState.OPEN, servers.GroupState.CLOSING):
            return orders.OrderOutcome.HOLDS
        return await self._close(target, order)

    async def _close(self, target: MemoryServer, order: orders.Order) -> orders.OrderOutcome:
        assert isinstance(order, orders.Close) and target.membership is not None
        is_busy = trio.current_time() < target.busy_until_s
        if order.finishes_work and is_busy:
            if target.membership.state is servers.GroupState.CLOSING:
                return orders.OrderOutcome.HOLDS
            target.order_count += 1
            await self._set_state(target, servers.GroupState.CLOSING)
            self.nursery.start_soon(self._finish_closing, target, target.membership)
            return orders.OrderOutcome.BEGUN
        if is_busy:
            self.cut_off_heads.append(target.name)
        target.order_count += 1
        await self._set_state(target, servers.GroupState.READY)
        return orders.OrderOutcome.BEGUN

    async def _finish_closing(self, target: MemoryServer, membership: servers.Membership) -> None:
        await trio.sleep_until(target.busy_until_s)
        if target.membership == membership and target.is_reachable:
            await self._set_state(target, servers.GroupState.READY)

    async def _finish_open(self, target: MemoryServer, membership: servers.Membership) -> None:
        await trio.sleep(FORM_S)
        if target.membership == membership and target.mode != "dark":
            await self._set_state(target, servers.GroupState.OPEN)

    async def _set_state(self, target: MemoryServer, state: servers.GroupState) -> None:
        assert target.membership is not None
        target.membership = attrs.evolve(target.membership, state=state)
        await self.register(target)

    def _check_old_head(self, target: MemoryServer) -> None:
        """Check the invariant that a server joins a group only when its old head has stopped.

        Records a violation when the head of its present or former group still serves, or stalls
        but has not broken yet: the head of a group that a member has left stalls for a while.
        """
        membership, members = target.former_membership
        if target.membership is not None:
            membership, members = target.membership, target.members
        if membership is None or not members:
            return
        head = self.servers[members[0]]
        is_same_group = head.membership is not None and (
            (head.membership.group, head.membership.epoch) == (membership.group, membership.epoch)
        )
        serving_states = (servers.GroupState.OPEN, servers.GroupState.CLOSING)
        if head.mode == "dark" or not is_same_group or head.membership.state not in serving_states:
            return
        if trio.current_time() < head.stalled_at_s + STALL_S:
            self.violations.append(f"{target.name} joins another group while {head.name} is open")

    def _stall_heads_of(self, name: str) -> None:
        for head in self.servers.values():
            is_serving = (
                head.membership is not None
                and head.membership.state in (servers.GroupState.OPEN, servers.GroupState.CLOSING)
                and name in head.members[1:]
            )
            if is_serving and head.stalled_at_s == float("inf"):
                head.stalled_at_s = trio.current_time()
                self.nursery.start_soon(self._break_after_stall, head, head.membership)

    async def _break_after_stall(self, head: MemoryServer, membership: servers.Membership) -> None:
        await trio.sleep(STALL_S)
        if head.membership == membership and head.finishes_work:
            if trio.current_time() < head.busy_until_s:
                self.cut_off_heads.append(head.name)
            await self._set_state(head, servers.GroupState.BROKEN)

    async def _expire_registration(self, server: MemoryServer) -> None:
        born_ms = server.born_ms
        await trio.sleep(3 * HEARTBEAT_S)
        if server.mode != "up" and server.born_ms == born_ms:
            write = keyvalue.Write(REGISTRATIONS_PREFIX + server.name, None)
            with contextlib.suppress(keyvalue.KeyValueError):
                await self.store.commit([], [write])
