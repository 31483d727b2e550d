"""Keeps the slow servers that entries report to each other."""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.gateway import speed_samples

# A report counts for less with its age and expires after this time. Entries pass reports on with
# their age, so that no report lives longer by being repeated.
VALIDITY_S = 1.5
# A report that is newer by less is the same one, heard again from another entry. The time that a
# datagram takes is not part of the age.
ECHO_TOLERANCE_S = 0.1
MAX_SERVERS = 4096


@attrs.frozen
class SlowServer:
    """A slow server, as entries report it to each other.

    :ivar born_ms: start of the server's process
    :ivar slowdown: how many times as long as usual it takes; 1 if it is no longer slow
    :ivar age_s: time since the last sample of the entry that observed it
    """

    server_id: str
    born_ms: int
    slowdown: float
    age_s: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """See :attr:`servers.Server.incarnation`."""
        return self.server_id, self.born_ms

    @property
    def is_valid(self) -> bool:
        """Whether the numbers are within their bounds."""
        return 1 <= self.slowdown <= speed_samples.MAX_SLOWDOWN and 0 <= self.age_s < math.inf


@attrs.frozen
class _Report:
    log_slowdown: float
    observed_s: float


@attrs.define(eq=False)
class ReportTable:
    """Reports of other entries by server process."""

    _reports: dict[tuple[str, int], _Report] = attrs.field(factory=dict, init=False)

    def merge(self, reported: SlowServer) -> None:
        """Process a report.

        A newer slowdown moves the known one halfway, in case it is wrong. A server that is no
        longer slow is so at once.
        """
        now_s = trio.current_time()
        observed_s = now_s - reported.age_s
        incarnation = reported.incarnation
        known = self._reports.get(incarnation)
        if reported.age_s >= VALIDITY_S:
            return
        if known is not None and observed_s < known.observed_s + ECHO_TOLERANCE_S:
            return
        log_slowdown = math.log(reported.slowdown)
        if log_slowdown > 0 and known is not None and now_s - known.observed_s < VALIDITY_S:
            log_slowdown = (log_slowdown + known.log_slowdown) / 2
        self._reports.pop(incarnation, None)
        if len(self._reports) >= MAX_SERVERS:
            del self._reports[next(iter(self._reports))]
        self._reports[incarnation] = _Report(log_slowdown, observed_s)

    def find(self, incarnation: tuple[str, int]) -> speed_samples.Estimate:
        """Return what other entries report; the weight falls from 1 to 0 with the report's age."""
        report = self._reports.get(incarnation)
        if report is None:
            return speed_samples.Estimate()
        age_s = trio.current_time() - report.observed_s
        if age_s >= VALIDITY_S:
            del self._reports[incarnation]
            return speed_samples.Estimate()
        return speed_samples.Estimate(report.log_slowdown, 1 - age_s / VALIDITY_S)

    def age_s(self, incarnation: tuple[str, int]) -> float:
        """Return the time since the reported observation; infinity without a report."""
        report = self._reports.get(incarnation)
        return trio.current_time() - report.observed_s if report is not None else math.inf

    def incarnations(self) -> set[tuple[str, int]]:
        """Return the server processes with reports that have not expired."""
        return {each for each in list(self._reports) if self.find(each).weight}

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone."""
        for incarnation in [each for each in self._reports if not is_known(each)]:
            del self._reports[incarnation]
