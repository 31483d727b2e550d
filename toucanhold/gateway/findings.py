"""Servers that entries found silent, and for how long they tell each other."""

from __future__ import annotations

import attrs
import trio

# Covers three notices: one lost datagram must not cost the finding.
REPEAT_PERIOD_S = 0.5
# A finding is acted on once in this time, however many entries repeat it.
DEDUPLICATION_S = 1.0


@attrs.frozen
class _SilenceReport:
    entry: str
    reported_s: float
    is_local: bool


@attrs.define(eq=False)
class SilenceReports:
    """What this entry found, and what it received."""

    _reports: dict[str, _SilenceReport] = attrs.field(factory=dict, init=False)

    def record(self, server_id: str, entry: str, is_local: bool) -> bool:
        """Take in a finding.

        :param is_local: whether it comes from this entry or one that reports to it
        :return: whether it is new
        """
        now_s = trio.current_time()
        previous = self._reports.get(server_id)
        if previous is not None and now_s - previous.reported_s < DEDUPLICATION_S:
            return False
        self._reports[server_id] = _SilenceReport(entry, now_s, is_local)
        return True

    def local(self) -> dict[str, str]:
        """Return what to pass up, and to other zones."""
        return {
            server_id: report.entry
            for server_id, report in self._recent().items()
            if report.is_local
        }

    def all(self) -> dict[str, str]:
        """Return what to pass down."""
        return {server_id: report.entry for server_id, report in self._recent().items()}

    def _recent(self) -> dict[str, _SilenceReport]:
        now_s = trio.current_time()
        self._reports = {
            server_id: report
            for server_id, report in self._reports.items()
            if now_s - report.reported_s < DEDUPLICATION_S
        }
        return {
            server_id: report
            for server_id, report in self._reports.items()
            if now_s - report.reported_s < REPEAT_PERIOD_S
        }
