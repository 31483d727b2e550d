"""Differences between two sets of played days, with their spread."""

import collections
import collections.abc
import math
import statistics

import attrs

from tests.platform.paired import reports


@attrs.frozen(order=True)
class Play:
    """Which day was played, and with which seed."""

    site: str
    day: str
    seed: int


@attrs.frozen
class Difference:
    """What a change is worth on some plays.

    :ivar plays: pairs that it rests on
    :ivar mean: mean difference, after less before
    :ivar error: standard error of the mean; NaN for a single pair
    """

    before: float
    after: float
    plays: int
    mean: float
    error: float

    @property
    def is_told_from_luck(self) -> bool:
        """Whether three pairs or more lie on one side by twice their standard error."""
        return self.plays >= 3 and abs(self.mean) > 2 * self.error


Days = collections.abc.Mapping[Play, reports.Day]
Grouping = collections.abc.Callable[[Play], str]


def differences(before: Days, after: Days, grouping: Grouping) -> dict[str, Difference]:
    """Return the differences in worth of plays that both sets hold, by group."""
    pairs: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for play in sorted(before.keys() & after.keys()):
        pairs[grouping(play)].append((before[play].worth, after[play].worth))
    return {name: _difference(found) for name, found in pairs.items()}


def by_kind(before: Days, after: Days, site: str) -> dict[str, Difference]:
    """Return the differences of each kind of request of a site."""
    pairs: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for play in sorted(before.keys() & after.keys()):
        if play.site != site:
            continue
        for kind in before[play].by_kind.keys() & after[play].by_kind.keys():
            pairs[kind].append((before[play].by_kind[kind], after[play].by_kind[kind]))
    return {kind: _difference(found) for kind, found in sorted(pairs.items())}


def course(days: Days, site: str, day: str) -> dict[int, float]:
    """Return a day's mean worth by second, over its seeds."""
    found: dict[int, list[float]] = collections.defaultdict(list)
    for play, played in days.items():
        if (play.site, play.day) == (site, day):
            for second, worth in played.by_second.items():
                found[second].append(worth)
    return {second: statistics.mean(worths) for second, worths in sorted(found.items())}


def table(found: collections.abc.Mapping[str, Difference]) -> str:
    """Return differences as a table for a page."""
    lines = ["| plays of | pairs | before | after | difference |", "|---|---|---|---|---|"]
    for name, each in found.items():
        error = "" if math.isnan(each.error) else f" ± {each.error:.3f}"
        lines.append(
            f"| {name} | {each.plays} | {each.before:.3f} | {each.after:.3f} "
            f"| {each.mean:+.3f}{error}{'' if each.is_told_from_luck else ' (luck?)'} |"
        )
    return "\n".join(lines)


def _difference(pairs: list[tuple[float, float]]) -> Difference:
    changes = [after - before for before, after in pairs]
    error = math.nan
    if len(changes) > 1:
        error = statistics.stdev(changes) / math.sqrt(len(changes))
    return Difference(
        statistics.mean(before for before, _ in pairs),
        statistics.mean(after for _, after in pairs),
        len(pairs),
        statistics.mean(changes),
        error,
    )
