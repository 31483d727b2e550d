"""Divides the free slots of servers among the entries that have requests for them.

Entries learn of each other's requests only after the time that a notice takes. Without shares,
several of them fill the same free slots. Each entry therefore places at most its share of a
server's free slots within that time.
"""

from __future__ import annotations

import collections
import collections.abc
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import entry_shares, load, queueing, selection, shared_counts, sharing
from toucanhold.registry import servers
from toucanhold.routes import table

# Time after which the other entries know of a request that this entry has placed.
NOTICE_TIME_S = 0.25
# An entry that hears from no other for longer places at least one request at a time; shares by size
# may give it no slot at all.
ISOLATION_S = 1.0
LOG_INTERVAL_S = 1.0

WAITING_PREFIX = "slots/waiting/"
IN_FLIGHT_PREFIX = "slots/in-flight/"

LOGGER = logging.getLogger(__name__)


@attrs.define
class _RecentTimes:
    """Times of events within ``NOTICE_TIME_S``."""

    _times_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def add(self) -> None:
        self._times_s.append(trio.current_time())

    def count(self) -> int:
        oldest_s = trio.current_time() - NOTICE_TIME_S
        while self._times_s and self._times_s[0] <= oldest_s:
            self._times_s.popleft()
        return len(self._times_s)


