"""Places requests by the time that servers take, relative to others of their kind.

Servers become several times as slow for some seconds, while they accept requests as before.
Placement by requests in flight notices this only when their slots are full of requests that will be
late.
"""

from __future__ import annotations

import collections
import collections.abc
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import (
    entries,
    load,
    selection,
    shared_counts,
    sharing,
    slow_reports,
    speed_estimates,
)
from toucanhold.registry import registry, servers
from toucanhold.routes import table

# Slowdowns below this have no effect; from here to SLOW_FACTOR, the effect grows to its full size,
# so that servers near the limit do not gain and lose many requests at once.
MIN_EFFECT_FACTOR = 1.25
# A server is limited only after it has been slow for this long. A head that prefills many long
# prompts is as slow for a moment.
SUSTAINED_S = 0.4
# A limited server is released below this fraction of the slowdown that limits it.
RELEASE_FRACTION = 0.7
# In each turn, one request of one entry may be sent to a limited server: two per second.
TURN_S = 0.5
MAX_LIMITED_PER_S = 2
# Fractions of its slots that a server may be sent in the first turns after it was slow. Otherwise,
# all entries would send to the idle server at the same moment.
RAMP_FRACTIONS = (0.1, 0.25, 0.5)
# Slowdowns are computed anew after this time; a choice of a server reads them for each candidate.
REFRESH_INTERVAL_S = 0.1
MIN_LOG_INTERVAL_S = 1.0
# More than a server is sent within a turn and a second while it is limited or just released.
MAX_PLACEMENTS = 64
COUNT_PREFIX = "slow/"

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Status:
    """What this entry has concluded about a server process that was slow.

    :ivar slowdown: relative to the other servers of its kind
    :ivar slow_since_s: trio clock time since which it is slow; infinity if it is not
    :ivar ended_s: trio clock time at which it was last found no longer slow or too slow
    :ivar placed_s: trio clock times of this entry's latest placements on it
    """

    slowdown: float = 1.0
    slow_since_s: float = math.inf
    is_limited: bool = False
    ended_s: float = -math.inf
    placed_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_PLACEMENTS)
    )

    def placed_since(self, since_s: float) -> int:
        """Return the number of placements since a trio clock time."""
        return sum(placed_s >= since_s for placed_s in self.placed_s)


