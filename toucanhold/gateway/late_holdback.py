"""Holds back late requests so that those that can be on time find free slots.

A stream holds its slot for several times its objective. Late requests that take every slot would
therefore make the requests that follow late as well. A late request gets a slot only beyond those
that on-time requests are expected to need: their arrival rate times the time that a slot is held.
"""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import (
    entry_shares,
    load,
    queueing,
    selection,
    shared_counts,
    slot_needs,
)
from toucanhold.registry import servers
from toucanhold.routes import table

# Late requests keep at least this part of the entry's share of the slots.
MIN_LATE_FRACTION = 0.1
# Queued requests are checked more often than their limits change.
REFRESH_INTERVAL_S = 0.02
# Notices are sent ten times a second, and looking at all servers takes most of their time.
COUNT_REFRESH_S = 1.0
LOG_INTERVAL_S = 1.0
# Rates and needs are reported as integers, in this fraction of a unit.
REPORT_SCALE = 100

ARRIVALS_PREFIX = "late/arrivals/"
NEED_PREFIX = "late/need/"
ON_TIME_PREFIX = "late/on-time/"

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _Started:
    """A request that holds a slot."""

    state: slot_needs.ModelState
    is_late: bool
    started_s: float = attrs.field(factory=trio.current_time)


@attrs.define(eq=False)
class LateHoldback(queueing.QueuePolicy, shared_counts.CountSource):
    """Decides which late requests may start.

    A late request is held back only for on-time requests that are at least as urgent.

    :ivar find_servers: returns the servers of a service and model that serve requests now
    :ivar held_count: number of queued requests that were held back
    """

    shares: entry_shares.EntryShares
    load_tracker: load.LoadTracker
    find_servers: collections.abc.Callable[[table.Service, str], list[servers.Server]]
    held_count: int = attrs.field(default=0, init=False)
    _first_request_s: float | None = attrs.field(default=None, init=False)
    _states: dict[tuple[str, str], slot_needs.ModelState] = attrs.field(factory=dict, init=False)
    _started: dict[queueing.PlacementRequest, _Started] = attrs.field(factory=dict, init=False)
    _queued: set[queueing.PlacementRequest] = attrs.field(factory=set, init=False)
    _held: set[queueing.PlacementRequest] = attrs.field(factory=set, init=False)

    def may_start(self, request: queueing.PlacementRequest, now_s: float) -> bool:
        """See :class:`queueing.QueuePolicy`."""
        if not _is_late(request, now_s):
            return True
        if _key(request) not in self._states and not self.find_servers(*_target(request)):
            return True
        state = self._state(request)
        self._refresh(state, now_s)
        allowance = self._allowance(state, request.priority)
        late_count = state.late_in_flight(request.priority)
        if late_count + 1 <= allowance.slots:
            return True
        if allowance.credit >= 1 and (late_count <= allowance.slots or state.spare_slots):
            return True
        # Few free slots divided among many entries would give none of them a start.
        is_mostly_free = state.site_spare_slots >= max(1.0, state.site_slots / 2)
        if is_mostly_free and not state.late_in_flight(request.priority):
            return True
        self._record_held(state, request, allowance, now_s)
        return False

    def record_queued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        is_late = _is_late(request, trio.current_time())
        self._state(request).record_arrival(request.priority, is_late)
        self._queued.add(request)

    def record_dequeued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._queued.discard(request)
        self._held.discard(request)

    def record_started(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        state = self._state(request)
        started = _Started(state, _is_late(request, trio.current_time()))
        if request not in self._queued:
            state.record_arrival(request.priority, started.is_late)
        if started.is_late:
            allowance = self._allowance(state, request.priority)
            if state.late_in_flight(request.priority) + 1 > allowance.slots:
                state.take_credit(request.priority)
            # Each start takes from the slots that are free; the next refresh may be later.
            state.spare_slots = max(0.0, state.spare_slots - 1)
        state.in_flight[request.priority, started.is_late] += 1
        state.started_sum_s += started.started_s
        self._started[request] = started

    def record_ended(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        started = self._started.pop(request)
        state = started.state
        shared_counts.subtract(state.in_flight, {(request.priority, started.is_late): 1})
        state.started_sum_s -= started.started_s
        state.record_hold(trio.current_time() - started.started_s)

    def own_counts(self) -> dict[str, int]:
        """See :class:`shared_counts.CountSource`."""
        counts = {}
        now_s = trio.current_time()
        for state in self._states.values():
            # The need depends on this entry's share of the slots only until it is known.
            if not state.is_need_known and now_s - state.refreshed_s >= COUNT_REFRESH_S:
                self._refresh(state, now_s)
            counts[ARRIVALS_PREFIX + state.name] = _to_count(state.arrivals.per_s())
            counts[NEED_PREFIX + state.name] = _to_count(state.need())
            counts[ON_TIME_PREFIX + state.name] = state.on_time_in_flight()
        return {key: count for key, count in counts.items() if count}

    def reserved_slots(self) -> dict[str, float]:
        """Return the slots that this entry reserves for on-time requests, by service and model."""
        return {
            state.name: min(state.need(), (1 - MIN_LATE_FRACTION) * state.share_slots)
            for state in self._states.values()
        }

    def _state(self, request: queueing.PlacementRequest) -> slot_needs.ModelState:
        key = _key(request)
        if key not in self._states:
            if self._first_request_s is None:
                self._first_request_s = trio.current_time()
            self._states[key] = slot_needs.ModelState(
                *_target(request), "/".join(key), self._first_request_s
            )
        state = self._states[key]
        # A new version of the configuration may change the engine.
        state.service = request.service
        return state

    def _allowance(self, state: slot_needs.ModelState, priority: int) -> slot_needs.Allowance:
        allowance = state.allowances.get(priority)
        if allowance is None:
            # The draws spread the starts: all entries together begin with as many as are allowed.
            draw = self.shares.draw(f"{state.name}/{priority}")
            allowance = state.allowances[priority] = slot_needs.Allowance(draw)
            self._update(state, priority, allowance)
            allowance.credit += max(allowance.slots % 1, state.spare_slots)
            state.limit_credits()
        return allowance

    def _update(
        self, state: slot_needs.ModelState, priority: int, allowance: slot_needs.Allowance
    ) -> None:
        least = MIN_LATE_FRACTION * state.share_slots
        allowance.slots = max(least, state.share_slots - state.need(priority))
        allowance.accrue(state.expected_hold_s(), state.spare_slots)

    def _refresh(self, state: slot_needs.ModelState, now_s: float) -> None:
        if now_s - state.refreshed_s < REFRESH_INTERVAL_S:
            return
        state.refreshed_s = now_s
        usable = self.find_servers(state.service, state.model)
        slots = {server.server_id: selection.slot_count(state.service, server) for server in usable}
        share = self._share(state)
        state.site_slots = sum(slots.values())
        state.site_spare_slots = self._spare_slots(state, slots)
        state.share_slots = share * state.site_slots
        state.spare_slots = share * state.site_spare_slots
        for priority, allowance in state.allowances.items():
            self._update(state, priority, allowance)

    def _share(self, state: slot_needs.ModelState) -> float:
        if not state.has_arrival_rates:
            return self.shares.by_size()
        own = _to_count(state.arrivals.per_s())
        return self.shares.by_count(ARRIVALS_PREFIX + state.name, own)

    def _spare_slots(self, state: slot_needs.ModelState, slots: dict[str, int]) -> float:
        """Return the slots of all servers that are free beyond what on-time requests need."""
        counts = self.shares.counts
        if not counts.has_sources and not self.shares.is_alone:
            return 0.0
        free = sum(
            max(0, count - self.load_tracker.estimate(server_id))
            for server_id, count in slots.items()
        )
        need = state.need() + counts.others(NEED_PREFIX + state.name) / REPORT_SCALE
        on_time = state.on_time_in_flight() + counts.others(ON_TIME_PREFIX + state.name)
        spare = free - max(0.0, need - on_time)
        return spare if spare >= 1 else 0.0

    def _record_held(
        self,
        state: slot_needs.ModelState,
        request: queueing.PlacementRequest,
        allowance: slot_needs.Allowance,
        now_s: float,
    ) -> None:
        if request in self._queued and request not in self._held:
            self._held.add(request)
            self.held_count += 1
        if now_s - state.logged_s < LOG_INTERVAL_S:
            return
        state.logged_s = now_s
        events.log(
            LOGGER,
            events.Event.LATE_REQUEST_HELD,
            service=state.service.name,
            model=state.model or None,
            priority=request.priority,
            late_in_flight=state.late_in_flight(request.priority),
            late_slots=round(allowance.slots, 2),
            share_slots=round(state.share_slots, 2),
            needed_slots=round(state.need(request.priority), 2),
        )


def _is_late(request: queueing.PlacementRequest, now_s: float) -> bool:
    return request.certain_latest_start_s < now_s


def _target(request: queueing.PlacementRequest) -> tuple[table.Service, str]:
    """Return the service and the model; services without engines ignore the model."""
    return request.service, request.service.model_key(request.model)


def _key(request: queueing.PlacementRequest) -> tuple[str, str]:
    service, model = _target(request)
    return service.name, model


def _to_count(value: float) -> int:
    return round(REPORT_SCALE * value)
