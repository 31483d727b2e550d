"""Admits requests to backend servers and queues those for which no server has capacity.

The queue is ordered by rank, then by whether the response can still meet its objective, then by
arrival. Under overload, a queue in arrival order makes every response late, because each request
waits for those before it until it is late as well. This order spends the servers' time on responses
that can still be on time; late requests get the remaining capacity.

After an outage, the callers that come back are late already and many. If they filled all slots at
once, the requests that arrive next would wait for a slot and for the prompts read before their own,
and be late as well. A request that was late on arrival therefore leaves a part of each server's
slots free, the less the longer it has waited. None is refused for it: in the end it takes any slot.
"""

from __future__ import annotations

import collections.abc
import contextlib
import itertools

import attrs
import trio

from toucanhold.gateway import calls, targets
from toucanhold.registry import servers
from toucanhold.routes import table

# Capacity also appears without an event in this entry: requests of other entries finish, groups
# form, servers warm up.
DISPATCH_INTERVAL_S = 0.02
# Fraction of a server's slots that a request may use that was late on arrival. It grows to 1 over
# this fraction of its maximum time in the queue.
LATE_SLOT_FRACTION = 2 / 3
LATE_GROWTH_FRACTION = 0.6
# Groups form again within about a second of a loss, so a retry after this delay finds capacity.
RETRY_AFTER_S = 0.8
RETRY_JITTER_S = 0.4


@attrs.define(eq=False, order=False)
class _Waiter:
    """A queued request.

    :ivar latest_start_s: trio clock time after which the response misses its objective
    :ivar arrived_s: trio clock time at which it was queued
    :ivar max_wait_s: maximum time in the queue
    :ivar excluded: IDs of servers to use only if there are no others
    :ivar assigned: set when ``server`` has been assigned
    """

    service: table.Service
    model: str
    latest_start_s: float
    arrived_s: float
    max_wait_s: float
    excluded: collections.abc.Set[str]
    assigned: trio.Event = attrs.field(factory=trio.Event)
    server: servers.Server | None = None

    def is_late(self, now_s: float) -> bool:
        """Return whether the response misses its objective."""
        return self.latest_start_s < now_s

    def slot_fraction(self, now_s: float) -> float:
        """Return the fraction of a server's slots up to which it may be placed there."""
        if self.latest_start_s >= self.arrived_s:
            return 1.0
        growth = (now_s - self.arrived_s) / (LATE_GROWTH_FRACTION * self.max_wait_s)
        return min(1.0, LATE_SLOT_FRACTION + (1 - LATE_SLOT_FRACTION) * growth)