@attrs.define
class _Turns:
    """Rounds shares below one so that an entry gets its share over time.

    The fraction is added up once in ``NOTICE_TIME_S``; each time that it reaches one, the entry has
    a turn, which ends with that time. Turns are not saved up: all entries would use theirs at once.
    """

    phase: float
    has_turn: bool = False
    _period: int = -1

    def update(self, fraction: float) -> bool:
        """Return whether this entry has a turn now."""
        period = int(trio.current_time() // NOTICE_TIME_S)
        if period != self._period:
            self._period = period
            self.has_turn = self.phase + fraction >= 1
            self.phase = (self.phase + fraction) % 1
        return self.has_turn


@attrs.define(eq=False)
class _ServerState:
    """This entry's use of one server.

    :ivar placed: requests placed that other entries may not know of
    :ivar ended: requests ended of which other entries may not know
    """

    turns: _Turns
    placed: _RecentTimes = attrs.field(factory=_RecentTimes)
    ended: _RecentTimes = attrs.field(factory=_RecentTimes)


@attrs.define(eq=False)
class _ModelState:
    """This entry's requests for one service and model.

    :ivar reported: :meth:`waiting` at the last report
    :ivar arrived: requests that were placed without waiting
    """

    queued: int = 0
    in_flight: int = 0
    reported: int = 0
    arrived: _RecentTimes = attrs.field(factory=_RecentTimes)
    logged_s: float = -math.inf

    def waiting(self) -> int:
        """Return the requests that wait, with those placed that others may not know of."""
        return self.queued + self.arrived.count()


@attrs.define(eq=False)
class SlotShares(queueing.QueuePolicy, selection.SelectionPolicy, shared_counts.CountSource):
    """Limits how many free slots of a server this entry uses before the others hear of it.

    :ivar left_count: number of times that a server with free slots was left to other entries
    """

    shares: entry_shares.EntryShares
    load_tracker: load.LoadTracker
    left_count: int = attrs.field(default=0, init=False)
    _models: dict[str, _ModelState] = attrs.field(factory=dict, init=False)
    _servers: dict[str, _ServerState] = attrs.field(factory=dict, init=False)
    _queued: set[queueing.PlacementRequest] = attrs.field(factory=set, init=False)
    _quotas: dict[tuple[str, int], int] = attrs.field(factory=dict, init=False)
    _quotas_version: int = attrs.field(default=-1, init=False)
    _last_heard_s: float = attrs.field(factory=trio.current_time, init=False)

    def slot_limit(self, service: table.Service, server: servers.Server, slots: int) -> int:
        """See :class:`selection.SelectionPolicy`."""
        name = _model_name(service, server.model)
        free = slots - self.load_tracker.estimate(server.server_id)
        if self.shares.is_alone or free <= 0:
            return slots
        if self.shares.counts.has_sources:
            self._last_heard_s = trio.current_time()
            may_place = self._may_place_shared(name, server, free)
        else:
            may_place = self._may_place_unheard(name, server, slots)
        if may_place:
            return slots
        self.left_count += 1
        self._log(name, server, free)
        return 0

    def record_placement(self, service: table.Service, server: servers.Server) -> None:
        """See :class:`selection.SelectionPolicy`."""
        self._server_state(server).placed.add()

    def record_queued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._queued.add(request)
        self._model_state(request).queued += 1

    def record_dequeued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._queued.remove(request)
        self._model_state(request).queued -= 1

    def record_started(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        state = self._model_state(request)
        state.in_flight += 1
        if request not in self._queued:
            state.arrived.add()

    def record_ended(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._model_state(request).in_flight -= 1
        self._server_state(server).ended.add()

    def own_counts(self) -> dict[str, int]:
        """See :class:`shared_counts.CountSource`: requests that wait and in flight."""
        counts = {}
        for name, state in self._models.items():
            state.reported = counts[WAITING_PREFIX + name] = state.waiting()
            counts[IN_FLIGHT_PREFIX + name] = state.in_flight
        return {key: count for key, count in counts.items() if count}

    def retain(self, is_known: collections.abc.Callable[[str], bool]) -> None:
        """Forget servers that are gone.

        :param is_known: returns whether a server ID is known
        """
        for server_id in [each for each in self._servers if not is_known(each)]:
            del self._servers[server_id]

    def share(self, name: str) -> float:
        """Return this entry's share of the free slots of a service and model, from 0 to 1.

        :param name: service and model, separated by a slash
        """
        others = self.shares.counts.others(WAITING_PREFIX + name)
        state = self._models.get(name)
        # The counts of the others are as old as the last report. The request for which a server is
        # selected may not be in it.
        own = max(1, state.reported if state is not None else 0)
        return own / (own + others)

    def share_by_model(self) -> dict[str, float]:
        """Return this entry's share of the free slots, by service and model."""
        return {name: self.share(name) for name in self._models}

    def _may_place_shared(self, name: str, server: servers.Server, free: int) -> bool:
        share = self.share(name)
        if share == 1:
            return True
        state = self._server_state(server)
        placed = state.placed.count()
        reusable = min(state.ended.count(), free + placed) if self._may_reuse(name, share) else 0
        # Other entries divide the slots as they were before the placements that they do not know.
        allowed = share * (free + placed - reusable)
        has_turn = state.turns.update(allowed % 1)
        return placed < reusable + int(allowed) + has_turn

    def _may_reuse(self, name: str, share: float) -> bool:
        """Return whether this entry may use slots again that only it knows to be free."""
        state = self._models.get(name)
        own = state.in_flight if state is not None else 0
        others = self.shares.counts.others(IN_FLIGHT_PREFIX + name)
        return own <= share * (own + others)

    def _may_place_unheard(self, name: str, server: servers.Server, slots: int) -> bool:
        in_flight = self.load_tracker.own_counts.get(server.server_id, 0)
        if in_flight < self._quota(server.server_id, slots):
            return True
        is_isolated = trio.current_time() > self._last_heard_s + ISOLATION_S
        model = self._models.get(name)
        return is_isolated and (model is None or not model.in_flight)

    def _quota(self, server_id: str, slots: int) -> int:
        entry_list = self.shares.entry_list
        if self._quotas_version != entry_list.version:
            self._quotas_version = entry_list.version
            self._quotas.clear()
        key = server_id, slots
        if key not in self._quotas:
            self._quotas[key] = sharing.quota(slots, server_id, entry_list.own, entry_list.others())
        return self._quotas[key]

    def _model_state(self, request: queueing.PlacementRequest) -> _ModelState:
        return self._models.setdefault(_model_name(request.service, request.model), _ModelState())

    def _server_state(self, server: servers.Server) -> _ServerState:
        state = self._servers.get(server.server_id)
        if state is None:
            turns = _Turns(self.shares.draw(server.server_id))
            state = self._servers[server.server_id] = _ServerState(turns)
        return state

    def _log(self, name: str, server: servers.Server, free: int) -> None:
        state = self._models.setdefault(name, _ModelState())
        now_s = trio.current_time()
        if now_s - state.logged_s < LOG_INTERVAL_S:
            return
        state.logged_s = now_s
        events.log(
            LOGGER,
            events.Event.FREE_SLOTS_LEFT,
            server=server.server_id,
            service=server.service,
            model=server.model or None,
            free_slots=free,
            waiting=state.waiting(),
            waiting_elsewhere=self.shares.counts.others(WAITING_PREFIX + name),
            share=round(self.share(name), 3),
        )


def _model_name(service: table.Service, model: str) -> str:
    """Return the service and the model; services without engines ignore the model."""
    return f"{service.name}/{model if service.engine is not None else ''}"
