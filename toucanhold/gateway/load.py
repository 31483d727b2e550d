"""Tracks the requests that this and other entries have in flight at each backend server."""

from __future__ import annotations

import collections
import collections.abc
import math

import attrs
import trio

from toucanhold.gateway import shared_counts

# Time after the first report of other entries in which reports may still be missing or outdated.
SETTLE_TIME_S = 1.0


@attrs.define(eq=False)
class LoadTracker:
    """Requests in flight by server ID.

    :ivar own_counts: this entry's requests in flight
    :ivar on_busy: called when this entry gets a request and had none in flight
    """

    own_counts: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    on_busy: collections.abc.Callable[[], None] = attrs.field(default=lambda: None, init=False)
    _shared: shared_counts.SharedCounts = attrs.field(
        factory=shared_counts.SharedCounts, init=False
    )
    _first_report_s: float = attrs.field(default=math.inf, init=False)

    @property
    def is_settled(self) -> bool:
        """Whether the requests of other entries have been known for a while."""
        return trio.current_time() >= self._first_report_s + SETTLE_TIME_S

    def add(self, server_id: str) -> None:
        """Count a request of this entry that is sent to a server."""
        if not self.own_counts:
            self.on_busy()
        self.own_counts[server_id] += 1

    def remove(self, server_id: str) -> None:
        """Stop counting a request of this entry; surplus calls have no effect."""
        shared_counts.subtract(self.own_counts, {server_id: 1})

    def update_source(
        self, source: str, counts: shared_counts.Counts, valid_s: float, is_local: bool = False
    ) -> None:
        """See :meth:`shared_counts.SharedCounts.update_source`."""
        self._first_report_s = min(self._first_report_s, trio.current_time())
        self._shared.update_source(source, counts, valid_s, is_local)

    def remove_source(self, source: str) -> None:
        """See :meth:`shared_counts.SharedCounts.remove_source`."""
        self._shared.remove_source(source)

    def estimate(self, server_id: str) -> int:
        """Return the number of requests that all entries have in flight at a server."""
        return self.own_counts.get(server_id, 0) + self._shared.others(server_id)

    def local_counts(self) -> dict[str, int]:
        """Return the requests in flight of this entry and its local sources, by server ID."""
        return self._shared.local(self.own_counts)

    def counts_without(self, source: str) -> dict[str, int]:
        """Return the requests in flight of all entries except one source, by server ID."""
        return self._shared.without(source, self.own_counts)
