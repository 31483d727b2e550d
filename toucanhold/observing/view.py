"""The latest observation of each backend server."""

import collections.abc
import logging

import attrs

from toucanhold import events
from toucanhold.backends import client

FRESH_S = 2.5
SILENT_AFTER_S = 2.0
LOST_AFTER_S = 5.0
REFUSALS_UNTIL_LOST = 2

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
    _refusals: dict[str, int] = attrs.field(factory=dict)
    _restarted_at_s: dict[str, float] = attrs.field(factory=dict)
    _ended: set[tuple[str, int]] = attrs.field(factory=set)
    _ended_listeners: list[collections.abc.Callable[[str, int], None]] = attrs.field(factory=list)
    _listeners: list[collections.abc.Callable[[str], None]] = attrs.field(factory=list)

    def subscribe_ended(self, listener: collections.abc.Callable[[str, int], None]) -> None:
        """Call ``listener`` with group and generation when a generation is seen to end."""
        self._ended_listeners.append(listener)

    def subscribe(self, listener: collections.abc.Callable[[str], None]) -> None:
        """Call ``listener`` with the VM's name after each report and each loss."""
        self._listeners.append(listener)

    def record(self, vm: str, report: client.Report, asked_at_s: float) -> None:
        """Take in a report unless a later one is known."""
        known = self._observations.get(vm)
        if known is not None and known.asked_at_s >= asked_at_s:
            return
        self._failing_since_s.pop(vm, None)
        self._refusals.pop(vm, None)
        self._observations[vm] = Observation(report, asked_at_s)
        if known is not None:
            self._note_departure(known.report, report)
            if known.report.boot_id != report.boot_id:
                self._restarted_at_s[vm] = asked_at_s
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
        self._tell(vm)

    def record_failure(self, vm: str, now_s: float, reason: str) -> None:
        """Note that a backend server did not answer."""
        if vm not in self._failing_since_s:
            self._failing_since_s[vm] = now_s
            events.log(LOGGER, events.Event.BACKEND_LOST, vm=vm, reason=reason)
            self._tell(vm)

    def record_refusal(self, vm: str, now_s: float, reason: str) -> None:
        """Note that nothing listens at a backend server's address."""
        self._refusals[vm] = self._refusals.get(vm, 0) + 1
        self.record_failure(vm, now_s, reason)

    def forget(self, vm: str) -> None:
        """Drop a VM that is no longer in the inventory."""
        self._observations.pop(vm, None)
        self._failing_since_s.pop(vm, None)
        self._refusals.pop(vm, None)
        self._restarted_at_s.pop(vm, None)
        self._tell(vm)

    def end_generation(self, group: str, generation: int) -> None:
        """Note that a group lost a member: this generation never serves again."""
        if (group, generation) in self._ended:
            return
        self._ended.add((group, generation))
        for listener in self._ended_listeners:
            listener(group, generation)
        for vm, seen in self._observations.items():
            if (seen.report.group, seen.report.generation) == (group, generation):
                self._tell(vm)

    def keep_ended(self, groups: collections.abc.Set[str]) -> None:
        """Forget ended generations of groups that are no longer planned."""
        self._ended = {each for each in self._ended if each[0] in groups}

    def is_ended(self, group: str, generation: int) -> bool:
        """Tell whether a member was seen to leave this generation."""
        return (group, generation) in self._ended

    def restarted_at_s(self, vm: str) -> float:
        """Return when a VM was first seen after its last restart; minus infinity if never."""
        return self._restarted_at_s.get(vm, float("-inf"))

    def observation(self, vm: str) -> Observation | None:
        """Return the latest report, however old, with its time."""
        return self._observations.get(vm)

    def fresh_report(self, vm: str, now_s: float) -> client.Report | None:
        """Return a report that still counts, or None."""
        observation = self._observations.get(vm)
        if observation is None or vm in self._failing_since_s:
            return None
        return observation.report if now_s - observation.asked_at_s <= FRESH_S else None

    def is_lost(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM has been silent so long that its group cannot go on."""
        # A short pause must not tear a group apart: reloading a model costs far more than waiting.
        # A refused connection is no pause: a paused process still has its listening socket. Two
        # in a row rule out the moment in which a process replaces itself.
        return self._is_silent_for(vm, now_s, LOST_AFTER_S)

    def is_silent(self, vm: str, now_s: float) -> bool:
        """Tell whether a VM has been silent so long that requests are better tried elsewhere."""
        return self._is_silent_for(vm, now_s, SILENT_AFTER_S)

    def _is_silent_for(self, vm: str, now_s: float, limit_s: float) -> bool:
        if self.is_refused(vm):
            return True
        since_s = self._failing_since_s.get(vm)
        return since_s is not None and now_s - since_s >= limit_s

    def is_refused(self, vm: str) -> bool:
        """Tell whether a VM's backend server has certainly ended."""
        return self._refusals.get(vm, 0) >= REFUSALS_UNTIL_LOST

    def is_leaving(self, vm: str) -> bool:
        """Tell whether a VM is about to go, by the earliest of all signals."""
        observation = self._observations.get(vm)
        reported = observation is not None and observation.report.leaving
        return reported or vm in self.platform_leaving

    def _note_departure(self, before: client.Report, now: client.Report) -> None:
        # A member that restarted, or left and came back between two plans, has lost the group's
        # state. Its group and generation may look whole again, but requests in flight and cached
        # prefixes are gone; so the generation is over on this entry at once, planner or not.
        if before.group is None:
            return
        generation_key = (before.group, before.generation)
        if generation_key != (now.group, now.generation) or before.boot_id != now.boot_id:
            self.end_generation(*generation_key)

    def _tell(self, vm: str) -> None:
        for listener in self._listeners:
            listener(vm)


def _identity(report: client.Report) -> tuple:
    return (report.boot_id, report.warmth, report.group, report.generation, report.leaving)
