"""How busy each backend server is, put together from what all entries have in flight."""

from __future__ import annotations

import collections
import collections.abc

import attrs
import trio


@attrs.frozen
class PeerCounts:
    """Requests in flight of another entry, by server."""

    counts: collections.abc.Mapping[str, int]
    valid_until_s: float


@attrs.define(eq=False)
class LoadBoard:
    """Requests in flight: this entry's own, and the others' as last heard."""

    own: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _peers: dict[str, PeerCounts] = attrs.field(factory=dict, init=False)

    def add(self, server_id: str) -> None:
        """Count a request that is sent."""
        self.own[server_id] += 1

    def remove(self, server_id: str) -> None:
        """Count a request that has ended."""
        self.own[server_id] -= 1
        if self.own[server_id] <= 0:
            del self.own[server_id]

    def hear(self, entry: str, counts: collections.abc.Mapping[str, int], valid_s: float) -> None:
        """Take in another entry's counts.

        :param valid_s: time after which they say nothing any more
        """
        self._peers[entry] = PeerCounts(counts, trio.current_time() + valid_s)

    def estimate(self, server_id: str) -> int:
        """Return the requests that all entries have in flight there."""
        now_s = trio.current_time()
        others = sum(
            peer.counts.get(server_id, 0)
            for peer in self._peers.values()
            if peer.valid_until_s >= now_s
        )
        return self.own[server_id] + others if server_id in self.own else others
