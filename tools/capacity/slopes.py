"""Fits lines to values measured at several sizes."""

import collections.abc
import statistics

import attrs

REPEATS = 5

Measurement = collections.abc.Callable[[int], float]


@attrs.frozen
class Slope:
    """A line fitted to measured points.

    :ivar per_item: slope, in ``unit`` per item
    :ivar offset: value at size 0, in ``unit``
    :ivar r_squared: coefficient of determination; 1 for points on a line
    """

    name: str
    unit: str
    per_item: float
    offset: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the value that the line gives at ``size``."""
        return self.offset + self.per_item * size


def measure(
    name: str,
    unit: str,
    measurement: Measurement,
    sizes: collections.abc.Sequence[int],
    repeats: int = REPEATS,
) -> Slope:
    """Measure the median of ``repeats`` runs at each size and return the fitted line."""
    points = [
        (size, statistics.median(measurement(size) for _ in range(repeats))) for size in sizes
    ]
    return fit_line(name, unit, points)


def fit_line(name: str, unit: str, points: collections.abc.Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through ``points``."""
    sizes, values = zip(*points, strict=True)
    regression = statistics.linear_regression(sizes, values)
    is_varying = len(set(values)) > 1
    correlation = statistics.correlation(sizes, values) if is_varying else 1.0
    return Slope(name, unit, regression.slope, regression.intercept, correlation**2)
