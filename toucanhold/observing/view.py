"""The latest observation of each backend server, and the conclusions drawn from it."""

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
    """A report of a backend server.

    :ivar asked_at_s: when the report was requested, in seconds of the monotonic clock
    """

    report: client.Report
    asked_at_s: float


@attrs.define(eq=False)
class BackendView:
    """This entry's observations by VM; they are kept in memory only.

    :ivar platform_leaving: VMs that the platform lists as leaving
    """

    platform_leaving: frozenset[str] = frozenset()
    _observations: dict[str, Observation] = attrs.field(factory=dict)
    _failing_since_s: dict[str, float] = attrs.field(factory=dict)
    _refusals: dict[str, int] = attrs.field(factory=dict)
    _silent: set[str] = attrs.field(factory=set)
    _restarted_at_s: dict[str, float] = attrs.field(factory=dict)
    _ended_generations: set[tuple[str, int]] = attrs.field(factory=set)
    _ended_listeners: list[collections.abc.Callable[[str, int], None]] = attrs.field(factory=list)
    _report_listeners: list[collections.abc.Callable[[str], None]] = attrs.field(factory=list)

    def subscribe_ended(self, listener: collections.abc.Callable[[str, int], None]) -> None:
        """Call ``listener`` with group and generation when a generation first becomes ended."""
        self._ended_listeners.append(listener)

    def subscribe(self, listener: collections.abc.Callable[[str], None]) -> None:
        """Call ``listener`` with the VM's name after each change of what is known of the VM.

        That is each report, the first of consecutive failures and the one after which it counts
        as silent, the end of the VM's generation and its removal from the inventory.
        """
        self._report_listeners.append(listener)

    def record_report(self, vm: str, report: client.Report, asked_at_s: float) -> None:
        """Store a report unless one that was requested later, or at the same time, is stored.

        :param asked_at_s: when the report was requested, monotonic clock
        """
        previous = self._observations.get(vm)
        if previous is not None and previous.asked_at_s >= asked_at_s:
            return
        self._failing_since_s.pop(vm, None)
        self._refusals.pop(vm, None)
        self._silent.discard(vm)
        self._observations[vm] = Observation(report, asked_at_s)
        if previous is not None:
            self._detect_departure(previous.report, report)
            if previous.report.boot_id != report.boot_id:
                self._restarted_at_s[vm] = asked_at_s
        if previous is None or _logged_state(previous.report) != _logged_state(report):
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
        self._notify(vm)

    def record_failure(self, vm: str, now_s: float, reason: str) -> None:
        """Record that a backend server did not answer a poll.

        :param reason: for the log
        """
        is_first = vm not in self._failing_since_s
        if is_first:
            self._failing_since_s[vm] = now_s
            events.log(LOGGER, events.Event.BACKEND_LOST, vm=vm, reason=reason)
        turns_silent = vm not in self._silent and self.is_silent(vm, now_s)
        if turns_silent:
            self._silent.add(vm)
        if is_first or turns_silent:
            self._notify(vm)

    def record_refusal(self, vm: str, now_s: float, reason: str) -> None:
        """Record that a backend server's address refused the connection.

        :param reason: for the log
        """
        self._refusals[vm] = self._refusals.get(vm, 0) + 1
        self.record_failure(vm, now_s, reason)

    def remove(self, vm: str) -> None:
        """Remove a VM that is no longer in the inventory."""
        self._observations.pop(vm, None)
        self._failing_since_s.pop(vm, None)
        self._refusals.pop(vm, None)
        self._silent.discard(vm)
        self._restarted_at_s.pop(vm, None)
        self._notify(vm)

    def end_generation(self, group: str, generation: int) -> None:
        """Record that a group lost a member, so that this generation never serves again."""
        if (group, generation) in self._ended_generations:
            return
        self._ended_generations.add((group, generation))
        for listener in self._ended_listeners:
            listener(group, generation)
        for vm, observation in self._observations.items():
            if (observation.report.group, observation.report.generation) == (group, generation):
                self._notify(vm)

    def prune_ended(self, groups: collections.abc.Set[str]) -> None:
        """Keep only the ended generations of ``groups``, the names of planned groups."""
        self._ended_generations = {each for each in self._ended_generations if each[0] in groups}

    def is_ended(self, group: str, generation: int) -> bool:
        """Return whether a member is known to have left this generation."""
        return (group, generation) in self._ended_generations

    def restarted_at_s(self, vm: str) -> float:
        """Return when a VM first reported after its last restart, on the monotonic clock.

        Minus infinity if this entry observed no restart.
        """
        return self._restarted_at_s.get(vm, float("-inf"))

    def observation(self, vm: str) -> Observation | None:
        """Return the latest report regardless of its age, with its time, or None."""
        return self._observations.get(vm)

    def fresh_report(self, vm: str, now_s: float) -> client.Report | None:
        """Return the latest report, or None if it is too old or a poll has failed since."""
        observation = self._observations.get(vm)
        if observation is None or vm in self._failing_since_s:
            return None
        return observation.report if now_s - observation.asked_at_s <= FRESH_S else None

    def is_lost(self, vm: str, now_s: float) -> bool:
        """Return whether a VM has been silent for so long that its group cannot continue."""
        # A short pause must not end a group, because reloading a model costs far more than waiting.
        # A refused connection is not a pause, because a paused process keeps its listening socket.
        # Two refusals in a row rule out the moment in which a process replaces itself.
        return self._is_silent_for(vm, now_s, LOST_AFTER_S)

    def is_silent(self, vm: str, now_s: float) -> bool:
        """Return whether a VM has been silent for so long that requests should go elsewhere."""
        return self._is_silent_for(vm, now_s, SILENT_AFTER_S)

    def _is_silent_for(self, vm: str, now_s: float, limit_s: float) -> bool:
        if self.is_refused(vm):
            return True
        failing_since_s = self._failing_since_s.get(vm)
        return failing_since_s is not None and now_s - failing_since_s >= limit_s

    def is_refused(self, vm: str) -> bool:
        """Return whether a VM's backend server has certainly ended: it refused repeatedly."""
        return self._refusals.get(vm, 0) >= REFUSALS_UNTIL_LOST

    def is_leaving(self, vm: str) -> bool:
        """Return whether a VM is about to leave, by its own report or the platform's list."""
        observation = self._observations.get(vm)
        reports_leaving = observation is not None and observation.report.leaving
        return reports_leaving or vm in self.platform_leaving

    def _detect_departure(self, before: client.Report, now: client.Report) -> None:
        # A member that restarted, or left and rejoined between two plans, has lost the group's
        # state. The group may look complete again, but requests in flight and cached prefixes are
        # lost. The generation therefore ends on this entry at once, whether or not it is planner.
        if before.group is None:
            return
        generation_key = (before.group, before.generation)
        if generation_key != (now.group, now.generation) or before.boot_id != now.boot_id:
            self.end_generation(*generation_key)

    def _notify(self, vm: str) -> None:
        for listener in self._report_listeners:
            listener(vm)


def _logged_state(report: client.Report) -> tuple:
    return (report.boot_id, report.warmth, report.group, report.generation, report.leaving)
