"""How entries of unequal size share the callers, and the bounds that they keep together."""

from __future__ import annotations

import collections.abc
import hashlib

from toucanhold.gateway import entries

# A request takes about 7 ms of a usual core; with half of one it waits for as much again
# at every turn; the same requests at entries four times as large are also counted together, and
# choose servers with better knowledge. So the weight grows faster than the size.
WEIGHT_EXPONENT = 2
# However few large entries there are, callers get so many addresses to turn to.
LEAST_NAMED = 3
# The small entries that are named change this often; callers leave those that no longer are.
SLOT_S = 10.0


def weight(entry: entries.Entry) -> float:
    """Return what part of the work an entry should have, against that of others."""
    return max(entry.cores, 0.01) ** WEIGHT_EXPONENT


def share(own: entries.Entry, others: collections.abc.Iterable[entries.Entry]) -> float:
    """Return this entry's part of all callers, and so of the bounds on all entries together."""
    own_weight = weight(own)
    return own_weight / (own_weight + sum(weight(entry) for entry in others))


def named(
    serving: collections.abc.Sequence[entries.Entry], caller_zone: str, now_s: float
) -> list[entries.Entry]:
    """Return the entries to name to the callers of a zone: the largest, and some of the others.

    :param now_s: seconds of a clock that other entries need not share
    """
    if not serving:
        return []
    largest = max(map(weight, serving))
    slot = int(now_s // SLOT_S)
    by_draw = sorted(serving, key=lambda entry: _draw(entry, caller_zone, slot) / weight(entry))
    chosen = [
        entry for entry in by_draw if _draw(entry, caller_zone, slot) < weight(entry) / largest
    ]
    return chosen if len(chosen) >= LEAST_NAMED else by_draw[:LEAST_NAMED]


def _draw(entry: entries.Entry, caller_zone: str, slot: int) -> float:
    """Return a number from 0 to 1 that stays the same for a while."""
    text = f"{entry.entry}/{caller_zone}/{slot}".encode()
    digest = hashlib.blake2b(text, digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
