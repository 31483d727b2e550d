"""How entries of unequal size share the callers, and the bounds that they keep together."""

from __future__ import annotations

import collections.abc
import hashlib
import math

from toucanhold.gateway import entries

# A request takes about 7 ms of a usual core; with half of one it waits for as much again
# at every turn; the same requests at entries four times as large are also counted together, and
# choose servers with better knowledge. So the weight grows faster than the size.
WEIGHT_EXPONENT = 2
# However few large entries there are, callers get so many addresses to turn to.
MIN_ADVERTISED = 3
# The small entries that are advertised change this often; callers leave those that no longer are.
ROTATION_PERIOD_S = 10.0


def weight(entry: entries.Entry) -> float:
    """Return what part of the work an entry should have, against that of others."""
    return max(entry.cores, 0.01) ** WEIGHT_EXPONENT


def share(own: entries.Entry, others: collections.abc.Iterable[entries.Entry]) -> float:
    """Return this entry's part of all callers, and so of the bounds on all entries together."""
    own_weight = weight(own)
    return own_weight / (own_weight + sum(weight(entry) for entry in others))


def quota(
    total: float, key: str, own: entries.Entry, others: collections.abc.Iterable[entries.Entry]
) -> int:
    """Return this entry's whole units of a bound; those of all entries sum up to it at most.

    Parts in proportion would be below one at hundreds of entries, and nobody could use the bound.
    So what is left of whole parts goes to some entries by rendezvous hashing.

    :param total: units that all entries may use
    :param key: what the bound is on
    """
    all_entries = [own, *others]
    total_weight = sum(map(weight, all_entries))
    units = {entry.entry: int(total * weight(entry) / total_weight) for entry in all_entries}
    remaining = int(total) - sum(units.values())
    by_score = sorted(all_entries, key=lambda entry: _rendezvous_score(entry, key))
    for entry in (by_score * (remaining // len(all_entries) + 1))[:remaining]:
        units[entry.entry] += 1
    return units[own.entry]


def _rendezvous_score(entry: entries.Entry, key: str) -> float:
    digest = hashlib.blake2b(f"{entry.entry}/{key}".encode(), digest_size=8).digest()
    draw = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -math.log(draw) / weight(entry)


def near_zone(serving: collections.abc.Sequence[entries.Entry], zone: str) -> list[entries.Entry]:
    """Return the entries of a caller's zone, and where they are few some others.

    Callers in their own zone cost no bytes between zones, and go on while it is cut off.
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
    """Return the entries to advertise to the callers of a zone: the largest and some others.

    :param now_s: seconds of a clock that other entries need not share
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
    """Return a number from 0 to 1 that stays the same for a while."""
    text = f"{entry.entry}/{caller_zone}/{slot}".encode()
    digest = hashlib.blake2b(text, digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
