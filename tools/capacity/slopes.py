"""Lines through figures measured at several sizes."""

import collections.abc
import statistics

import attrs

REPEATS = 5

Measured = collections.abc.Callable[[int], float]


@attrs.frozen
class Slope:
    """A line through measured points.

    :ivar fit: coefficient of determination; 1 for points on a line
    """

    name: str
    unit: str
    per_item: float
    offset: float
    fit: float

    def at(self, size: float) -> float:
        """Return the value that the line gives at ``size``."""
        return self.offset + self.per_item * size


def measure(
    name: str,
    unit: str,
    measured: Measured,
    sizes: collections.abc.Sequence[int],
    repeats: int = REPEATS,
) -> Slope:
    """Measure at all sizes, the median of ``repeats`` runs each, and return the line."""
    points = [(size, statistics.median(measured(size) for _ in range(repeats))) for size in sizes]
    return through(name, unit, points)


def through(name: str, unit: str, points: collections.abc.Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through ``points``."""
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    varies = len(set(values)) > 1
    correlation = statistics.correlation(sizes, values) if varies else 1.0
    return Slope(name, unit, line.slope, line.intercept, correlation**2)
