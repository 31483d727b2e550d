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
    # By entry, and by entry and server.
    _avoid_until_s: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)

    def ranked(self, server: servers.Server) -> list[entries.Entry]:
        """Return the entries to ask for a connection to a server, the best first."""
        return sorted(self._candidates(), key=lambda entry: self._rank_key(entry, server))

    def are_all_avoided(self) -> bool:
        """Return whether no entry is left that may reach any server."""
        return all(self._is_avoided_for(entry, "") for entry in self._candidates())

    def record_opened(self, entry: entries.Entry) -> None:
        """Record that an entry has opened a connection."""
        self._avoid_until_s.pop((entry.entry, ""), None)

    def record_failed(self, entry: entries.Entry, server: servers.Server | None) -> None:
        """Record that an entry could not open a connection.

        :param server: the server that it does not reach; None if it may reach none
        """
        now_s = trio.current_time()
        self._avoid_until_s = {
            key: until_s for key, until_s in self._avoid_until_s.items() if until_s > now_s
        }
        server_id = server.server_id if server is not None else ""
        self._avoid_until_s[entry.entry, server_id] = now_s + AVOIDANCE_S

    def _candidates(self) -> list[entries.Entry]:
        return [entry for entry in self.entry_list.others() if entry.tunnel_address]

    def _is_avoided_for(self, entry: entries.Entry, server_id: str) -> bool:
        return trio.current_time() < self._avoid_until_s.get((entry.entry, server_id), 0.0)

    def _rank_key(self, entry: entries.Entry, server: servers.Server) -> tuple:
        is_avoided = self._is_avoided_for(entry, "") or self._is_avoided_for(
            entry, server.server_id
        )
        draw = self.rng.random() ** (1 / sharing.weight(entry))
        return is_avoided, entry.zone != server.zone, -draw
