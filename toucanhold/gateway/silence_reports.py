"""Deduplicates and relays reports of backend servers that have stopped sending events."""

from __future__ import annotations

import attrs
import trio

# Covers three notices, so that a report survives the loss of one datagram.
REPEAT_PERIOD_S = 0.5
# A server's reports are acted on once in this period, however many entries repeat them.
DEDUPLICATION_S = 1.0


@attrs.frozen
class _SilenceReport:
    """A silent server, with the name of the entry that detected it."""

    entry: str
    reported_s: float
    is_local: bool


@attrs.define(eq=False)
class SilenceReports:
    """Silent servers that this entry detected or that other entries reported."""

    _reports: dict[str, _SilenceReport] = attrs.field(factory=dict, init=False)

    def record(self, server_id: str, entry: str, is_local: bool) -> bool:
        """Record that a server is silent.

        :param entry: name of the entry that detected it
        :param is_local: whether that is this entry or one that reports to it
        :return: False if the server was already reported within ``DEDUPLICATION_S``
        """
        now_s = trio.current_time()
        previous = self._reports.get(server_id)
        if previous is not None and now_s - previous.reported_s < DEDUPLICATION_S:
            return False
        self._reports[server_id] = _SilenceReport(entry, now_s, is_local)
        return True

    def local(self) -> dict[str, str]:
        """Return the recent local reports, for aggregators here and in other zones.

        :return: server ID to the name of the entry that detected it
        """
        return {
            server_id: report.entry
            for server_id, report in self._recent().items()
            if report.is_local
        }

    def all(self) -> dict[str, str]:
        """Return all recent reports, for entries that report to this one.

        :return: server ID to the name of the entry that detected it
        """
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
