"""Estimates how many times as long as expected a server takes, from samples of its times."""

from __future__ import annotations

import collections
import math

import attrs

# Bounds of all estimates. Servers have been seen up to 12 times as slow.
MAX_SLOWDOWN = 64.0
MAX_LOG_SLOWDOWN = math.log(MAX_SLOWDOWN)
# A sample loses its weight linearly within its lifetime. A slow server gives few samples, so that
# its samples live for three times the time that they took, within these bounds.
MIN_LIFETIME_S = 1.2
MAX_LIFETIME_S = 2.0
# All streams of a head get their events at the end of the same pass, which counts once.
MOMENT_S = 0.02
MAX_SAMPLES = 32
# Pieces of a stream that were read together give pauses near zero, which say nothing.
MIN_RATIO = 0.25
# The usual ratio of observed to expected times is learned over this time. It covers what an
# engine's figures do not, and must be long compared with the time for which servers are slow.
BASELINE_TIME_S = 20.0
# The first samples count more, so that a baseline without figures is known after a few answers.
QUICK_SAMPLES = 10
MAX_BASELINE_STEP_S = 1.0


@attrs.frozen
class Estimate:
    """A server's slowdown.

    :ivar log_slowdown: natural logarithm of the slowdown
    :ivar weight: number of recent samples, each weighted by its age
    """

    log_slowdown: float = 0.0
    weight: float = 0.0


@attrs.frozen
class _Sample:
    log_slowdown: float
    weight: float
    taken_s: float
    lifetime_s: float

    def weight_at(self, now_s: float) -> float:
        return self.weight * max(0.0, 1.0 - (now_s - self.taken_s) / self.lifetime_s)


@attrs.define(eq=False)
class Samples:
    """Recent samples of one server; all times are trio clock times.

    :ivar last_s: time of the last sample
    """

    last_s: float = -math.inf
    _samples: collections.deque[_Sample] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES), init=False
    )

    def add(self, log_slowdown: float, weight: float, duration_s: float, now_s: float) -> None:
        """Add a sample.

        :param duration_s: time that the server took
        """
        if not math.isfinite(log_slowdown) or log_slowdown < math.log(MIN_RATIO):
            return
        log_slowdown = min(log_slowdown, MAX_LOG_SLOWDOWN)
        if self._samples and now_s - self._samples[-1].taken_s < MOMENT_S:
            log_slowdown = min(log_slowdown, self._samples.pop().log_slowdown)
        lifetime_s = min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, 3 * duration_s))
        self._samples.append(_Sample(log_slowdown, weight, now_s, lifetime_s))
        self.last_s = now_s

    def largest(self) -> float:
        """Return the largest sample, an upper bound of the estimate."""
        return max((sample.log_slowdown for sample in self._samples), default=0.0)

    def estimate(self, now_s: float) -> Estimate:
        """Return the weighted median, which a few long prompts do not change."""
        weighted = sorted(
            (sample.log_slowdown, weight)
            for sample in self._samples
            if (weight := sample.weight_at(now_s)) > 0
        )
        total = sum(weight for _, weight in weighted)
        passed = 0.0
        for log_slowdown, weight in weighted:
            passed += weight
            if 2 * passed >= total:
                return Estimate(log_slowdown, total)
        return Estimate()


@attrs.define(eq=False)
class Baseline:
    """Usual logarithm of the ratio of observed to expected times.

    :ivar log_ratio: the usual value; None before the first sample
    """

    log_ratio: float | None = None
    _count: int = 0
    _updated_s: float = 0.0

    def excess(self, log_ratio: float) -> float:
        """Return by how much a sample exceeds the usual value."""
        return log_ratio - self.log_ratio if self.log_ratio is not None else 0.0

    def record(self, log_ratio: float, now_s: float) -> None:
        """Adapt the usual value to a sample, by a limited step."""
        if self.log_ratio is None:
            self.log_ratio = log_ratio
        elapsed_s = min(MAX_BASELINE_STEP_S, now_s - self._updated_s)
        rate = elapsed_s / BASELINE_TIME_S
        if self._count < QUICK_SAMPLES:
            self._count += 1
            rate = max(rate, 1 / self._count)
        self.log_ratio += rate * max(-1.0, min(1.0, log_ratio - self.log_ratio))
        self._updated_s = now_s


def known_baseline() -> Baseline:
    """Return a baseline for times that an engine's figures give."""
    return Baseline(0.0, QUICK_SAMPLES)
