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
OTHER_ZONES = 3
# Entries of a zone that may sum up: the second one takes over when the first does not answer.
AGGREGATORS = 2


@attrs.define(eq=False)
class Hierarchy:
    """This entry's place, worked out anew when entries come or go.

    :ivar planner: returns the name of the entry that plans
    """

    listed: entries.EntryList
    planner: collections.abc.Callable[[], str]
    _known: tuple[int, str] = attrs.field(default=(-1, ""), init=False)
    _sources: list[str] = attrs.field(factory=list, init=False)

    def sources(self) -> list[str]:
        """See :func:`sources`."""
        known = self.listed.version, self.planner()
        if known != self._known:
            self._known = known
            self._sources = sources(self.listed.own, self.listed.others(), known[1])
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
    place = zone.index(own)
    if not place:
        # One watch for all zones: each return of a watch is a call that is paid for.
        return [] if own.entry == planner else _planners_address(zones, planner)
    chosen = [zone[(place - 1) // MAX_FOLLOWERS_PER_ENTRY]]
    if zone[0] not in chosen:
        chosen.append(zone[0])
    names = sorted(zones)
    begin = names.index(own.zone) + 1
    for name in (names[begin:] + names[: begin - 1])[:OTHER_ZONES]:
        chosen.append(zones[name][0])
    return [entry.exchange_address for entry in chosen]


def aggregators(
    own: entries.Entry, others: collections.abc.Iterable[entries.Entry]
) -> dict[str, list[entries.Entry]]:
    """Return the entries that sum up, by availability zone, the first choice first."""
    zones = by_zone([own, *others])
    return {zone: members[:AGGREGATORS] for zone, members in zones.items()}


def by_zone(
    known: collections.abc.Iterable[entries.Entry], planner: str = ""
) -> dict[str, list[entries.Entry]]:
    """Return the entries of each availability zone, by rank."""
    zones: dict[str, list[entries.Entry]] = {}
    for entry in sorted(known, key=lambda each: _rank(each, planner)):
        zones.setdefault(entry.zone, []).append(entry)
    return zones


def _planners_address(zones: dict[str, list[entries.Entry]], planner: str) -> list[str]:
    firsts = (members[0] for members in zones.values())
    return [entry.exchange_address for entry in firsts if entry.entry == planner]


def _rank(entry: entries.Entry, planner: str) -> tuple:
    # Large machines first: whoever passes changes on spends processor time and bandwidth on it.
    spread = hashlib.blake2b(f"{entry.entry}/{entry.boot}".encode(), digest_size=8).digest()
    return entry.entry != planner, -entry.cores, spread
