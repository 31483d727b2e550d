"""Counts late, refused and lost requests by cause: ``python -m tests.platform.late_requests LOG``.

The log may hold the lines of several entries, and each line may have any text before its JSON.
"""

import collections
import collections.abc
import json
import pathlib
import sys

import attrs
import cleo.commands.command
import cleo.helpers

from tools import commandline

PATH_DEPTH = 1


@attrs.define
class Request:
    """What the log tells of one request.

    :ivar ended_at: wall clock time of its end, to the second
    :ivar waited_s: time until it was first placed on a server; None if it never was
    :ivar failures: why it was sent to another server, in order
    """

    path: str = ""
    status: int | None = None
    outcome: str = ""
    ended_at: str = ""
    first_s: float | None = None
    longest_pause_s: float = 0.0
    waited_s: float | None = None
    failures: list[str] = attrs.field(factory=list)


@attrs.frozen
class Objectives:
    """When an answer is late.

    :ivar first_s: time to the first part of an answer
    :ivar pause_s: longest pause between two parts
    :ivar queue_s: time until it is placed after which a late request counts as queued
    """

    first_s: float
    pause_s: float
    queue_s: float


def read(lines: collections.abc.Iterable[str]) -> list[Request]:
    """Return the requests that ended, in the order of their ends; unreadable lines are skipped."""
    open_requests: dict[str, Request] = {}
    ended: list[Request] = []
    for line in lines:
        record = _record(line)
        request_id = record.get("request_id")
        if not request_id:
            continue
        request = open_requests.setdefault(request_id, Request())
        match record["name"]:
            case "CALL_PLACED" if request.waited_s is None:
                request.waited_s = record["waited_s"]
            case "CALL_RESENT" | "RETRY_DENIED":
                request.failures.append(record["failure"])
            case "CALL_ENDED":
                del open_requests[request_id]
                request.path, request.status = record["path"], record["status"]
                request.outcome, request.ended_at = record["outcome"], record["time"][:19]
                request.first_s = record["first_s"]
                request.longest_pause_s = record["longest_pause_s"]
                ended.append(request)
    return ended


def cause(request: Request, objectives: Objectives) -> str:
    """Return why a request was not answered in time; empty if it was, or could not be.

    A caller that left or had no right to an answer is not counted.
    """
    if request.status is None or request.outcome == "left" or request.status in (401, 404):
        return ""
    if request.outcome != "answered":
        return f"not answered: {request.outcome.split(':')[0]}"
    if request.first_s is None or request.first_s > objectives.first_s:
        return f"late: {_delay(request, objectives)}"
    if request.longest_pause_s > objectives.pause_s:
        return "late: paused, server lost" if request.failures else "late: paused"
    return ""


def _delay(request: Request, objectives: Objectives) -> str:
    if request.failures:
        return f"sent again ({_without_names(request.failures[0])})"
    if request.waited_s is not None and request.waited_s > objectives.queue_s:
        return "queued at the entry"
    return "slow first event"


def _without_names(failure: str) -> str:
    prefix, separator, rest = failure.partition(": ")
    text = rest if separator and "-" in prefix else failure
    return text.partition("(")[0][:50]


def _record(line: str) -> dict:
    begin = line.find('{"time"')
    if begin < 0:
        return {}
    try:
        return json.loads(line[begin:])
    except ValueError:
        return {}


class LateRequestsCommand(cleo.commands.command.Command):
    """Prints the causes for each prefix of paths, and when they came."""

    name = "late-requests"
    description = "Count late, refused and lost requests of a log by cause."
    arguments = [cleo.helpers.argument("log", "file with the lines of entries")]
    options = [
        cleo.helpers.option(
            "first", None, "objective to the first part, s", flag=False, default="0.3"
        ),
        cleo.helpers.option("pause", None, "objective for pauses, s", flag=False, default="0.2"),
        cleo.helpers.option(
            "queue", None, "wait that counts as queued, s", flag=False, default="0.05"
        ),
        cleo.helpers.option("prefix", None, "only paths that begin so", flag=False, default="/"),
    ]

    def handle(self) -> int:
        """Print a table by prefix and cause, and one by second."""
        objectives = Objectives(*(float(self.option(name)) for name in ("first", "pause", "queue")))
        with pathlib.Path(self.argument("log")).open(errors="replace") as lines:
            requests = [each for each in read(lines) if each.path.startswith(self.option("prefix"))]
        totals = collections.Counter(_prefix(each) for each in requests)
        causes = [(each, text) for each in requests if (text := cause(each, objectives))]
        by_cause = collections.Counter((_prefix(each), text) for each, text in causes)
        for (prefix, text), count in sorted(by_cause.items(), key=lambda item: -item[1]):
            self.line(f"{prefix:20} {count:6} of {totals[prefix]:6}  {text}")
        for second, count in sorted(
            collections.Counter(each.ended_at for each, _ in causes).items()
        ):
            texts = collections.Counter(text for each, text in causes if each.ended_at == second)
            self.line(f"{second} {count:5}  {texts.most_common(3)}")
        return 0


def _prefix(request: Request) -> str:
    return "/".join(request.path.split("/")[: PATH_DEPTH + 1])


if __name__ == "__main__":
    sys.exit(commandline.run(LateRequestsCommand()))
