"""Computes this entry's share of servers' slots."""

from __future__ import annotations

import hashlib

import attrs

from toucanhold.gateway import entries, shared_counts, sharing


@attrs.define(eq=False)
class EntryShares:
    """Shares by what the entries report, or by their size while nothing is known of the others.

    :ivar counts: counts of other entries
    """

    entry_list: entries.EntryList
    counts: shared_counts.SharedCounts
    _size_share: tuple[int, float] = attrs.field(default=(-1, 1.0), init=False)

    @property
    def is_alone(self) -> bool:
        """Whether there are no other entries."""
        return not self.entry_list.others()

    def by_size(self) -> float:
        """Return this entry's share by size, from 0 to 1."""
        if self._size_share[0] != self.entry_list.version:
            share = sharing.share(self.entry_list.own, self.entry_list.others())
            self._size_share = self.entry_list.version, share
        return self._size_share[1]

    def by_count(self, key: str, own: int) -> float:
        """Return this entry's share of all entries' counts of a key, or its share by size.

        :param own: this entry's count
        """
        if not own or not self.counts.has_sources:
            return self.by_size()
        return own / (own + self.counts.others(key))

    def draw(self, key: str) -> float:
        """Return a number from 0 to 1 that is different for each entry and key, and constant."""
        digest = hashlib.blake2b(f"{self.entry_list.own.entry}/{key}".encode(), digest_size=8)
        return int.from_bytes(digest.digest()) / 2**64
