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

from toucanhold import supervision
from toucanhold.gateway import calls, queueing, targets
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


@attrs.define(eq=False)
class Placement(contextlib.AbstractContextManager):
    """A slot on a server, reserved until the context ends."""

    admission: Admission
    request: queueing.PlacementRequest
    server: servers.Server

    def __exit__(self, *exc_info: object) -> None:
        """Release the slot."""
        self.admission.release(self.request, self.server)


@attrs.define(eq=False)
class Admission:
    """Places requests on servers and queues those for which no server has capacity.

    :ivar server_selector: selects servers and tracks their load
    :ivar policies: optional policies; the first has the most weight in the order of the queue
    """

    server_selector: targets.ServerSelector
    policies: collections.abc.Sequence[queueing.QueuePolicy] = ()
    _queue: list[queueing.Waiter] = attrs.field(factory=list, init=False)
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
        return self.server_selector.has_capacity(service, candidates)

    def may_wait_at(self, service: table.Service, server: servers.Server) -> bool:
        """Return whether a request may wait at a server because all its slots are in use."""
        return not self.server_selector.has_free_slot(service, server)

    @contextlib.asynccontextmanager
    async def place(
        self, request: queueing.PlacementRequest
    ) -> collections.abc.AsyncIterator[servers.Server]:
        """Reserve a slot on a server while the context is open; see :meth:`acquire`."""
        with await self.acquire(request) as placement:
            yield placement.server

    async def acquire(self, request: queueing.PlacementRequest) -> Placement:
        """Reserve a slot on a server once there is one.

        :raises calls.CallError: if no server has capacity within the request's maximum wait
            (NO_CAPACITY), or no server serves the model and no group of it is forming (NO_SERVER)
        """
        self.server_selector.rate_limiter.record_demand(request.service, request.model)
        server = self._try_place_immediately(request)
        if server is None:
            server = await self._wait_in_queue(request)
        return Placement(self, request, server)

    def try_acquire(
        self, request: queueing.PlacementRequest, preferred: collections.abc.Set[str]
    ) -> Placement | None:
        """Reserve a slot for one more attempt of a running call, or return None if none is free.

        Servers that are excluded, avoided or suspended are not used.

        :param preferred: IDs of servers that are better than all others
        """
        if not self._may_start(request, trio.current_time()):
            return None
        server = self.server_selector.choose_sound(
            request.service, request.model, request.excluded, preferred
        )
        if server is None:
            return None
        self._record_started(request, server)
        return Placement(self, request, server)

    def has_sound_server(self, request: queueing.PlacementRequest) -> bool:
        """Return whether :meth:`try_acquire` would find a server now."""
        server = self.server_selector.choose_sound(
            request.service, request.model, request.excluded, frozenset()
        )
        return server is not None

    def release(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """Release a slot and give it to a queued request."""
        self._release(request, server)
        supervision.call(self.dispatch)

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
        queued = sorted(self._queue, key=lambda waiter: self._order_key(waiter, now_s))
        self._queue = []
        full_keys: set[tuple[str, str]] = set()
        for waiter in queued:
            if not supervision.call(self._dispatch_one, waiter, now_s, full_keys):
                waiter.decided.set()
        self._reject_unservable()

    def _dispatch_one(
        self, waiter: queueing.Waiter, now_s: float, full_keys: set[tuple[str, str]]
    ) -> None:
        """Assign a server to a queued request, or leave it in the queue.

        :param full_keys: services and models without capacity; extended
        """
        request = waiter.request
        if request.key in full_keys or not self._may_start(request, now_s):
            self._queue.append(waiter)
            return
        waiter.server = self._try_place(request)
        if waiter.server is None:
            full_keys.add(request.key)
            self._queue.append(waiter)
            return
        waiter.decided.set()

    def _order_key(self, waiter: queueing.Waiter, now_s: float) -> tuple[float, ...]:
        # By priority, then requests that can still be on time, then by policies, then by arrival.
        request = waiter.request
        policy_keys = self._policy_keys(request, now_s)
        return request.priority, request.is_late(now_s), *policy_keys, waiter.arrival_number

    def _policy_keys(self, request: queueing.PlacementRequest, now_s: float) -> tuple[float, ...]:
        return tuple(policy.order_key(request, now_s) for policy in self.policies)

    def _may_start(self, request: queueing.PlacementRequest, now_s: float) -> bool:
        return all(policy.may_start(request, now_s) for policy in self.policies)

    def _try_place_immediately(self, request: queueing.PlacementRequest) -> servers.Server | None:
        now_s = trio.current_time()
        if not self._may_start(request, now_s) or any(
            waiter.request.key == request.key and self._may_start(waiter.request, now_s)
            for waiter in self._queue
        ):
            return None
        return self._try_place(request)

    def _try_place(self, request: queueing.PlacementRequest) -> servers.Server | None:
        candidates = self.server_selector.find_candidates(request.service, request.model)
        server = self.server_selector.choose(request.service, candidates, request.excluded)
        if server is not None:
            self._record_started(request, server)
        return server

    def _record_started(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        self.server_selector.record_placement(request.service, server)
        for policy in self.policies:
            policy.record_started(request, server)

    def _release(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        self.server_selector.load_tracker.remove(server.server_id)
        for policy in self.policies:
            policy.record_ended(request, server)

    async def _wait_in_queue(self, request: queueing.PlacementRequest) -> servers.Server:
        if not self.server_selector.find_candidates(
            request.service, request.model
        ) and not self._may_become_available(request.service, request.model):
            raise self._new_refusal(request, calls.RefusalReason.NO_SERVER)
        known_wait_s = self._known_wait_s(request)
        if known_wait_s > request.max_wait_s:
            raise self._new_refusal(request, calls.RefusalReason.NO_CAPACITY, known_wait_s)
        now_s = trio.current_time()
        waiter = queueing.Waiter(request, next(self._arrival_numbers), now_s + request.max_wait_s)
        if self._reject_by_forecast(waiter, self._count_ahead(waiter, now_s), {}):
            raise self._new_refusal(request, calls.RefusalReason.NO_CAPACITY, waiter.known_wait_s)
        self._queue_filled.set()
        self._queue.append(waiter)
        for policy in self.policies:
            policy.record_queued(request)
        try:
            with trio.move_on_after(request.max_wait_s):
                await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.server is not None:
                self._release(request, waiter.server)
            raise
        finally:
            if waiter in self._queue:
                self._queue.remove(waiter)
            for policy in self.policies:
                policy.record_dequeued(request)
        if waiter.server is None:
            raise self._new_refusal(request, calls.RefusalReason.NO_CAPACITY, waiter.known_wait_s)
        return waiter.server

    def _known_wait_s(self, request: queueing.PlacementRequest) -> float:
        now_s = trio.current_time()
        place = request.priority, self._policy_keys(request, now_s)
        ahead = sum(
            waiter.request.key == request.key
            and (waiter.request.priority, self._policy_keys(waiter.request, now_s)) <= place
            for waiter in self._queue
        )
        restrictions = self.server_selector.restrictions(request.service, request.model)
        return restrictions.wait_s(ahead)

    def _count_ahead(self, waiter: queueing.Waiter, now_s: float) -> int:
        if not self.policies:
            return 0
        own_key = self._order_key(waiter, now_s)
        return sum(
            other.request.key == waiter.request.key and self._order_key(other, now_s) < own_key
            for other in self._queue
        )

    def _reject_by_forecast(
        self, waiter: queueing.Waiter, ahead: int, may_get_slot: dict[tuple[str, str], bool]
    ) -> bool:
        """Refuse a request that gets no slot in time by forecast; return whether it is refused.

        :param may_get_slot: whether capacity exists or is forming; filled by service and model
        """
        request = waiter.request
        wait_s = max(
            (policy.expected_wait_s(request, ahead) for policy in self.policies), default=0.0
        )
        if wait_s <= 0 or trio.current_time() + wait_s <= waiter.give_up_s:
            return False
        if request.key not in may_get_slot:
            may_get_slot[request.key] = self.server_selector.has_forming_group(
                request.service, request.model
            ) or self.has_capacity(request.service, request.model, frozenset())
        if may_get_slot[request.key]:
            return False
        waiter.known_wait_s = wait_s
        for policy in self.policies:
            policy.record_forecast_refusal(request, wait_s)
        return True

    def _may_become_available(self, service: table.Service, model: str) -> bool:
        return service.engine is None or self.server_selector.is_group_forming(service, model)

    def _reject_unservable(self) -> None:
        """Refuse queued requests that will not be served in time."""
        now_s = trio.current_time()
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        restrictions: dict[tuple[str, str], targets.Restrictions] = {}
        may_get_slot: dict[tuple[str, str], bool] = {}
        queued, self._queue = self._queue, []
        for waiter in queued:
            request = waiter.request
            key = request.key
            if key not in restrictions:
                restrictions[key] = self.server_selector.restrictions(
                    request.service, request.model
                )
            waiter.known_wait_s = restrictions[key].wait_s(counts[key])
            if now_s + waiter.known_wait_s > waiter.give_up_s or self._reject_by_forecast(
                waiter, counts[key], may_get_slot
            ):
                waiter.decided.set()
                continue
            counts[key] += 1
            self._queue.append(waiter)

    def _new_refusal(
        self,
        request: queueing.PlacementRequest,
        reason: calls.RefusalReason,
        known_wait_s: float = 0.0,
    ) -> calls.CallError:
        jitter_s = self.server_selector.rng.uniform(0, RETRY_JITTER_S)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, known_wait_s)) + jitter_s
        for policy in self.policies:
            retry_after_s = policy.retry_after_s(request, retry_after_s)
        for policy in self.policies:
            policy.record_refused(request, retry_after_s)
        return calls.CallError(reason, retry_after_s=retry_after_s)
