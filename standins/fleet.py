"""Model engines in memory behind the backend client's interface, for trio's test clock."""

from __future__ import annotations

import collections.abc
import contextlib
import enum
import typing

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import inventory


class Mode(enum.Enum):
    """How an engine's VM answers."""

    UP = "up"
    REFUSING = "refusing"
    SILENT = "silent"


@attrs.define(eq=False)
class WeightStore:
    """Gives weights to all engines together at a fixed rate.

    :ivar full_rate_loads: loads at once that each get their full rate
    """

    full_rate_loads: int = 1_000_000
    _ends_s: list[float] = attrs.field(factory=list)
    loads: int = 0

    def load(self, load_s: float) -> float:
        """Begin a load and return when it ends."""
        now_s = trio.current_time()
        self._ends_s = [end_s for end_s in self._ends_s if end_s > now_s]
        self.loads += 1
        slowdown = max(1.0, (len(self._ends_s) + 1) / self.full_rate_loads)
        self._ends_s.append(now_s + load_s * slowdown)
        return self._ends_s[-1]


@attrs.define(eq=False)
class MemoryEngine:
    """One engine.

    :ivar load_s: time to load a model's weights
    :ivar store: where it loads them from
    :ivar running: requests that it claims to run
    :ivar lost_answers: number of coming orders that it obeys without an answer
    :ivar order_delay_s: time that an order spends on its way, longer than its sender waits
    :ivar history: orders obeyed, with their times
    """

    vm: inventory.Vm
    load_s: float = 1.0
    store: WeightStore = attrs.field(factory=WeightStore)
    mode: Mode = Mode.UP
    running: int = 0
    leaving: bool = False
    lost_answers: int = 0
    order_delay_s: float = 0.0
    boot: int = 1
    place: client.JoinOrder | None = None
    weights: tuple[str | None, str] = (None, "")
    highest_fencing: int = 0
    history: list[tuple[float, client.Order]] = attrs.field(factory=list)
    _loaded_at_s: float = 0.0

    def report(self) -> client.Report:
        """Return the load report."""
        loading = self.place is not None and trio.current_time() < self._loaded_at_s
        place = None if loading else self.place
        return client.Report(
            vm=self.vm.vm,
            boot_id=f"{self.vm.vm}-{self.boot}",
            warmth=client.Warmth.WARM,
            running=self.running,
            group=place.group if place else None,
            generation=place.generation if place else 0,
            rank=place.rank if place else 0,
            model=None if loading else self.weights[0],
            version="" if loading else self.weights[1],
            loading=loading,
            leaving=self.leaving,
            highest_fencing=self.highest_fencing,
        )

    def obey(self, order: client.Order) -> None:
        """Carry out an order.

        :raises client.OrderRefusedError: for an old fencing number, where it checks
        """
        checks = self.vm.fencing is inventory.Fencing.CHECKED
        if checks and order.fencing < self.highest_fencing:
            raise client.OrderRefusedError(f"{self.vm.vm}: {order.fencing} is old")
        self.highest_fencing = max(order.fencing, self.highest_fencing)
        self.history.append((trio.current_time(), order))
        if isinstance(order, client.LeaveOrder):
            self.place = None
            return
        wanted = (order.model, order.version)
        if wanted != self.weights:
            self._loaded_at_s = self.store.load(self.load_s)
        self.place, self.weights = order, wanted

    def restart(self) -> None:
        """Lose everything and come back as another process."""
        self.boot += 1
        self.place, self.weights, self.highest_fencing = None, (None, ""), 0
        self.running = 0
        self.mode = Mode.UP


@attrs.define(eq=False)
class MemoryFleet(client.BackendClient):
    """All engines, by address.

    :ivar cut: addresses that a caller of this client cannot reach
    :ivar gate: orders wait for it after their sender's last look at its lease, as in a pause
    """

    engines: dict[str, MemoryEngine]
    nursery: trio.Nursery
    cut: set[str] = attrs.field(factory=set)
    gate: trio.Event | None = None

    def seen_from(self) -> MemoryFleet:
        """Return a client with the same engines and cuts of its own."""
        return MemoryFleet(self.engines, self.nursery)

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        return (await self._reach(address, timeout_s)).report()

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""
        if self.gate is not None:
            await self.gate.wait()
        engine = await self._reach(address, timeout_s)
        if engine.order_delay_s:
            self.nursery.start_soon(self._deliver_late, engine, order, engine.order_delay_s)
            await trio.sleep(timeout_s)
            raise client.AnswerLostError(f"{address}: no answer")
        engine.obey(order)
        if engine.lost_answers:
            engine.lost_answers -= 1
            await trio.sleep(timeout_s)
            raise client.AnswerLostError(f"{address}: no answer")

    def forward(
        self, address: str, request: client.ForwardedRequest
    ) -> contextlib.AbstractAsyncContextManager[client.ForwardedResponse]:
        """Serve nothing: these engines only join and leave."""
        raise client.NotSentError(f"{address}: takes no requests")

    async def _reach(self, address: str, timeout_s: float) -> MemoryEngine:
        await trio.lowlevel.checkpoint()
        engine = self.engines[address]
        if engine.mode is Mode.REFUSING and address not in self.cut:
            raise client.ConnectRefusedError(f"{address}: refused")
        if engine.mode is not Mode.UP or address in self.cut:
            await trio.sleep(timeout_s)
            raise client.AnswerLostError(f"{address}: no answer")
        return engine

    async def _deliver_late(
        self, engine: MemoryEngine, order: client.Order, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        with contextlib.suppress(client.OrderRefusedError):
            engine.obey(order)


def new_fleet(vms: collections.abc.Iterable[inventory.Vm], nursery: trio.Nursery, **options):
    """Return a fleet with an engine for each VM.

    :param options: fields of :class:`MemoryEngine`
    """
    engines: dict[str, typing.Any] = {vm.address: MemoryEngine(vm, **options) for vm in vms}
    return MemoryFleet(engines, nursery)