@attrs.define(eq=False)
class ServerSpeed(selection.SelectionPolicy, shared_counts.CountSource):
    """Weighs servers by their slowdowns, and limits those too slow for usual requests.

    :ivar estimates: slowdowns relative to usual times
    :ivar shared: counts of the other entries
    """

    server_registry: registry.Registry
    load_tracker: load.LoadTracker
    entry_list: entries.EntryList
    shared: shared_counts.SharedCounts
    estimates: speed_estimates.SpeedEstimates = attrs.field(init=False)
    _statuses: dict[speed_estimates.Incarnation, _Status] = attrs.field(factory=dict, init=False)
    _refreshed_s: dict[speed_estimates.Kind, float] = attrs.field(factory=dict, init=False)
    _logged_s: dict[tuple[str, events.Event], float] = attrs.field(factory=dict, init=False)
    _quotas: dict[str, tuple[tuple[int, int], int]] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the estimates."""
        self.estimates = speed_estimates.SpeedEstimates(self.load_tracker)

    def is_usable(self, service: table.Service, server: servers.Server) -> bool:
        """See :class:`selection.SelectionPolicy`."""
        status = self._status(service, server)
        if status is None:
            return True
        now_s = trio.current_time()
        if status.is_limited:
            own_count = status.placed_since(now_s - 1)
            count = own_count + self.shared.others(COUNT_PREFIX + server.server_id)
            return count < MAX_LIMITED_PER_S and self._has_turn(server, status, 1)
        turns_since = (now_s - status.ended_s) / TURN_S
        if turns_since >= len(RAMP_FRACTIONS):
            return True
        per_turn = max(
            1, int(RAMP_FRACTIONS[int(turns_since)] * selection.slot_count(service, server))
        )
        return self._has_turn(server, status, per_turn) or not self._has_free_peer(service, server)

    def slot_limit(self, service: table.Service, server: servers.Server, slots: int) -> int:
        """See :class:`selection.SelectionPolicy`."""
        status = self._status(service, server)
        return 1 if status is not None and status.is_limited else slots

    def cost(self, service: table.Service, server: servers.Server) -> float:
        """See :class:`selection.SelectionPolicy`.

        A slowdown of 2 counts as much as full slots: a request on a faster server with a free slot
        ends earlier.
        """
        status = self._status(service, server)
        if status is None or status.slowdown <= MIN_EFFECT_FACTOR:
            return 0.0
        range_size = speed_estimates.SLOW_FACTOR - MIN_EFFECT_FACTOR
        effect = min(1.0, (status.slowdown - MIN_EFFECT_FACTOR) / range_size)
        return effect * (status.slowdown - 1) * selection.slot_count(service, server)

    def record_placement(self, service: table.Service, server: servers.Server) -> None:
        """See :class:`selection.SelectionPolicy`."""
        status = self._statuses.get(server.incarnation)
        if status is not None:
            status.placed_s.append(trio.current_time())

    def own_counts(self) -> dict[str, int]:
        """See :class:`shared_counts.CountSource`: requests of the last second, if limited."""
        since_s = trio.current_time() - 1
        return {
            COUNT_PREFIX + server_id: count
            for (server_id, _), status in self._statuses.items()
            if status.is_limited and (count := status.placed_since(since_s))
        }

    def merge(self, reported: slow_reports.SlowServer) -> None:
        """Process another entry's report."""
        if self.server_registry.find(reported.incarnation) is not None:
            self.estimates.reports.merge(reported)

    def slow_servers(self) -> list[str]:
        """Return the IDs of the servers that are slow, by the last placements."""
        return [
            server_id
            for (server_id, _), status in self._statuses.items()
            if status.slowdown >= speed_estimates.SLOW_FACTOR
        ]

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone."""
        self.estimates.retain(is_known)
        for incarnation in [each for each in self._statuses if not is_known(each)]:
            del self._statuses[incarnation]
            self._quotas.pop(incarnation[0], None)
        names = {server_id for server_id, _ in self._statuses}
        for key in [key for key in self._logged_s if key[0] not in names]:
            del self._logged_s[key]

    def _status(self, service: table.Service, server: servers.Server) -> _Status | None:
        kind = speed_estimates.kind_of(server)
        now_s = trio.current_time()
        if now_s - self._refreshed_s.get(kind, -math.inf) >= REFRESH_INTERVAL_S:
            self._refreshed_s[kind] = now_s
            self._refresh(service, kind)
        return self._statuses.get(server.incarnation)

    def _refresh(self, service: table.Service, kind: speed_estimates.Kind) -> None:
        peers = [
            server
            for server in self.server_registry.of_service(service.name)
            if speed_estimates.kind_of(server) == kind and _is_serving(service, server)
        ]
        logs = {
            server.incarnation: self.estimates.log_slowdown(server.incarnation) for server in peers
        }
        if not logs:
            return
        # The quartile tells the usual speed also if half of the servers are slow, and is no single
        # lucky server if there are many.
        reference = sorted(logs.values())[(len(logs) - 1) // 4]
        by_slowdown = sorted(logs, key=lambda each: -logs[each])
        may_limit = set(by_slowdown[: len(logs) // 2])
        fraction = self.estimates.usual_fraction(kind)
        for incarnation, log_slowdown in logs.items():
            slowdown = math.exp(max(0.0, log_slowdown - reference))
            if incarnation not in self._statuses and slowdown < MIN_EFFECT_FACTOR:
                continue
            status = self._statuses.setdefault(incarnation, _Status())
            status.slowdown = slowdown
            self._update_slow(incarnation, status)
            self._update_limited(incarnation, status, fraction, incarnation in may_limit)

    def _update_slow(self, incarnation: speed_estimates.Incarnation, status: _Status) -> None:
        was_slow = status.slow_since_s < math.inf
        if not was_slow and status.slowdown >= speed_estimates.SLOW_FACTOR:
            status.slow_since_s = trio.current_time()
            if self._may_log(incarnation, events.Event.SERVER_SLOW):
                events.log(
                    LOGGER,
                    events.Event.SERVER_SLOW,
                    server=incarnation[0],
                    slowdown=round(status.slowdown, 2),
                )
        elif was_slow and status.slowdown < MIN_EFFECT_FACTOR:
            slow_for_s = trio.current_time() - status.slow_since_s
            status.slow_since_s, status.ended_s = math.inf, trio.current_time()
            if self._may_log(incarnation, events.Event.SERVER_NO_LONGER_SLOW):
                events.log(
                    LOGGER,
                    events.Event.SERVER_NO_LONGER_SLOW,
                    server=incarnation[0],
                    slow_for_s=round(slow_for_s, 2),
                )

    def _update_limited(
        self,
        incarnation: speed_estimates.Incarnation,
        status: _Status,
        fraction: float,
        may_limit: bool,
    ) -> None:
        """Limit a server that cannot finish a usual request in time, or release it.

        :param fraction: see :meth:`speed_estimates.SpeedEstimates.usual_fraction`
        """
        now_s = trio.current_time()
        needed_fraction = fraction * status.slowdown
        if status.is_limited:
            if not may_limit or needed_fraction < RELEASE_FRACTION:
                status.is_limited, status.ended_s = False, now_s
            return
        is_sustained = now_s - status.slow_since_s >= SUSTAINED_S
        if may_limit and is_sustained and needed_fraction > 1:
            status.is_limited = True
            if self._may_log(incarnation, events.Event.SLOW_SERVER_LIMITED):
                events.log(
                    LOGGER,
                    events.Event.SLOW_SERVER_LIMITED,
                    server=incarnation[0],
                    slowdown=round(status.slowdown, 2),
                    usual_part_of_timeout=round(fraction, 3),
                )

    def _has_turn(self, server: servers.Server, status: _Status, per_turn: int) -> bool:
        """Return whether this entry may send to a server in its current turn.

        Entries' clocks differ, but the quotas of all entries add up to ``per_turn`` on average,
        also if they hear nothing from each other.
        """
        turn = int(trio.current_time() / TURN_S)
        key, quota = self._quotas.get(server.server_id, ((-1, -1), 0))
        if key != (turn, per_turn):
            quota = sharing.quota(
                per_turn,
                f"{server.server_id}/{turn}",
                self.entry_list.own,
                self.entry_list.others(),
            )
            self._quotas[server.server_id] = (turn, per_turn), quota
        return status.placed_since(turn * TURN_S) < quota

    def _has_free_peer(self, service: table.Service, server: servers.Server) -> bool:
        """Return whether another server of this kind, without a restriction, has a free slot."""
        kind = speed_estimates.kind_of(server)
        return any(
            not self._is_restricted(peer)
            and speed_estimates.kind_of(peer) == kind
            and _is_serving(service, peer)
            and self.load_tracker.estimate(peer.server_id) < selection.slot_count(service, peer)
            for peer in self.server_registry.of_service(service.name)
        )

    def _is_restricted(self, server: servers.Server) -> bool:
        status = self._statuses.get(server.incarnation)
        if status is None:
            return False
        ramp_end_s = status.ended_s + len(RAMP_FRACTIONS) * TURN_S
        return status.is_limited or trio.current_time() < ramp_end_s

    def _may_log(self, incarnation: speed_estimates.Incarnation, event: events.Event) -> bool:
        now_s = trio.current_time()
        key = incarnation[0], event
        if now_s - self._logged_s.get(key, -math.inf) < MIN_LOG_INTERVAL_S:
            return False
        self._logged_s[key] = now_s
        return True


def _is_serving(service: table.Service, server: servers.Server) -> bool:
    if server.is_leaving:
        return False
    if service.engine is None:
        return True
    membership = server.membership
    return (
        membership is not None
        and membership.rank == 0
        and membership.state is servers.GroupState.OPEN
    )
