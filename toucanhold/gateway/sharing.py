"""Divides callers and common limits among entries according to their size."""

from __future__ import annotations

import collections.abc
import hashlib
import math

from toucanhold.gateway import entries

# A request takes about 7 ms of a reference core; with half a core it waits for as long again
# whenever it is scheduled. Requests at an entry four times as large are also counted together, so
# that their servers are chosen with more accurate load data. The weight therefore grows faster than
# the size.
WEIGHT_EXPONENT = 2
# Callers get at least this many addresses, even if there are fewer large entries.
MIN_ADVERTISED = 3
# Period after which other small entries are advertised; callers leave those that no longer are.
ROTATION_PERIOD_S = 10.0


def weight(entry: entries.Entry) -> float:
    """Return the relative weight by which an entry is assigned work."""
    return max(entry.cores, 0.01) ** WEIGHT_EXPONENT


def share(own: entries.Entry, others: collections.abc.Iterable[entries.Entry]) -> float:
    """Return this entry's share of all callers and of common limits, from 0 to 1."""
    own_weight = weight(own)
    return own_weight / (own_weight + sum(weight(entry) for entry in others))


def quota(
    total: float, key: str, own: entries.Entry, others: collections.abc.Iterable[entries.Entry]
) -> int:
    """Return this entry's integer quota of a limit; all quotas together do not exceed the limit.

    With hundreds of entries, proportional shares would be below one, and no entry could use the
    limit. The units that remain after rounding down are therefore assigned to some entries by
    rendezvous hashing.

    :param total: limit on all entries together
    :param key: what the limit applies to, such as a server ID
    """
    all_entries = [own, *others]
    total_weight = sum(map(weight, all_entries))
    units = {entry.entry: int(total * weight(entry) / total_weight) for entry in all_entries}
    remaining = int(total) - sum(units.values())
    by_score = sorted(all_entries, key=lambda entry: _rendezvous_score(entry, key))
    for entry in (by_score * (remaining // len(all_entries) + 1))[:remaining]:
        units[entry.entry] += 1
    return units[own.entry]


def rank(key: str, own: entries.Entry, others: collections.abc.Iterable[entries.Entry]) -> int:
    """Return how many other entries precede this one in the rendezvous order of a key."""
    own_score = _rendezvous_score(own, key)
    return sum(_rendezvous_score(entry, key) < own_score for entry in others)


def _rendezvous_score(entry: entries.Entry, key: str) -> float:
    digest = hashlib.blake2b(f"{entry.entry}/{key}".encode(), digest_size=8).digest()
    draw = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -math.log(draw) / weight(entry)


def near_zone(serving: collections.abc.Sequence[entries.Entry], zone: str) -> list[entries.Entry]:
    """Return the entries in a caller's zone, with some of other zones if they are few.

    Callers that stay in their zone cause no traffic between zones, and are still served if the zone
    is partitioned from the others.

    :return: at least ``MIN_ADVERTISED`` entries, unless fewer exist; all if the zone has none
    """
    own = [entry for entry in serving if entry.zone == zone]
    if not own:
        return list(serving)
    others = sorted(
        (entry for entry in serving if entry.zone != zone),
        key=lambda entry: _rendezvous_score(entry, zone),
    )
    return own + others[: max(0, MIN_ADVERTISED - len(own))]


def advertised(
    serving: collections.abc.Sequence[entries.Entry], caller_zone: str, now_s: float
) -> list[entries.Entry]:
    """Return the entries to advertise to callers in a zone: the largest and a rotating selection.

    :param now_s: wall clock time in seconds; it need not agree with other entries' clocks
    :return: at least ``MIN_ADVERTISED`` entries, unless fewer exist
    """
    if not serving:
        return []
    largest = max(map(weight, serving))
    slot = int(now_s // ROTATION_PERIOD_S)
    by_draw = sorted(
        serving, key=lambda entry: _rotation_draw(entry, caller_zone, slot) / weight(entry)
    )
    chosen = [
        entry
        for entry in by_draw
        if _rotation_draw(entry, caller_zone, slot) < weight(entry) / largest
    ]
    return chosen if len(chosen) >= MIN_ADVERTISED else by_draw[:MIN_ADVERTISED]


def _rotation_draw(entry: entries.Entry, caller_zone: str, slot: int) -> float:
    """Return a pseudorandom number from 0 to 1 that is constant within a rotation period."""
    text = f"{entry.entry}/{caller_zone}/{slot}".encode()
    digest = hashlib.blake2b(text, digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
