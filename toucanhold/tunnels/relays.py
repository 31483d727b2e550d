"""Chooses the entries that connect this one to backend servers it cannot reach.

This module does no I/O. An entry in the server's availability zone most likely reaches the server,
and the bytes cross no more zones than they would directly.
"""

from __future__ import annotations

import random

import attrs
import trio

from toucanhold.gateway import entries, sharing
from toucanhold.registry import servers

# An entry that could not help is asked last for this long: its links may be cut as well.
AVOIDANCE_S = 1.0


@attrs.define(eq=False)
class RelayTable:
    """The other entries as relays."""

    entry_list: entries.EntryList
    rng: random.Random
    _avoid_until_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def ranked(self, server: servers.Server) -> list[entries.Entry]:
        """Return the entries to ask for a connection to a server, the best first."""
        candidates = [entry for entry in self.entry_list.others() if entry.tunnel_address]
        return sorted(candidates, key=lambda entry: self._rank_key(entry, server.zone))

    def record_outcome(self, entry: entries.Entry, has_helped: bool) -> None:
        """Record whether an entry has opened a connection."""
        if has_helped:
            self._avoid_until_s.pop(entry.entry, None)
        else:
            self._avoid_until_s[entry.entry] = trio.current_time() + AVOIDANCE_S

    def _rank_key(self, entry: entries.Entry, zone: str) -> tuple:
        is_avoided = trio.current_time() < self._avoid_until_s.get(entry.entry, 0.0)
        draw = self.rng.random() ** (1 / sharing.weight(entry))
        return is_avoided, entry.zone != zone, -draw
