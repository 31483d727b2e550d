"""Estimates the rate of recent events."""

from __future__ import annotations

import math

import attrs
import trio

# Time in which the weight of an event falls to 1/e.
DECAY_S = 2.0
# Rates over a shorter time are too uncertain.
MIN_OBSERVED_S = 0.5


@attrs.define
class ArrivalRate:
    """An exponentially decaying rate, corrected for the time before the observation began.

    :ivar since_s: trio clock time at which the observation began
    """

    since_s: float = attrs.field(factory=trio.current_time)
    _weight: float = attrs.field(default=0.0, init=False)
    _updated_s: float = attrs.field(factory=trio.current_time, init=False)

    def add(self) -> None:
        """Count an event."""
        self._decay()
        self._weight += 1

    def per_s(self) -> float:
        """Return the rate in events per second."""
        self._decay()
        observed_s = max(MIN_OBSERVED_S, self._updated_s - self.since_s)
        return self._weight / (DECAY_S * -math.expm1(-observed_s / DECAY_S))

    def _decay(self) -> None:
        now_s = trio.current_time()
        self._weight *= math.exp((self._updated_s - now_s) / DECAY_S)
        self._updated_s = now_s
