"""Tracks the requests that this and other entries have in flight at each backend server."""

from __future__ import annotations

import collections
import collections.abc
import math

import attrs
import trio

# Time after the first report of other entries in which reports may still be missing or outdated.
SETTLE_TIME_S = 1.0

# Requests in flight by server ID.
Counts = collections.abc.Mapping[str, int]


@attrs.frozen
class _SourceCounts:
    """Counts reported by one source; they expire at a trio clock time."""

    counts: Counts
    valid_until_s: float
    is_local: bool


@attrs.define(eq=False)
class LoadTracker:
    """Requests in flight by server ID, kept as incrementally updated totals.

    The cost of an estimate therefore does not depend on the number of entries.

    :ivar own_counts: this entry's requests in flight
    :ivar on_busy: called when this entry gets a request and had none in flight
    """

    own_counts: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    on_busy: collections.abc.Callable[[], None] = attrs.field(default=lambda: None, init=False)
    _sources: dict[str, _SourceCounts] = attrs.field(factory=dict, init=False)
    _other_counts: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _next_expiry_s: float = attrs.field(default=math.inf, init=False)
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
        _subtract(self.own_counts, {server_id: 1})

    def update_source(
        self, source: str, counts: Counts, valid_s: float, is_local: bool = False
    ) -> None:
        """Replace the counts that one source reported.

        :param source: name of an entry, or of a group of entries whose counts were summed
        :param valid_s: time after which the counts expire
        :param is_local: whether the counts are to be included in :meth:`local_counts`, because the
            source reports to this entry
        """
        self.remove_source(source)
        now_s = trio.current_time()
        self._first_report_s = min(self._first_report_s, now_s)
        valid_until_s = now_s + valid_s
        self._sources[source] = _SourceCounts(counts, valid_until_s, is_local)
        self._other_counts.update(counts)
        self._next_expiry_s = min(self._next_expiry_s, valid_until_s)

    def remove_source(self, source: str) -> None:
        """Discard the counts that one source reported, if any."""
        previous = self._sources.pop(source, None)
        if previous is not None:
            _subtract(self._other_counts, previous.counts)

    def estimate(self, server_id: str) -> int:
        """Return the number of requests that all entries have in flight at a server."""
        self._expire()
        return self.own_counts.get(server_id, 0) + self._other_counts.get(server_id, 0)

    def local_counts(self) -> dict[str, int]:
        """Return the requests in flight of this entry and its local sources, by server ID."""
        self._expire()
        total = collections.Counter(self.own_counts)
        for source in self._sources.values():
            if source.is_local:
                total.update(source.counts)
        return dict(total)

    def counts_without(self, source: str) -> dict[str, int]:
        """Return the requests in flight of all entries except one source, by server ID."""
        self._expire()
        total = self._other_counts + self.own_counts
        if source in self._sources:
            _subtract(total, self._sources[source].counts)
        return dict(total)

    def _expire(self) -> None:
        now_s = trio.current_time()
        if now_s < self._next_expiry_s:
            return
        for name, source in list(self._sources.items()):
            if source.valid_until_s <= now_s:
                self.remove_source(name)
        remaining = (source.valid_until_s for source in self._sources.values())
        self._next_expiry_s = min(remaining, default=math.inf)


def _subtract(total: collections.Counter[str], counts: Counts) -> None:
    for server_id, count in counts.items():
        remaining = total[server_id] - count
        if remaining > 0:
            total[server_id] = remaining
        else:
            del total[server_id]
