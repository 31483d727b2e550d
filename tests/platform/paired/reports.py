"""Reads the reports that the users' bench writes for a day."""

import json
import pathlib

import attrs


class ReportError(Exception):
    """A report is missing or has an unexpected structure."""


@attrs.frozen
class DayReport:
    """Report of one run of a day.

    :ivar worth: credit minus prices, as a fraction of the credit owed
    :ivar by_kind: fraction of the credit earned, by kind of request
    :ivar by_second: fraction of the credit earned, by the second at which its window begins
    :ivar violations: rules that were broken, and the fault if there was one
    """

    worth: float
    by_kind: dict[str, float]
    by_second: dict[int, float]
    violations: tuple[str, ...]


def read(path: pathlib.Path) -> DayReport:
    """Read one report.

    :raises ReportError: if it cannot be read
    """
    try:
        report = json.loads(path.read_text())
        violations = [str(rule) for rule in report["breaks"]]
        violations += [str(report["fault"])] if report["fault"] else []
        return DayReport(
            float(report["G"]),
            {row["name"]: float(row["worth"]) for row in report["classes"]},
            {int(float(row["name"])): float(row["worth"]) for row in report["windows"]},
            tuple(violations),
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ReportError(f"{path}: {type(error).__name__}: {error}") from error
