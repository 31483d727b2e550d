"""Measures how fast slots become free for the requests of this entry."""

from __future__ import annotations

import math

import attrs

from toucanhold.routing import rates

# The rate follows a loss or a return of servers within two periods.
PERIOD_S = 0.75
# Streams hold a slot for about two seconds; after two such times the requests in flight show how
# many slots this entry gets.
MIN_BUSY_S = 4.0
MIN_SERVED = 10


@attrs.define
class _Period:
    """Activity within one period; ``peak`` is the largest number of requests in flight."""

    peak: int = 0
    starts: int = 0


@attrs.define(eq=False)
class SlotRate:
    """Rate at which requests of one service and model get slots.

    By Little's law, slots become free at the rate of the requests in flight divided by the time
    that each holds its slot. This rate follows a loss of servers before any request has finished
    elsewhere. The starts are counted as well, because they show new capacity first. The higher of
    both counts, as too low a rate would refuse requests that could be served.
    """

    _in_flight: int = attrs.field(default=0, init=False)
    _busy_since_s: float = attrs.field(default=math.inf, init=False)
    _served: int = attrs.field(default=0, init=False)
    _holding: rates.CompletionRate = attrs.field(factory=rates.CompletionRate, init=False)
    _current: _Period = attrs.field(factory=_Period, init=False)
    _previous: _Period = attrs.field(factory=_Period, init=False)
    _period_start_s: float = attrs.field(default=-math.inf, init=False)

    def record_started(self, now_s: float) -> None:
        """Count a request that takes a slot."""
        self._advance(now_s)
        if not self._in_flight:
            self._busy_since_s = now_s
        self._in_flight += 1
        self._current.peak = max(self._current.peak, self._in_flight)
        self._current.starts += 1

    def record_ended(self, now_s: float) -> None:
        """Count a request that leaves its slot."""
        self._advance(now_s)
        self._in_flight -= 1

    def record_not_run(self, now_s: float) -> None:
        """Process that a request which took a slot did not run."""
        self._advance(now_s)
        self._current.starts = max(0, self._current.starts - 1)

    def record_served(self, now_s: float, held_s: float) -> None:
        """Process the time for which a request that was served has held its slot."""
        self._served += 1
        self._holding.record_finished(now_s, held_s)

    def slots_per_s(self, now_s: float) -> float:
        """Return the slots per second that become free for this entry; 0 if not known."""
        self._advance(now_s)
        is_known = self._in_flight and now_s - self._busy_since_s >= MIN_BUSY_S
        if not is_known or self._served < MIN_SERVED or self._holding.duration_s <= 0:
            return 0.0
        peak = max(self._previous.peak, self._current.peak)
        starts = max(self._previous.starts, self._current.starts)
        return max(peak / self._holding.duration_s, starts / PERIOD_S)

    def _advance(self, now_s: float) -> None:
        elapsed_s = now_s - self._period_start_s
        if elapsed_s < PERIOD_S:
            return
        self._previous = self._current if elapsed_s < 2 * PERIOD_S else _Period(self._in_flight)
        self._current = _Period(self._in_flight)
        is_first = math.isinf(elapsed_s)
        self._period_start_s = now_s if is_first else now_s - elapsed_s % PERIOD_S
