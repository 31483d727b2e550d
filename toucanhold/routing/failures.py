"""Detects failed backend servers and whether a request that they ran can be the cause."""

import collections
import collections.abc

import attrs
import trio

from toucanhold.observing import view
from toucanhold.plans import plan

CHECK_INTERVAL_S = 0.1
VERDICT_TIMEOUT_S = 4.0
# Simultaneous failures are detected by the next poll of each server, which may time out.
CORRELATION_DELAY_S = 1.6
MIN_REPORT_DELAY_S = 0.3
CORRELATION_WINDOW_S = 2.0
MIN_CORRELATED_FAILURES = 2
MAX_RECORDED_FAILURES = 4096


@attrs.frozen
class Boot:
    """One process lifetime of a backend server, and the group that it served in."""

    vm: str
    boot_id: str
    group: plan.Group | None = None


@attrs.frozen
class _Failure:
    """The failure of one VM and the monotonic time at which it was detected."""

    vm: str
    detected_at_s: float


@attrs.define(eq=False)
class FailureDetector:
    """Decides by the reports after a lost connection whether the backend server failed."""

    view: view.BackendView
    plans: plan.PlanHolder
    _boots: dict[str, str] = attrs.field(factory=dict, init=False)
    _unreachable: set[str] = attrs.field(factory=set, init=False)
    _failures: collections.deque[_Failure] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECORDED_FAILURES), init=False
    )

    def __attrs_post_init__(self) -> None:
        """Subscribe to the reports."""
        self.view.subscribe(self._on_report)

    async def has_failed(
        self, boot: Boot, lost_at_s: float, vms_with_request: collections.abc.Callable[[], set[str]]
    ) -> bool:
        """Return whether a backend server failed alone when a connection to it was lost.

        False if it is alive, if other servers failed at the same time, or if nothing is known
        after ``VERDICT_TIMEOUT_S``.

        :param lost_at_s: monotonic time at which the connection was lost
        :param vms_with_request: returns the VMs that failed with the same request in flight
        """
        while trio.current_time() < lost_at_s + VERDICT_TIMEOUT_S:
            if self._has_boot_ended(boot):
                await trio.sleep_until(max(trio.current_time(), lost_at_s + CORRELATION_DELAY_S))
                return not self._is_correlated(boot, lost_at_s, vms_with_request())
            if self._is_alive(boot, lost_at_s):
                return False
            await trio.sleep(CHECK_INTERVAL_S)
        return False

    def _has_boot_ended(self, boot: Boot) -> bool:
        if boot.group is not None and self.view.is_ended(boot.group.group, boot.group.generation):
            return True
        observation = self.view.observation(boot.vm)
        has_rebooted = observation is not None and observation.report.boot_id != boot.boot_id
        return has_rebooted or self.view.is_lost(boot.vm, trio.current_time())

    def _is_alive(self, boot: Boot, lost_at_s: float) -> bool:
        observation = self.view.observation(boot.vm)
        if observation is None or observation.asked_at_s < lost_at_s + MIN_REPORT_DELAY_S:
            return False
        return self.view.fresh_report(boot.vm, trio.current_time()) is not None

    def _is_correlated(self, boot: Boot, lost_at_s: float, vms_with_request: set[str]) -> bool:
        # When a fabric domain or an availability zone fails, many servers fail at once, each with
        # unrelated requests in flight. A request can only have crashed servers that ran it.
        groups_by_vm = self._groups_by_vm()
        own_units = {groups_by_vm.get(vm, vm) for vm in {boot.vm} | vms_with_request}
        other_units = {
            groups_by_vm.get(failure.vm, failure.vm)
            for failure in self._failures
            if abs(failure.detected_at_s - lost_at_s) <= CORRELATION_WINDOW_S
        }
        return len(other_units - own_units) >= MIN_CORRELATED_FAILURES

    def _groups_by_vm(self) -> dict[str, str]:
        return {vm: group.group for group in self.plans.groups() for vm in group.members}

    def _on_report(self, vm: str) -> None:
        now_s = trio.current_time()
        observation = self.view.observation(vm)
        if observation is None:
            self._boots.pop(vm, None)
            return
        boot_id = observation.report.boot_id
        if self._boots.get(vm, boot_id) != boot_id and vm not in self._unreachable:
            self._failures.append(_Failure(vm, now_s))
        self._boots[vm] = boot_id
        if self.view.fresh_report(vm, now_s) is not None:
            self._unreachable.discard(vm)
        elif vm not in self._unreachable:
            self._unreachable.add(vm)
            self._failures.append(_Failure(vm, now_s))
