"""Determines which entry each entry follows, and which entries aggregate load reports."""

from __future__ import annotations

import collections.abc
import hashlib

import attrs

from toucanhold.gateway import entries

# Streams that one entry serves within its availability zone. A zone of 16 entries needs one level;
# at the size planned in two years, 36 entries per zone, there are two.
MAX_FOLLOWERS_PER_ENTRY = 16
# Fallback sources in other zones if those in this zone are lost: zones fail independently.
MAX_OTHER_ZONE_SOURCES = 3
# The second aggregator of a zone takes over if the first does not answer.
AGGREGATORS_PER_ZONE = 2


@attrs.define(eq=False)
class Hierarchy:
    """Caches this entry's sources until the entries or the planner change.

    :ivar planner: returns the name of the entry that is the planner; empty without one
    """

    entry_list: entries.EntryList
    planner: collections.abc.Callable[[], str]
    _sources_key: tuple[int, str] = attrs.field(default=(-1, ""), init=False)
    _sources: list[str] = attrs.field(factory=list, init=False)

    def sources(self) -> list[str]:
        """See :func:`sources`."""
        key = self.entry_list.version, self.planner()
        if key != self._sources_key:
            self._sources_key = key
            self._sources = sources(self.entry_list.own, self.entry_list.others(), key[1])
        return self._sources


def sources(
    own: entries.Entry, others: collections.abc.Iterable[entries.Entry], planner: str
) -> list[str]:
    """Return the exchange addresses of the entries to follow, in order of preference.

    The list is empty for the planner, which watches the key-value service itself, and, without a
    planner, for the first entry of each zone. Entries with equal lists compute the same order, and
    each follows one ranked above it, so there are no cycles.

    :param planner: name of the planner; it ranks first in its zone, because it acts on the changes
    """
    zones = by_zone([own, *others], planner)
    zone_entries = zones[own.zone]
    rank = zone_entries.index(own)
    if not rank:
        # One watch serves all zones, because each response of a watch is billed as a call.
        return [] if own.entry == planner else _planner_address(zones, planner)
    chosen = [zone_entries[(rank - 1) // MAX_FOLLOWERS_PER_ENTRY]]
    if zone_entries[0] not in chosen:
        chosen.append(zone_entries[0])
    zone_names = sorted(zones)
    start = zone_names.index(own.zone) + 1
    for zone in (zone_names[start:] + zone_names[: start - 1])[:MAX_OTHER_ZONE_SOURCES]:
        chosen.append(zones[zone][0])
    return [entry.exchange_address for entry in chosen]


def aggregators(
    own: entries.Entry, others: collections.abc.Iterable[entries.Entry], is_own_stopping: bool
) -> dict[str, list[entries.Entry]]:
    """Return the aggregators of each availability zone, the preferred one first.

    :param is_own_stopping: whether the others in the zone, if any, no longer report to this entry
    """
    zones = by_zone([own, *others])
    if is_own_stopping and len(zones[own.zone]) > 1:
        zones[own.zone].remove(own)
    return {zone: members[:AGGREGATORS_PER_ZONE] for zone, members in zones.items()}


def by_zone(
    all_entries: collections.abc.Iterable[entries.Entry], planner: str = ""
) -> dict[str, list[entries.Entry]]:
    """Return the entries of each availability zone in order of rank."""
    zones: dict[str, list[entries.Entry]] = {}
    for entry in sorted(all_entries, key=lambda entry: _rank_key(entry, planner)):
        zones.setdefault(entry.zone, []).append(entry)
    return zones


def _planner_address(zones: dict[str, list[entries.Entry]], planner: str) -> list[str]:
    first_entries = (members[0] for members in zones.values())
    return [entry.exchange_address for entry in first_entries if entry.entry == planner]


def _rank_key(entry: entries.Entry, planner: str) -> tuple:
    # Large machines rank first, because relaying changes costs processor time and bandwidth.
    tie_breaker = hashlib.blake2b(f"{entry.entry}/{entry.boot}".encode(), digest_size=8).digest()
    return entry.entry != planner, -entry.cores, tie_breaker
