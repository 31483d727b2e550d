"""Telling dead servers from a cut between the planner and an availability zone.

A decision without network. A cut between two zones makes every server of the other one silent to
the planner, while that zone's entries and the key-value service still reach them. Groups that were
taken apart for it would serve nobody for seconds after the cut, which itself harmed none of them.
"""

from __future__ import annotations

import attrs
import trio

from toucanhold.registry import servers

MIN_SILENT_SERVERS = 3
# Silences older than this tell nothing of now.
SILENCE_MAX_AGE_S = 2.0
# A silence is known this much later than an answer to a question of the same moment.
PROBE_ROUND_S = 0.55


@attrs.define
class _ZoneState:
    last_answer_s: float = float("-inf")
    silent_since_s: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Reachability:
    """Which servers answered the planner lately, by availability zone."""

    _zones: dict[str, _ZoneState] = attrs.field(factory=dict, init=False)

    def record_probe(self, server: servers.Server, has_answered: bool) -> None:
        """Take in whether a server answered."""
        zone = self._zones.setdefault(server.zone, _ZoneState())
        if has_answered:
            zone.last_answer_s = trio.current_time()
            zone.silent_since_s.pop(server.server_id, None)
        else:
            zone.silent_since_s[server.server_id] = trio.current_time()

    def is_partitioned(self, zone_name: str) -> bool:
        """Tell whether several servers of a zone were asked and none answered."""
        zone = self._zones.get(zone_name)
        if zone is None:
            return False
        oldest_s = trio.current_time() - SILENCE_MAX_AGE_S
        zone.silent_since_s = {
            name: since_s for name, since_s in zone.silent_since_s.items() if since_s > oldest_s
        }
        if len(zone.silent_since_s) < MIN_SILENT_SERVERS:
            return False
        return zone.last_answer_s < min(zone.silent_since_s.values()) - PROBE_ROUND_S
