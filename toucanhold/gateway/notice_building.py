"""Builds the notices that this entry sends to others, with what matters most within their size."""

from __future__ import annotations

import collections.abc
import random
import typing

import attrs
import trio

from toucanhold.gateway import (
    crashes,
    draining,
    entries,
    notices,
    rate_limiter,
    shared_counts,
    silence_reports,
    suspensions,
)

if typing.TYPE_CHECKING:
    from toucanhold.gateway import server_speed, trials

MAX_CRASH_REPORTS = 32
MAX_SOUND = 32
MAX_LIMITS = 40
MAX_DRAINING = 20
# A suspension takes about 90 bytes of a notice, and long notices are sent less often.
MAX_SUSPENDED = 10
MAX_SLOW = 20
# One notice in this many also repeats older crashes, limits and suspensions, for entries
# that have restarted.
FULL_NOTICE_EVERY = 10
# All notices do so for this long after another entry has joined.
FULL_AFTER_CHANGE_S = 1.0


@attrs.define(eq=False)
class NoticeBuilder:
    """Builds notices from what this entry knows.

    :ivar count_sources: further counts that entries add up
    :ivar server_trials: the policy that suspends servers; None if it is off
    :ivar server_speed: table of slow servers; None if they are not reported
    :ivar omitted_crash_reports: number of crash reports for which a notice had no room
    """

    entry_list: entries.EntryList
    rate_limiter: rate_limiter.RateLimiter
    draining_table: draining.DrainingTable
    crash_tracker: crashes.CrashTracker
    silence_reports: silence_reports.SilenceReports
    rng: random.Random
    count_sources: collections.abc.Sequence[shared_counts.CountSource]
    server_trials: trials.ServerTrials | None
    server_speed: server_speed.ServerSpeed | None
    omitted_crash_reports: int = attrs.field(default=0, init=False)
    _round: int = attrs.field(default=0, init=False)
    _known_version: int = attrs.field(default=-1, init=False)
    _full_until_s: float = attrs.field(default=0.0, init=False)

    def start_round(self) -> None:
        """Begin a round of notices; one round in ``FULL_NOTICE_EVERY`` has full ones."""
        self._round += 1

    def own_counts(self) -> dict[str, int]:
        """Return the counts of this entry that entries add up."""
        counts = self.rate_limiter.own_counts()
        for source in self.count_sources:
            counts |= source.own_counts()
        return counts

    def build(
        self,
        kind: notices.Kind,
        counts: dict[str, int],
        recent: dict[str, int],
        is_upward: bool,
    ) -> bytes:
        """Return a notice as a datagram.

        :param counts: requests in flight by server ID
        :param recent: counts of the rate limiter
        :param is_upward: whether to include only the silent servers that this entry or one that
            reports to it detected
        """
        own = self.entry_list.own
        speed = self.server_speed
        slow = speed.estimates.to_announce() if speed is not None else []
        silent = self.silence_reports
        is_full = self._is_full()
        return notices.encode(
            notices.Notice(
                kind,
                own.entry,
                own.boot,
                counts,
                silent.local() if is_upward else silent.all(),
                [],
                recent,
                self._sample(self.rate_limiter.limit_table.to_announce(is_full), MAX_LIMITS),
                self._sample(self.draining_table.to_announce(), MAX_DRAINING),
                self._suspended(is_full),
                self._sample(slow, MAX_SLOW),
                self.crash_reports(is_full),
                self._sound(),
            )
        )

    def crash_reports(self, is_full: bool) -> list[crashes.CrashReport]:
        """Return those with the most crashes; a random choice of those with the same number.

        :param is_full: see :meth:`crashes.CrashTracker.to_announce`
        """
        reports = self.crash_tracker.to_announce(is_full)
        if len(reports) <= MAX_CRASH_REPORTS:
            return reports
        # All requests at a server are lost in its crash. One that caused it soon has more.
        self.omitted_crash_reports += len(reports) - MAX_CRASH_REPORTS
        self.rng.shuffle(reports)
        reports.sort(key=lambda report: len(report.crashes), reverse=True)
        return reports[:MAX_CRASH_REPORTS]

    def _sound(self) -> dict[str, float]:
        sound = self.crash_tracker.sound_to_announce()
        return dict(self._sample(list(sound.items()), MAX_SOUND))

    def _is_full(self) -> bool:
        now_s = trio.current_time()
        if self._known_version != self.entry_list.version:
            self._known_version = self.entry_list.version
            self._full_until_s = now_s + FULL_AFTER_CHANGE_S
        return not self._round % FULL_NOTICE_EVERY or now_s < self._full_until_s

    def _suspended(self, is_full: bool) -> list[suspensions.Suspension]:
        if self.server_trials is None:
            return []
        return self._sample(self.server_trials.to_announce(is_full), MAX_SUSPENDED)

    def _sample(self, items: list, max_count: int) -> list:
        """Return all items, or a random choice of them; later notices include the others."""
        return items if len(items) <= max_count else self.rng.sample(items, max_count)
