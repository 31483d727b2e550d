"""Who watches the key-value service, who follows whom, and who sums up what entries report."""

from __future__ import annotations

import collections.abc
import hashlib

import attrs

from toucanhold.gateway import entries

# Streams that one entry serves within its availability zone. A zone of sixteen needs one level; at
# the two-year size, 36 entries a zone, there are two.
MAX_FOLLOWERS_PER_ENTRY = 16
# Entries of other zones to turn to when the own zone's are lost: zones fail by themselves.
MAX_OTHER_ZONE_SOURCES = 3
# Entries of a zone that may sum up: the second one takes over when the first does not answer.
AGGREGATORS_PER_ZONE = 2


@attrs.define(eq=False)
class Hierarchy:
    """This entry's place, worked out anew when entries come or go.

    :ivar planner: returns the name of the entry that plans
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
    """Return the addresses of the entries to follow, best first.

    Empty for the planner, which watches the service itself, and without a planner for the first
    entry of each zone. All entries that know of the same ones come to the same order, in which
    each follows an earlier one.

    :param planner: name of the entry that plans; it is the first of its zone, since it acts on
        what it sees
    """
    zones = by_zone([own, *others], planner)
    zone = zones[own.zone]
    rank = zone.index(own)
    if not rank:
        # One watch for all zones: each return of a watch is a call that is paid for.
        return [] if own.entry == planner else _planner_address(zones, planner)
    chosen = [zone[(rank - 1) // MAX_FOLLOWERS_PER_ENTRY]]
    if zone[0] not in chosen:
        chosen.append(zone[0])
    names = sorted(zones)
    start = names.index(own.zone) + 1
    for name in (names[start:] + names[: start - 1])[:MAX_OTHER_ZONE_SOURCES]:
        chosen.append(zones[name][0])
    return [entry.exchange_address for entry in chosen]


def aggregators(
    own: entries.Entry, others: collections.abc.Iterable[entries.Entry]
) -> dict[str, list[entries.Entry]]:
    """Return the entries that sum up, by availability zone, the first choice first."""
    zones = by_zone([own, *others])
    return {zone: members[:AGGREGATORS_PER_ZONE] for zone, members in zones.items()}


def by_zone(
    all_entries: collections.abc.Iterable[entries.Entry], planner: str = ""
) -> dict[str, list[entries.Entry]]:
    """Return the entries of each availability zone, by rank."""
    zones: dict[str, list[entries.Entry]] = {}
    for entry in sorted(all_entries, key=lambda entry: _rank_key(entry, planner)):
        zones.setdefault(entry.zone, []).append(entry)
    return zones


def _planner_address(zones: dict[str, list[entries.Entry]], planner: str) -> list[str]:
    first_entries = (members[0] for members in zones.values())
    return [entry.exchange_address for entry in first_entries if entry.entry == planner]


def _rank_key(entry: entries.Entry, planner: str) -> tuple:
    # Large machines first: whoever passes changes on spends processor time and bandwidth on it.
    tie_breaker = hashlib.blake2b(f"{entry.entry}/{entry.boot}".encode(), digest_size=8).digest()
    return entry.entry != planner, -entry.cores, tie_breaker