@attrs.define(eq=False)
class Admission:
    """Places requests on servers and queues those for which no server has capacity.

    :ivar server_selector: selects servers and tracks their load
    """

    server_selector: targets.ServerSelector
    _queue: list[tuple[int, int, _Waiter]] = attrs.field(factory=list, init=False)
    _queue_filled: trio.Event = attrs.field(factory=trio.Event, init=False)
    _arrival_numbers: collections.abc.Iterator[int] = attrs.field(
        factory=itertools.count, init=False
    )

    @property
    def queue_length(self) -> int:
        """Number of requests that are queued."""
        return len(self._queue)

    def has_capacity(
        self, service: table.Service, model: str, excluded: collections.abc.Set[str]
    ) -> bool:
        """Return whether a server that is not excluded has capacity now."""
        candidates = [
            server
            for server in self.server_selector.find_candidates(service, model)
            if server.server_id not in excluded
        ]
        return self.server_selector.choose(service, candidates, frozenset()) is not None

    def may_wait_at(self, service: table.Service, server: servers.Server) -> bool:
        """Return whether a request may wait at a server because all its slots are in use."""
        return not self.server_selector.has_free_slot(service, server)

    @contextlib.asynccontextmanager
    async def place(
        self,
        service: table.Service,
        model: str,
        priority: int,
        max_wait_s: float,
        latest_start_s: float,
        excluded: collections.abc.Set[str] = frozenset(),
    ) -> collections.abc.AsyncIterator[servers.Server]:
        """Reserve a slot on a server while the context is open.

        :param priority: 0 is the most urgent
        :param max_wait_s: maximum time in the queue
        :param latest_start_s: trio clock time after which the response misses its objective
        :param excluded: IDs of servers to use only if there are no others
        :raises calls.CallError: if no server has capacity within ``max_wait_s`` (NO_CAPACITY), or
            no server serves the model and no group of it is forming (NO_SERVER)
        """
        arrived_s = trio.current_time()
        waiter = _Waiter(service, model, latest_start_s, arrived_s, max_wait_s, excluded)
        server = self._try_place_immediately(waiter)
        if server is None:
            server = await self._wait_in_queue(waiter, priority)
        try:
            yield server
        finally:
            self.server_selector.load_tracker.remove(server.server_id)
            self.dispatch()

    async def run(self) -> None:
        """Dispatch queued requests every ``DISPATCH_INTERVAL_S`` until cancelled."""
        while True:
            if not self._queue:
                await self._queue_filled.wait()
                self._queue_filled = trio.Event()
            await trio.sleep(DISPATCH_INTERVAL_S)
            self.dispatch()

    def dispatch(self) -> None:
        """Assign servers with capacity to queued requests in queue order."""
        now_s = trio.current_time()
        queued, self._queue = self._queue, []
        # By priority, then requests that can still be on time, then by arrival.
        queued.sort(key=lambda item: (item[0], item[-1].is_late(now_s), item[1]))
        full_fractions: dict[tuple[str, str], float] = {}
        for item in queued:
            waiter = item[-1]
            key = waiter.service.name, waiter.model
            slot_fraction = waiter.slot_fraction(now_s)
            server = None
            # What is full for one request is full for those that may use no more of it.
            if slot_fraction > full_fractions.get(key, 0.0):
                server = self._try_place(waiter, slot_fraction)
            if server is None:
                full_fractions[key] = max(slot_fraction, full_fractions.get(key, 0.0))
                self._queue.append(item)
                continue
            waiter.server = server
            waiter.assigned.set()

    def _try_place_immediately(self, waiter: _Waiter) -> servers.Server | None:
        now_s = trio.current_time()
        is_late = waiter.is_late(now_s)
        if any(
            (other.service.name, other.model) == (waiter.service.name, waiter.model)
            and (is_late or not other.is_late(now_s))
            for *_, other in self._queue
        ):
            return None
        return self._try_place(waiter, waiter.slot_fraction(now_s))

    def _try_place(self, waiter: _Waiter, slot_fraction: float) -> servers.Server | None:
        candidates = self.server_selector.find_candidates(waiter.service, waiter.model)
        server = self.server_selector.choose(
            waiter.service, candidates, waiter.excluded, slot_fraction
        )
        if server is not None:
            self.server_selector.record_placement(server)
        return server

    async def _wait_in_queue(self, waiter: _Waiter, priority: int) -> servers.Server:
        service, model = waiter.service, waiter.model
        if not self.server_selector.find_candidates(
            service, model
        ) and not self._may_become_available(service, model):
            raise self._new_refusal(calls.RefusalReason.NO_SERVER)
        item = (priority, next(self._arrival_numbers), waiter)
        self._queue_filled.set()
        self._queue.append(item)
        try:
            with trio.move_on_after(waiter.max_wait_s):
                await waiter.assigned.wait()
        except trio.Cancelled:
            if waiter.server is not None:
                self.server_selector.load_tracker.remove(waiter.server.server_id)
            raise
        finally:
            if item in self._queue:
                self._queue.remove(item)
        if waiter.server is None:
            raise self._new_refusal(calls.RefusalReason.NO_CAPACITY)
        return waiter.server

    def _may_become_available(self, service: table.Service, model: str) -> bool:
        return service.engine is None or self.server_selector.is_group_forming(service, model)

    def _new_refusal(self, reason: calls.RefusalReason) -> calls.CallError:
        jitter_s = self.server_selector.rng.uniform(0, RETRY_JITTER_S)
        return calls.CallError(reason, retry_after_s=RETRY_AFTER_S + jitter_s)
