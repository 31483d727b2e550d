"""Computes the paired differences of two sets of runs, with their standard errors."""

import collections
import collections.abc
import math
import statistics

import attrs

from tests.platform.paired import reports


@attrs.frozen(order=True)
class RunKey:
    """Site, day and seed that identify a run."""

    site: str
    day: str
    seed: int


@attrs.frozen
class Difference:
    """Difference between two checkouts over some pairs of runs.

    :ivar before: mean worth before the change
    :ivar after: mean worth after the change
    :ivar pairs: number of pairs
    :ivar mean: mean difference, after minus before
    :ivar error: standard error of the mean; NaN for a single pair
    """

    before: float
    after: float
    pairs: int
    mean: float
    error: float

    @property
    def is_significant(self) -> bool:
        """Whether at least three pairs differ in the mean by over twice the standard error."""
        return self.pairs >= 3 and abs(self.mean) > 2 * self.error


DayReports = collections.abc.Mapping[RunKey, reports.DayReport]
Grouping = collections.abc.Callable[[RunKey], str]


def paired_differences(
    before: DayReports, after: DayReports, grouping: Grouping
) -> dict[str, Difference]:
    """Return the differences in worth of the runs in both sets, by group."""
    pairs: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for run_key in sorted(before.keys() & after.keys()):
        pairs[grouping(run_key)].append((before[run_key].worth, after[run_key].worth))
    return {name: _difference(values) for name, values in pairs.items()}


def by_kind(before: DayReports, after: DayReports, site: str) -> dict[str, Difference]:
    """Return the differences of a site by kind of request."""
    pairs: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for run_key in sorted(before.keys() & after.keys()):
        if run_key.site != site:
            continue
        for kind in before[run_key].by_kind.keys() & after[run_key].by_kind.keys():
            pairs[kind].append((before[run_key].by_kind[kind], after[run_key].by_kind[kind]))
    return {kind: _difference(values) for kind, values in sorted(pairs.items())}


def mean_worth_by_second(days: DayReports, site: str, day: str) -> dict[int, float]:
    """Return a day's mean worth over its seeds, by second."""
    worths_by_second: dict[int, list[float]] = collections.defaultdict(list)
    for run_key, day_report in days.items():
        if (run_key.site, run_key.day) == (site, day):
            for second, worth in day_report.by_second.items():
                worths_by_second[second].append(worth)
    return {second: statistics.mean(worths) for second, worths in sorted(worths_by_second.items())}


def table(differences: collections.abc.Mapping[str, Difference]) -> str:
    """Return differences as a Markdown table."""
    lines = ["| plays of | pairs | before | after | difference |", "|---|---|---|---|---|"]
    for name, each in differences.items():
        error = "" if math.isnan(each.error) else f" ± {each.error:.3f}"
        lines.append(
            f"| {name} | {each.pairs} | {each.before:.3f} | {each.after:.3f} "
            f"| {each.mean:+.3f}{error}{'' if each.is_significant else ' (luck?)'} |"
        )
    return "\n".join(lines)


def _difference(pairs: list[tuple[float, float]]) -> Difference:
    pair_differences = [after - before for before, after in pairs]
    error = math.nan
    if len(pair_differences) > 1:
        error = statistics.stdev(pair_differences) / math.sqrt(len(pair_differences))
    return Difference(
        statistics.mean(before for before, _ in pairs),
        statistics.mean(after for _, after in pairs),
        len(pairs),
        statistics.mean(pair_differences),
        error,
    )
