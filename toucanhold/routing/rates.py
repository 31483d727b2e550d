"""Measures how fast requests finish and how long they take."""

import math

import attrs

WINDOW_S = 5.0
DURATION_GAIN = 0.1


@attrs.define(eq=False)
class CompletionRate:
    """Exponentially weighted completion rate and duration of requests.

    :ivar duration_s: mean duration of a request, in seconds; 0 before the first
    """

    duration_s: float = 0.0
    _weighted_count: float = 0.0
    _weighted_span_s: float = 0.0
    _updated_s: float = math.nan

    def record_finished(self, now_s: float, duration_s: float) -> None:
        """Record a finished request."""
        self._decay(now_s)
        self._weighted_count += 1
        gain = DURATION_GAIN if self.duration_s else 1.0
        self.duration_s += gain * (duration_s - self.duration_s)

    def completions_per_second(self, now_s: float) -> float:
        """Return finished requests per second over about ``WINDOW_S``; 0 if unknown."""
        self._decay(now_s)
        return self._weighted_count / self._weighted_span_s if self._weighted_span_s > 0.1 else 0.0

    def _decay(self, now_s: float) -> None:
        if math.isnan(self._updated_s):
            self._updated_s = now_s
        factor = math.exp((self._updated_s - now_s) / WINDOW_S)
        self._weighted_count *= factor
        self._weighted_span_s = self._weighted_span_s * factor + WINDOW_S * (1 - factor)
        self._updated_s = now_s
