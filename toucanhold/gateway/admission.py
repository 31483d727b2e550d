"""Admits requests to backend servers and queues those for which no server has capacity.

The queue is ordered by rank, then by whether the response can still meet its objective, then by
arrival. Under overload, a queue in arrival order makes every response late, because each request
waits for those before it until it is late as well. This order spends the servers' time on responses
that can still be on time; late requests get the remaining capacity.
"""

from __future__ import annotations

import collections
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
# Groups form again within about a second of a loss, so a retry after this delay finds capacity.
RETRY_AFTER_S = 0.8
RETRY_JITTER_S = 0.4
# Limits and backoffs of servers change within a few seconds.
MAX_RETRY_AFTER_S = 5.0


@attrs.define(eq=False, order=False)
class _Waiter:
    """A queued request.

    :ivar latest_start_s: trio clock time after which the response misses its objective
    :ivar give_up_s: trio clock time until which it may wait
    :ivar excluded: IDs of servers to use only if there are no others
    :ivar decided: set when ``server`` has been assigned or the request is refused
    :ivar known_wait_s: time that it must still wait because of limits and backoffs of servers
    """

    service: table.Service
    model: str
    latest_start_s: float
    give_up_s: float
    excluded: collections.abc.Set[str]
    decided: trio.Event = attrs.field(factory=trio.Event)
    server: servers.Server | None = None
    known_wait_s: float = 0.0


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
        self.server_selector.rate_limiter.record_demand(service, model)
        server = self._try_place_immediately(service, model, excluded)
        if server is None:
            server = await self._wait_in_queue(
                service, model, priority, max_wait_s, latest_start_s, excluded
            )
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
        queued.sort(key=lambda item: (item[0], item[-1].latest_start_s < now_s, item[1]))
        full_keys: set[tuple[str, str]] = set()
        for item in queued:
            waiter = item[-1]
            key = waiter.service.name, waiter.model
            server = None
            if key not in full_keys:
                server = self._try_place(waiter.service, waiter.model, waiter.excluded)
            if server is None:
                full_keys.add(key)
                self._queue.append(item)
                continue
            waiter.server = server
            waiter.decided.set()
        self._reject_unservable()

    def _try_place_immediately(
        self, service: table.Service, model: str, excluded: collections.abc.Set[str]
    ) -> servers.Server | None:
        if any(
            waiter.service.name == service.name and waiter.model == model
            for *_, waiter in self._queue
        ):
            return None
        return self._try_place(service, model, excluded)

    def _try_place(
        self, service: table.Service, model: str, excluded: collections.abc.Set[str]
    ) -> servers.Server | None:
        candidates = self.server_selector.find_candidates(service, model)
        server = self.server_selector.choose(service, candidates, excluded)
        if server is not None:
            self.server_selector.record_placement(server)
        return server

    async def _wait_in_queue(
        self,
        service: table.Service,
        model: str,
        priority: int,
        max_wait_s: float,
        latest_start_s: float,
        excluded: collections.abc.Set[str],
    ) -> servers.Server:
        if not self.server_selector.find_candidates(
            service, model
        ) and not self._may_become_available(service, model):
            raise self._new_refusal(calls.RefusalReason.NO_SERVER)
        ahead = sum(
            (waiter.service.name, waiter.model) == (service.name, model) and rank <= priority
            for rank, _, waiter in self._queue
        )
        known_wait_s = self.server_selector.restrictions(service, model).wait_s(ahead)
        if known_wait_s > max_wait_s:
            raise self._new_refusal(calls.RefusalReason.NO_CAPACITY, known_wait_s)
        give_up_s = trio.current_time() + max_wait_s
        waiter = _Waiter(service, model, latest_start_s, give_up_s, excluded)
        item = (priority, next(self._arrival_numbers), waiter)
        self._queue_filled.set()
        self._queue.append(item)
        try:
            with trio.move_on_after(max_wait_s):
                await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.server is not None:
                self.server_selector.load_tracker.remove(waiter.server.server_id)
            raise
        finally:
            if item in self._queue:
                self._queue.remove(item)
        if waiter.server is None:
            raise self._new_refusal(calls.RefusalReason.NO_CAPACITY, waiter.known_wait_s)
        return waiter.server

    def _may_become_available(self, service: table.Service, model: str) -> bool:
        return service.engine is None or self.server_selector.is_group_forming(service, model)

    def _reject_unservable(self) -> None:
        """Refuse queued requests that limits and backoffs keep from being served in time."""
        now_s = trio.current_time()
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        restrictions: dict[tuple[str, str], targets.Restrictions] = {}
        queued, self._queue = self._queue, []
        for item in queued:
            waiter = item[-1]
            key = waiter.service.name, waiter.model
            if key not in restrictions:
                restrictions[key] = self.server_selector.restrictions(waiter.service, waiter.model)
            waiter.known_wait_s = restrictions[key].wait_s(counts[key])
            if now_s + waiter.known_wait_s > waiter.give_up_s:
                waiter.decided.set()
                continue
            counts[key] += 1
            self._queue.append(item)

    def _new_refusal(
        self, reason: calls.RefusalReason, known_wait_s: float = 0.0
    ) -> calls.CallError:
        jitter_s = self.server_selector.rng.uniform(0, RETRY_JITTER_S)
        delay_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, known_wait_s))
        return calls.CallError(reason, retry_after_s=delay_s + jitter_s)
