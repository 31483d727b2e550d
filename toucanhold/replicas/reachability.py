"""Distinguishes dead servers from a partition between the planner and an availability zone.

This module does no I/O. In a partition between two zones, no server of the other zone answers the
planner, while that zone's entries and the key-value service still reach them. If the planner tore
these groups down, they would not serve for seconds after a partition that did not affect them.
"""

from __future__ import annotations

import attrs
import trio

from toucanhold.registry import servers

MIN_FAILED_SERVERS = 3
# Failed probes older than this are ignored.
MAX_FAILURE_AGE_S = 2.0
# A failed probe is recorded up to this much later than an answer to a probe sent at the same time.
PROBE_ROUND_S = 0.55


@attrs.define
class _ZoneState:
    """Recent probe results of one zone.

    :ivar last_answer_s: time of the last answer from any server
    :ivar last_failure_s: time of the last failed probe, by server id, of servers that have not
        answered since
    """

    last_answer_s: float = float("-inf")
    last_failure_s: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Reachability:
    """Tracks by availability zone which servers answered the planner's recent probes."""

    _zones: dict[str, _ZoneState] = attrs.field(factory=dict, init=False)

    def record_probe(self, server: servers.Server, has_answered: bool) -> None:
        """Record whether a server answered a probe."""
        zone = self._zones.setdefault(server.zone, _ZoneState())
        if has_answered:
            zone.last_answer_s = trio.current_time()
            zone.last_failure_s.pop(server.server_id, None)
        else:
            zone.last_failure_s[server.server_id] = trio.current_time()

    def is_partitioned(self, zone_name: str) -> bool:
        """Return whether several servers of a zone were probed recently and none answered."""
        zone = self._zones.get(zone_name)
        if zone is None:
            return False
        oldest_s = trio.current_time() - MAX_FAILURE_AGE_S
        zone.last_failure_s = {
            name: failure_s
            for name, failure_s in zone.last_failure_s.items()
            if failure_s > oldest_s
        }
        if len(zone.last_failure_s) < MIN_FAILED_SERVERS:
            return False
        return zone.last_answer_s < min(zone.last_failure_s.values()) - PROBE_ROUND_S
