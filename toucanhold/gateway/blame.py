"""Decides which requests or parts of prompts are to blame for crashes of backend servers.

This module does no I/O and has no clock. A crash takes along all requests at the server, so most of
those that are lost did not cause it. The fewest suspects that explain the crashes are to blame: a
part that is in all of them, not the requests and parts that happened to be there.
"""

from __future__ import annotations

import collections.abc
import heapq

import attrs

from toucanhold.gateway import signatures

# Connections are also lost for reasons unrelated to the request, mostly one at a time. After this
# many crashes of a suspect without a sound answer, it is the cause.
CRASH_THRESHOLD = 3
# Crashes that are kept and announced for each suspect.
MAX_CRASHES = 8
# Entries notice the same crash of a server within this time; servers take longer to restart.
SAME_CRASH_S = 1.0

# A crashed backend server restarts within seconds, and the request is retried within its deadline
# of at most eight seconds, possibly once more. A minute covers several such cycles.
REQUEST_BLOCK_S = 60.0
REQUEST_BLOCK_FACTOR = 2
# Many requests share a part, so one that is blocked in error is tried again soon; one that crashes
# servers costs fewer and fewer of them.
PART_BLOCK_S = 2.0
PART_BLOCK_FACTOR = 5
# Few crashes of a part, far apart, still add up.
PART_RETENTION_S = 600.0

# Server ID, and the trio clock time of its crash. The start of the server's process would not tell
# two crashes apart: entries may not know yet that a server has restarted.
Crash = tuple[str, float]


@attrs.frozen
class Suspect:
    """A request or a part of prompts, with the crashes since it was last answered soundly.

    :ivar crashes: known crashes; fewer than ``count`` after a restart of this entry
    :ivar depth: position of a part in prompts; requests that share it share most parts before it
    :ivar is_blamed: whether it is to blame already
    """

    key: str
    crashes: tuple[Crash, ...]
    count: int
    depth: int
    is_blamed: bool


def culprits(suspects: collections.abc.Iterable[Suspect]) -> list[str]:
    """Return the keys of the suspects to blame.

    Greedy set cover: those that explain the most crashes go first, and of several that explain the
    same crashes, the one that the fewest requests share. Parts that are to blame stay so while
    others were seen along with them, so that a shared part does not take their place.
    """
    explained = _CrashSet()
    ranked = [
        (_precedence(suspect, explained), suspect)
        for suspect in suspects
        if suspect.count >= CRASH_THRESHOLD
    ]
    heapq.heapify(ranked)
    blamed = []
    while ranked:
        outdated, suspect = heapq.heappop(ranked)
        precedence = _precedence(suspect, explained)
        if precedence != outdated:
            # More of its crashes are explained by now, so others may come before it.
            heapq.heappush(ranked, (precedence, suspect))
        elif explained.unexplained_count(suspect) >= CRASH_THRESHOLD:
            blamed.append(suspect.key)
            explained.add(suspect.crashes)
    return blamed


@attrs.define(eq=False)
class _CrashSet:
    """Crashes by server, so that the cost of a decision does not grow with all of them."""

    _times_s: dict[str, list[float]] = attrs.field(factory=dict)

    def add(self, crashes: collections.abc.Iterable[Crash]) -> None:
        for server_id, at_s in crashes:
            self._times_s.setdefault(server_id, []).append(at_s)

    def unexplained_count(self, suspect: Suspect) -> int:
        return suspect.count - sum(map(self._has, suspect.crashes))

    def _has(self, crash: Crash) -> bool:
        server_id, at_s = crash
        return any(
            is_same_crash(crash, (server_id, other_s))
            for other_s in self._times_s.get(server_id, ())
        )


def _precedence(suspect: Suspect, explained: _CrashSet) -> tuple:
    """Return a sort key by which those to blame first come first; it only grows."""
    is_blamed_part = suspect.is_blamed and signatures.is_part(suspect.key)
    return (
        not is_blamed_part,
        -explained.unexplained_count(suspect),
        signatures.is_part(suspect.key),
        -suspect.depth,
        suspect.key,
    )


def is_same_crash(crash: Crash, other: Crash) -> bool:
    """Return whether two reports are of one crash."""
    return crash[0] == other[0] and abs(crash[1] - other[1]) < SAME_CRASH_S


def block_s(key: str, count: int) -> float:
    """Return for how long a culprit may not be sent after the newest of its crashes."""
    further = count - CRASH_THRESHOLD
    if signatures.is_part(key):
        return PART_BLOCK_S * PART_BLOCK_FACTOR**further
    return REQUEST_BLOCK_S * REQUEST_BLOCK_FACTOR**further


def retention_s(key: str, count: int) -> float:
    """Return how long a number of crashes is remembered after the newest one."""
    least_s = PART_RETENTION_S if signatures.is_part(key) else REQUEST_BLOCK_S
    if count < CRASH_THRESHOLD:
        return least_s
    # Remembered beyond the block, so that a single further crash blocks it again.
    return max(least_s, 2 * block_s(key, count))
