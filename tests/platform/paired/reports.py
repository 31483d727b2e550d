"""What a played day was worth, as the bench reports it."""

import json
import pathlib

import attrs


class ReportError(Exception):
    """A report is missing or has another shape."""


@attrs.frozen
class Day:
    """One day, played once.

    :ivar worth: credit less prices, as a part of what was owed
    :ivar by_kind: part of the credit earned by kind of request
    :ivar by_second: part of the credit earned by the second from which it is counted
    :ivar broken: rules that were broken, and a fault where there was one
    """

    worth: float
    by_kind: dict[str, float]
    by_second: dict[int, float]
    broken: tuple[str, ...]


def read(path: pathlib.Path) -> Day:
    """Read one report.

    :raises ReportError: when it cannot be read
    """
    try:
        plain = json.loads(path.read_text())
        broken = [str(rule) for rule in plain["breaks"]]
        broken += [str(plain["fault"])] if plain["fault"] else []
        return Day(
            float(plain["G"]),
            {each["name"]: float(each["worth"]) for each in plain["classes"]},
            {int(float(each["name"])): float(each["worth"]) for each in plain["windows"]},
            tuple(broken),
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ReportError(f"{path}: {type(error).__name__}: {error}") from error
