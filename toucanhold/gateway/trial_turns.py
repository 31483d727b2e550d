"""Determines when this entry may try a suspended backend server."""

from __future__ import annotations

import enum
import math

import attrs
import trio

from toucanhold.gateway import entries, shared_counts, sharing, suspensions

# Usual time until another entry knows of a change.
NOTICE_TIME_S = 0.15
# Time for the entry whose turn it is to send a trial and to report the result: up to 0.3 s each for
# a connection that times out and for the notice.
TURN_S = 0.6
# Interval and turn while all servers of a model or service are suspended, so that requests wait.
LAST_RESORT_INTERVAL_S = 0.25
# Longest interval while requests wait because the other servers are full. After a restart of all
# servers, the first one would otherwise carry the load of all for the longest interval.
WAITING_INTERVAL_S = 1.0
# A trial without a result for this long does not keep this entry from sending another one.
TRIAL_TIMEOUT_S = 1.0
# The number of entries that want to try a server is known this long after its suspension.
SETTLE_TIME_S = 0.5
WANTED_FOR_S = 1.0
COUNT_PREFIX = "trials/"


class Need(enum.Enum):
    """How much a request needs the suspended servers.

    ``NONE``: another server has capacity. ``CAPACITY``: no other server has. ``ANY_SERVER``: all
    servers of the model or service are suspended.
    """

    NONE = "none"
    CAPACITY = "capacity"
    ANY_SERVER = "any server"


MAX_INTERVALS_S = {
    Need.NONE: math.inf,
    Need.CAPACITY: WAITING_INTERVAL_S,
    Need.ANY_SERVER: LAST_RESORT_INTERVAL_S,
}


@attrs.define
class _OwnState:
    """What this entry knows of its own turn for one version of a suspension.

    :ivar version: version of the suspension and of the list of entries
    :ivar rank: this entry's place among all entries
    :ivar not_before_s: trio clock time before which this entry sends no further trial
    """

    version: tuple[int, int]
    rank: int
    not_before_s: float = 0.0


@attrs.define(eq=False)
class TrialTurns(shared_counts.CountSource):
    """Lets one entry after the other try a suspended server.

    :ivar others_counts: counts of other entries, with those that want to try a server
    """

    entry_list: entries.EntryList
    others_counts: shared_counts.SharedCounts
    _own: dict[suspensions.Key, _OwnState] = attrs.field(factory=dict, init=False)
    _wanted_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def due_s(self, known: suspensions.KnownSuspension, need: Need) -> float:
        """Return the trio clock time from which this entry may send a trial."""
        self._wanted_s[known.suspension.server_id] = trio.current_time()
        interval_s = min(known.suspension.interval_s, MAX_INTERVALS_S[need])
        turn_s = LAST_RESORT_INTERVAL_S if need is Need.ANY_SERVER else TURN_S
        if known.reported_by:
            interval_s -= NOTICE_TIME_S
        due_s = known.changed_s + interval_s + self._turn(known) * turn_s
        return max(due_s, self._own_state(known.suspension).not_before_s)

    def record_trial(self, suspension: suspensions.Suspension) -> None:
        """Process that this entry sends a trial."""
        state = self._own_state(suspension)
        state.not_before_s = trio.current_time() + TRIAL_TIMEOUT_S

    def record_no_result(self, suspension: suspensions.Suspension) -> None:
        """Process that a trial of this entry ended without a result."""
        state = self._own_state(suspension)
        state.not_before_s = trio.current_time() + LAST_RESORT_INTERVAL_S

    def own_counts(self) -> dict[str, int]:
        """Return one for each server that this entry has had requests for recently."""
        oldest_s = trio.current_time() - WANTED_FOR_S
        self._wanted_s = {name: at_s for name, at_s in self._wanted_s.items() if at_s > oldest_s}
        return {COUNT_PREFIX + name: 1 for name in self._wanted_s}

    def _turn(self, known: suspensions.KnownSuspension) -> int:
        """Return how many entries with requests try the server before this one."""
        rank = self._own_state(known.suspension).rank
        if trio.current_time() - known.since_s < SETTLE_TIME_S:
            return rank
        # Entries without requests do not use their turns. Those with requests are therefore moved
        # up; two of them then share a turn now and then.
        total = len(self.entry_list.others()) + 1
        wanting = 1 + self.others_counts.others(COUNT_PREFIX + known.suspension.server_id)
        return rank * min(wanting, total) // total

    def _own_state(self, suspension: suspensions.Suspension) -> _OwnState:
        version = suspension.version, self.entry_list.version
        state = self._own.get(suspension.key)
        if state is None or state.version != version:
            if len(self._own) >= suspensions.MAX_SUSPENSIONS:
                del self._own[next(iter(self._own))]
            key = f"{suspension.server_id}/{suspension.version}"
            rank = sharing.rank(key, self.entry_list.own, self.entry_list.others())
            state = self._own[suspension.key] = _OwnState(version, rank)
        return state
