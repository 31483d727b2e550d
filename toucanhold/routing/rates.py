"""Measured rates and durations."""

import math

import attrs

WINDOW_S = 5.0
DURATION_GAIN = 0.1


@attrs.define(eq=False)
class ServiceRate:
    """How fast requests of one kind finish.

    :ivar duration_s: mean time from the start of a request to its end; 0 before the first
    """

    duration_s: float = 0.0
    _weight: float = 0.0
    _span_s: float = 0.0
    _updated_s: float = math.nan

    def note_finished(self, now_s: float, duration_s: float) -> None:
        """Count a request that has finished."""
        self._decay(now_s)
        self._weight += 1
        gain = DURATION_GAIN if self.duration_s else 1.0
        self.duration_s += gain * (duration_s - self.duration_s)

    def per_second(self, now_s: float) -> float:
        """Return finished requests a second over about the last seconds; 0 if unknown."""
        self._decay(now_s)
        return self._weight / self._span_s if self._span_s > 0.1 else 0.0

    def _decay(self, now_s: float) -> None:
        if math.isnan(self._updated_s):
            self._updated_s = now_s
        factor = math.exp((self._updated_s - now_s) / WINDOW_S)
        self._weight *= factor
        self._span_s = self._span_s * factor + WINDOW_S * (1 - factor)
        self._updated_s = now_s
