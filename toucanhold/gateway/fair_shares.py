"""Orders queued requests by the recent use of their workspaces at all entries.

Use is the time for which requests hold slots of a service and model. It decays, so that an idle
workspace earns no credit for long. As in start-time fair queueing (``routing/fairness.py``), each
request is charged when it starts, and the n-th queued request of a workspace counts as if those
before it had started.

Entries report use only while requests queue somewhere. They add it up in a count-min sketch: each
workspace is assigned one cell per row, and the smallest of its cells bounds its use from above. The
number of counts therefore depends neither on the number of workspaces nor on their names.
"""

from __future__ import annotations

import collections
import itertools
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import queueing, shared_counts, workspace_use
from toucanhold.registry import servers

# Requests are dispatched up to hundreds of times a second; keys this old still order them well.
KEYS_VALID_S = 0.01
# An aggregator sends hundreds of notices a second.
COUNTS_VALID_S = 0.05
COUNT_UNIT_S = 0.01
LOG_INTERVAL_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class FairShares(queueing.QueuePolicy, shared_counts.CountSource):
    """Orders equally urgent and equally late requests by the use of their workspaces.

    :ivar counts: use reported by other entries
    """

    counts: shared_counts.SharedCounts
    _pools: dict[tuple[str, str], workspace_use.SlotPool] = attrs.field(factory=dict, init=False)
    _arrival_numbers: itertools.count = attrs.field(factory=itertools.count, init=False)
    _started_s: dict[queueing.PlacementRequest, float] = attrs.field(factory=dict, init=False)
    _own_counts: dict[str, int] = attrs.field(factory=dict, init=False)
    _own_counts_until_s: float = attrs.field(default=-math.inf, init=False)

    def order_key(self, request: queueing.PlacementRequest, now_s: float) -> float:
        """See :class:`queueing.QueuePolicy`."""
        pool = self._pool(request)
        flow = pool.flow(request.workspace)
        if now_s >= flow.order_keys_until_s:
            self._refresh_keys(pool, flow, now_s)
        key = flow.order_keys.get(request)
        if key is not None:
            return key
        return pool.step(flow.next_uses_s.get(workspace_use.rank(request, now_s), flow.use_s))

    def record_queued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        pool = self._pool(request)
        pool.contended_until_s = trio.current_time() + workspace_use.CONTENTION_S
        flow = pool.flow(request.workspace)
        flow.waiting[request] = next(self._arrival_numbers)
        # If the cached keys are outdated, the next refresh replaces this one, too.
        _cache_key(pool, flow, request, trio.current_time())

    def record_dequeued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._pool(request).flow(request.workspace).waiting.pop(request, None)

    def record_started(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        pool = self._pool(request)
        flow = pool.flow(request.workspace)
        self._started_s[request] = trio.current_time()
        number = flow.waiting.pop(request, None)
        if number is not None:
            self._log_overtaken(pool, flow, request, number)
        flow.add_running(1)

    def record_ended(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        pool = self._pool(request)
        pool.flow(request.workspace).add_running(-1)
        started_s = self._started_s.pop(request, None)
        if started_s is not None:
            pool.record_hold(trio.current_time() - started_s)

    def own_counts(self) -> dict[str, int]:
        """See :class:`shared_counts.CountSource`: contention, and use in ``COUNT_UNIT_S``."""
        now_s = trio.current_time()
        if now_s >= self._own_counts_until_s:
            self._own_counts_until_s = now_s + COUNTS_VALID_S
            self._own_counts = self._new_counts(now_s)
        return dict(self._own_counts)

    def held_back_count(self) -> int:
        """Return the number of workspaces that wait behind others because they used more."""
        now_s = trio.current_time()
        held_back = 0
        for pool in self._pools.values():
            steps = [
                pool.step(self._use_s(pool, flow, now_s))
                for flow in pool.flows.values()
                if flow.waiting
            ]
            held_back += sum(step > min(steps) for step in steps)
        return held_back

    def _pool(self, request: queueing.PlacementRequest) -> workspace_use.SlotPool:
        # Callers choose the model's name, which services without models ignore.
        model = request.service.model_key(request.model)
        key = request.service.name, model
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = workspace_use.SlotPool(*key)
        return pool

    def _refresh_keys(
        self, pool: workspace_use.SlotPool, flow: workspace_use.Flow, now_s: float
    ) -> None:
        flow.use_s = self._use_s(pool, flow, now_s)
        flow.order_keys, flow.next_uses_s = {}, {}
        for request in flow.waiting:
            _cache_key(pool, flow, request, now_s)
        flow.order_keys_until_s = now_s + KEYS_VALID_S

    def _use_s(self, pool: workspace_use.SlotPool, flow: workspace_use.Flow, now_s: float) -> float:
        others_use = min(self.counts.others(cell) for cell in flow.cells)
        return pool.own_use_s(flow, now_s) + others_use * COUNT_UNIT_S

    def _new_counts(self, now_s: float) -> dict[str, int]:
        marks: dict[str, int] = {}
        uses_s: collections.Counter[str] = collections.Counter()
        for pool in self._pools.values():
            if pool.update_contention(now_s):
                marks[pool.mark] = 1
            elif not self.counts.others(pool.mark):
                continue
            for flow in pool.flows.values():
                for cell in flow.cells:
                    uses_s[cell] += pool.own_use_s(flow, now_s)
        uses = {cell: round(use_s / COUNT_UNIT_S) for cell, use_s in uses_s.items()}
        return marks | {cell: use for cell, use in uses.items() if use}

    def _log_overtaken(
        self,
        pool: workspace_use.SlotPool,
        flow: workspace_use.Flow,
        request: queueing.PlacementRequest,
        number: int,
    ) -> None:
        now_s = trio.current_time()
        if now_s - pool.logged_s < LOG_INTERVAL_S:
            return
        overtaken = [
            other for other in pool.flows.values() if other.has_older(request, number, now_s)
        ]
        if not overtaken:
            return
        pool.logged_s = now_s
        largest = max(overtaken, key=lambda each: self._use_s(pool, each, now_s))
        events.log(
            LOGGER,
            events.Event.WORKSPACE_HELD_BACK,
            service=pool.service,
            model=pool.model,
            workspace=largest.workspace,
            use_s=round(self._use_s(pool, largest, now_s), 2),
            own_use_s=round(pool.own_use_s(largest, now_s), 2),
            waiting=len(largest.waiting),
            served_workspace=flow.workspace,
            served_use_s=round(self._use_s(pool, flow, now_s), 2),
        )


def _cache_key(
    pool: workspace_use.SlotPool,
    flow: workspace_use.Flow,
    request: queueing.PlacementRequest,
    now_s: float,
) -> None:
    """Compute the key of a request that queues behind those whose keys are cached."""
    rank = workspace_use.rank(request, now_s)
    use_s = flow.next_uses_s.get(rank, flow.use_s)
    flow.order_keys[request] = pool.step(use_s)
    flow.next_uses_s[rank] = use_s + pool.charge_s
