"""Sums counts that entries and groups of entries report."""

from __future__ import annotations

import abc
import collections
import collections.abc
import math

import attrs
import trio

Counts = collections.abc.Mapping[str, int]


class CountSource(abc.ABC):
    """Counts of this entry that other entries add up; their keys begin with a prefix of its own."""

    @abc.abstractmethod
    def own_counts(self) -> dict[str, int]:
        """Return this entry's counts by key, without those that are zero."""


@attrs.frozen
class _SourceCounts:
    """Counts reported by one source; they expire at a trio clock time."""

    counts: Counts
    valid_until_s: float
    is_local: bool


@attrs.define(eq=False)
class SharedCounts:
    """Counts of other entries by key, kept as incrementally updated totals.

    The cost of a look-up therefore does not depend on the number of entries.
    """

    _sources: dict[str, _SourceCounts] = attrs.field(factory=dict, init=False)
    _total: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _next_expiry_s: float = attrs.field(default=math.inf, init=False)

    def update_source(
        self, source: str, counts: Counts, valid_s: float, is_local: bool = False
    ) -> None:
        """Replace the counts that one source reported.

        :param source: name of an entry, or of a group of entries whose counts were summed
        :param valid_s: time after which the counts expire
        :param is_local: whether the counts are to be included in :meth:`local`, because the source
            reports to this entry
        """
        self.remove_source(source)
        valid_until_s = trio.current_time() + valid_s
        self._sources[source] = _SourceCounts(counts, valid_until_s, is_local)
        self._total.update(counts)
        self._next_expiry_s = min(self._next_expiry_s, valid_until_s)

    def remove_source(self, source: str) -> None:
        """Discard the counts that one source reported, if any."""
        previous = self._sources.pop(source, None)
        if previous is not None:
            subtract(self._total, previous.counts)

    @property
    def has_sources(self) -> bool:
        """Whether any other entry's counts are known now."""
        self._expire()
        return bool(self._sources)

    def others(self, key: str) -> int:
        """Return the sum of the other entries' counts of a key."""
        self._expire()
        return self._total.get(key, 0)

    def local(self, own: Counts) -> dict[str, int]:
        """Return this entry's counts added to those of its local sources."""
        self._expire()
        total = collections.Counter(own)
        for source in self._sources.values():
            if source.is_local:
                total.update(source.counts)
        return dict(total)

    def without(self, source: str, own: Counts) -> dict[str, int]:
        """Return this entry's counts added to those of all sources except one."""
        self._expire()
        total = self._total + collections.Counter(own)
        if source in self._sources:
            subtract(total, self._sources[source].counts)
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


def subtract(total: collections.Counter[str], counts: Counts) -> None:
    """Subtract counts from a total in place, dropping keys that reach zero."""
    for key, count in counts.items():
        remaining = total[key] - count
        if remaining > 0:
            total[key] = remaining
        else:
            del total[key]
