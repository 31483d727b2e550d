"""In-memory model engines behind the backend client's interface, for tests on a mock clock."""

from __future__ import annotations

import collections.abc
import contextlib
import enum
import typing

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import inventory


class Reachability(enum.Enum):
    """How an engine's VM responds: it works, refuses connections, or never responds."""

    UP = "up"
    REFUSING = "refusing"
    SILENT = "silent"


@attrs.define(eq=False)
class WeightStore:
    """Weight store whose bandwidth is shared by all engines.

    :ivar max_full_rate_loads: concurrent loads up to which each runs at full rate
    :ivar load_count: number of loads started so far
    """

    max_full_rate_loads: int = 1_000_000
    _load_ends_s: list[float] = attrs.field(factory=list)
    load_count: int = 0

    def start_load(self, load_s: float) -> float:
        """Start a load and return the time on trio's clock at which it ends.

        :param load_s: duration at full rate, seconds
        """
        now_s = trio.current_time()
        self._load_ends_s = [end_s for end_s in self._load_ends_s if end_s > now_s]
        self.load_count += 1
        slowdown = max(1.0, (len(self._load_ends_s) + 1) / self.max_full_rate_loads)
        self._load_ends_s.append(now_s + load_s * slowdown)
        return self._load_ends_s[-1]


@attrs.define(eq=False)
class MemoryEngine:
    """One model engine.

    :ivar load_s: time to load a model's weights at full rate, seconds
    :ivar store: store from which it loads weights
    :ivar running_requests: number of running requests in its load report
    :ivar answers_to_lose: number of next orders that it executes without a response
    :ivar order_delay_s: network delay of orders, seconds; the sender times out before they arrive
    :ivar boot: increases with each restart
    :ivar join_order: order by which it joined its present group, if any
    :ivar weights: model and version of the loaded weights
    :ivar executed_orders: executed orders as (time on trio's clock, order), oldest first
    """

    vm: inventory.Vm
    load_s: float = 1.0
    store: WeightStore = attrs.field(factory=WeightStore)
    reachability: Reachability = Reachability.UP
    running_requests: int = 0
    is_leaving: bool = False
    answers_to_lose: int = 0
    order_delay_s: float = 0.0
    boot: int = 1
    join_order: client.JoinOrder | None = None
    weights: tuple[str | None, str] = (None, "")
    highest_fencing: int = 0
    executed_orders: list[tuple[float, client.Order]] = attrs.field(factory=list)
    _loaded_at_s: float = 0.0

    def report(self) -> client.Report:
        """Return the load report."""
        loading = self.join_order is not None and trio.current_time() < self._loaded_at_s
        join_order = None if loading else self.join_order
        return client.Report(
            vm=self.vm.vm,
            boot_id=f"{self.vm.vm}-{self.boot}",
            warmth=client.Warmth.WARM,
            running=self.running_requests,
            group=join_order.group if join_order else None,
            generation=join_order.generation if join_order else 0,
            rank=join_order.rank if join_order else 0,
            model=None if loading else self.weights[0],
            version="" if loading else self.weights[1],
            loading=loading,
            leaving=self.is_leaving,
            highest_fencing=self.highest_fencing,
        )

    def execute(self, order: client.Order) -> None:
        """Execute an order.

        :raises client.OrderRefusedError: when the engine checks fencing numbers and the order's
            number is lower than one seen before
        """
        checks = self.vm.fencing is inventory.Fencing.CHECKED
        if checks and order.fencing < self.highest_fencing:
            raise client.OrderRefusedError(
                f"{self.vm.vm}: expected fencing number {self.highest_fencing} or higher, "
                f"got {order.fencing}"
            )
        self.highest_fencing = max(order.fencing, self.highest_fencing)
        self.executed_orders.append((trio.current_time(), order))
        if isinstance(order, client.LeaveOrder):
            self.join_order = None
            return
        ordered_weights = (order.model, order.version)
        if ordered_weights != self.weights:
            self._loaded_at_s = self.store.start_load(self.load_s)
        self.join_order, self.weights = order, ordered_weights

    def restart(self) -> None:
        """Restart as a new process without group, weights or fencing number."""
        self.boot += 1
        self.join_order, self.weights, self.highest_fencing = None, (None, ""), 0
        self.running_requests = 0
        self.reachability = Reachability.UP


@attrs.define(eq=False)
class MemoryFleet(client.BackendClient):
    """Client of a fleet of in-memory engines.

    :ivar engines: engines by address
    :ivar unreachable_addresses: addresses that this client cannot reach
    :ivar order_gate: orders wait for this event after their sender last checked its lease, as if
        the sender were paused there
    """

    engines: dict[str, MemoryEngine]
    nursery: trio.Nursery
    unreachable_addresses: set[str] = attrs.field(factory=set)
    order_gate: trio.Event | None = None

    def new_client(self) -> MemoryFleet:
        """Return a client of the same engines with its own unreachable addresses."""
        return MemoryFleet(self.engines, self.nursery)

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        return (await self._connect(address, timeout_s)).report()

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""
        if self.order_gate is not None:
            await self.order_gate.wait()
        engine = await self._connect(address, timeout_s)
        if engine.order_delay_s:
            self.nursery.start_soon(self._deliver_late, engine, order, engine.order_delay_s)
            await trio.sleep(timeout_s)
            raise client.AnswerLostError(f"{address}: no response within {timeout_s} s")
        engine.execute(order)
        if engine.answers_to_lose:
            engine.answers_to_lose -= 1
            await trio.sleep(timeout_s)
            raise client.AnswerLostError(f"{address}: no response within {timeout_s} s")

    def forward(
        self, address: str, request: client.ForwardedRequest
    ) -> contextlib.AbstractAsyncContextManager[client.ForwardedResponse]:
        """Refuse every request: these engines only execute join and leave orders."""
        raise client.NotSentError(f"{address}: the in-memory engine serves no requests")

    async def _connect(self, address: str, timeout_s: float) -> MemoryEngine:
        await trio.lowlevel.checkpoint()
        engine = self.engines[address]
        if (
            engine.reachability is Reachability.REFUSING
            and address not in self.unreachable_addresses
        ):
            raise client.ConnectRefusedError(f"{address}: connection refused")
        if engine.reachability is not Reachability.UP or address in self.unreachable_addresses:
            await trio.sleep(timeout_s)
            raise client.AnswerLostError(f"{address}: no response within {timeout_s} s")
        return engine

    async def _deliver_late(
        self, engine: MemoryEngine, order: client.Order, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        with contextlib.suppress(client.OrderRefusedError):
            engine.execute(order)


def new_fleet(vms: collections.abc.Iterable[inventory.Vm], nursery: trio.Nursery, **options):
    """Return a fleet with one engine for each VM.

    :param options: fields of each :class:`MemoryEngine`
    """
    engines: dict[str, typing.Any] = {vm.address: MemoryEngine(vm, **options) for vm in vms}
    return MemoryFleet(engines, nursery)
