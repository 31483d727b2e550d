"""The latest observation of each backend server."""

import logging

import attrs

from toucanhold import events
from toucanhold.backends import client

FRESH_S = 2.5
LOST_AFTER_S = 2.0

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Observation:
    """One report and when it was asked for, in seconds of the monotonic clock."""

    report: client.Report
    asked_at_s: float


@attrs.define(eq=False)
class View:
    """Observations by VM; never stored, lost freely.

    :ivar platform_leaving: VMs that the platform's list calls leaving
    """

    platform_leaving: frozenset[str] = frozenset()
    _observations: dict[str, Observation] = attrs.field(factory=dict)
    _failing_since_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, vm: str, report: client.Report, asked_at_s: float) -> None:
        """Take in a report unless a later one is known."""
        known = self._observations.get(vm)
        if known is not None and known.asked_at_s >= asked_at_s:
            return
        self._failing_since_s.pop(vm, None)
        self._observations[vm] = Observation(report, asked_at_s)
        if known is None or _identity(known.report) != _identity(report):
            events.log(
                LOGGER,
                events.Event.BACKEND_SEEN,
                vm=vm,
                boot_id=report.boot_id,
                warmth=report.warmth.value,
                group=report.group,
                generation=report.generation,
                leaving=report.leaving,
            )

    def record_failure(self, vm: str, now_s: float, reason: str) -> None:
        """Note that a backend server did not answer."""
        if vm not in self._failing_since_s:
            self._failing_since_s[vm] = now_s
            events.log(LOGGER, events.Event.BACKEND_LOST, vm=vm, reason=reason)

    def forget(self, vm: str) -> None:
        """Drop a VM that is no longer in the inventory."""
        self._observations.pop(vm, None)
        self._failing_since_s.pop(vm, None)

    def fresh_report(self, vm: str, now_s: float) -> client.Report | None:
        """Return a report that still counts, or None."""
        observation = self._observations.get(vm)
        if observation is None or vm in self._failing_since_s:
            return None
        return observation.report if now_s - observation.asked_at_s <= FRESH_S else None

    def report_age_s(self, vm: str, now_s: float) -> float:
        """Return the age of the latest report; infinite without one."""
        observation = self._observations.get(vm)
        return now_s - observation.asked_at_s if observation else float("inf")

    def is_lost(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM has been silent so long that its group cannot go on."""
        # A short pause must not tear a group apart: reloading a model costs far more than waiting.
        since_s = self._failing_since_s.get(vm)
        return since_s is not None and now_s - since_s >= LOST_AFTER_S

    def is_leaving(self, vm: str) -> bool:
        """Tell whether a VM is about to go, by the earliest of all signals."""
        observation = self._observations.get(vm)
        reported = observation is not None and observation.report.leaving
        return reported or vm in self.platform_leaving


def _identity(report: client.Report) -> tuple:
    return (report.boot_id, report.warmth, report.group, report.generation, report.leaving)
