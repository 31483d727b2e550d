"""Keeps the crashes of one request or part of prompts, and merges those that others report."""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.gateway import blame, signatures

MAX_CLEARED = 32
# A part that was answered soundly so recently is not blocked: answers that are under way on other
# servers show within this time whether it is to blame.
RECENTLY_SOUND_S = 2.0


@attrs.define(eq=False)
class CrashRecord:
    """Crashes of servers during one request, or on one part of prompts.

    :ivar crashes: the newest crashes, in order of time
    :ivar cleared: crashes before a server answered it soundly
    :ivar restored_count: number of crashes before this entry started
    :ivar restored_s: trio clock time of the newest of them
    :ivar sound_s: trio clock time of the newest sound answer
    :ivar crashed_s: trio clock time of the newest crash
    :ivar changed_s: trio clock time at which this entry last learned of one, or of the first
    :ivar trial_until_s: trio clock time until which the result of an own trial is awaited
    :ivar depth: see :class:`blame.Suspect`
    :ivar reported_by: entry that reported the newest crash; empty if it was seen here
    :ivar blamed_count: number of crashes for which this entry has reported it as blocked
    :ivar is_witnessed: whether a request of this entry was lost in one of them
    """

    key: str
    crashes: list[blame.Crash] = attrs.field(factory=list)
    cleared: list[blame.Crash] = attrs.field(factory=list)
    restored_count: int = 0
    restored_s: float = -math.inf
    sound_s: float = -math.inf
    crashed_s: float = -math.inf
    changed_s: float = attrs.field(factory=trio.current_time)
    trial_until_s: float = -math.inf
    depth: int = 0
    reported_by: str = ""
    blamed_count: int = 0
    is_witnessed: bool = False

    @property
    def count(self) -> int:
        """Number of crashes that count, at most ``blame.MAX_CRASHES``."""
        # Other entries may also report those from before the start.
        newer = sum(at_s > self.restored_s + blame.SAME_CRASH_S for _, at_s in self.crashes)
        return min(blame.MAX_CRASHES, max(len(self.crashes), self.restored_count + newer))

    @property
    def is_expired(self) -> bool:
        """Whether the newest crash and sound answer are too long ago to count."""
        age_s = trio.current_time() - max(self.crashed_s, self.sound_s)
        return age_s > blame.retention_s(self.key, self.count)

    @property
    def is_recently_sound(self) -> bool:
        """Whether it is a part that was answered too recently to be blocked."""
        is_recent = trio.current_time() - self.sound_s < RECENTLY_SOUND_S
        return is_recent and signatures.is_part(self.key)

    @property
    def block_end_s(self) -> float:
        """Trio clock time until which it may not be sent if it is to blame."""
        return self.crashed_s + blame.block_s(self.key, self.count)

    def add(self, crashes: collections.abc.Iterable[blame.Crash]) -> bool:
        """Add crashes since the last sound answer; return whether any of them was unknown."""
        known = [*self.crashes, *self.cleared]
        unknown = [
            crash
            for crash in crashes
            if crash[1] >= self.sound_s
            and not any(blame.is_same_crash(crash, each) for each in known)
        ]
        by_time = sorted([*self.crashes, *unknown], key=lambda crash: crash[1])
        newest = by_time[-blame.MAX_CRASHES :]
        if not any(crash in newest for crash in unknown):
            return False
        self.crashes = newest
        self.crashed_s = max(self.crashed_s, newest[-1][1])
        self.changed_s = trio.current_time()
        return True

    def clear(self, sound_s: float) -> bool:
        """Discard the crashes before a sound answer, also if other entries report them again.

        :param sound_s: trio clock time of the answer
        :return: whether any crash is discarded
        """
        if sound_s <= self.sound_s:
            return False
        self.sound_s = sound_s
        discarded = [crash for crash in self.crashes if crash[1] <= sound_s]
        had_restored = self.restored_count > 0 and self.restored_s <= sound_s
        self.cleared = [*self.cleared, *discarded][-MAX_CLEARED:]
        self.crashes = [crash for crash in self.crashes if crash[1] > sound_s]
        self.blamed_count = 0
        if had_restored:
            self.restored_count = 0
        return bool(discarded) or had_restored

    def suspect(self, is_blamed: bool) -> blame.Suspect:
        """Return what decides whether it is to blame."""
        return blame.Suspect(self.key, tuple(self.crashes), self.count, self.depth, is_blamed)
