"""Whether a backend server died, and whether the requests it ran can be the reason."""

import collections
import collections.abc

import attrs
import trio

from toucanhold.observing import view
from toucanhold.plans import plan

CHECK_INTERVAL_S = 0.1
VERDICT_LIMIT_S = 4.0
# Deaths at the same moment show with the next poll of each server, which may time out.
SETTLE_S = 1.6
ALIVE_AFTER_S = 0.3
SAME_MOMENT_S = 2.0
MANY_OTHERS = 2
KEPT_DEATHS = 4096


@attrs.frozen
class Boot:
    """One life of a backend server, and the group that it served in."""

    vm: str
    boot_id: str
    group: plan.Group | None = None


@attrs.frozen
class _Death:
    vm: str
    at_s: float


@attrs.define(eq=False)
class DeathWatch:
    """Judges by the reports that come after a connection was lost."""

    view: view.View
    plans: plan.PlanHolder
    _boots: dict[str, str] = attrs.field(factory=dict, init=False)
    _down: set[str] = attrs.field(factory=set, init=False)
    _deaths: collections.deque[_Death] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_DEATHS), init=False
    )

    def __attrs_post_init__(self) -> None:
        """Follow the reports."""
        self.view.subscribe(self._take_in)

    async def has_died(
        self, boot: Boot, lost_at_s: float, carriers: collections.abc.Callable[[], set[str]]
    ) -> bool:
        """Tell whether a boot ended when a connection to it was lost, for a reason of its own.

        :param carriers: returns the VMs that died with the same request in flight
        """
        while trio.current_time() < lost_at_s + VERDICT_LIMIT_S:
            if self._has_ended(boot):
                await trio.sleep_until(max(trio.current_time(), lost_at_s + SETTLE_S))
                return not self._is_common(boot, lost_at_s, carriers())
            if self._is_alive(boot, lost_at_s):
                return False
            await trio.sleep(CHECK_INTERVAL_S)
        return False

    def _has_ended(self, boot: Boot) -> bool:
        if boot.group is not None and self.view.is_ended(boot.group.group, boot.group.generation):
            return True
        observation = self.view.observation(boot.vm)
        booted_again = observation is not None and observation.report.boot_id != boot.boot_id
        return booted_again or self.view.is_lost(boot.vm, trio.current_time())

    def _is_alive(self, boot: Boot, lost_at_s: float) -> bool:
        observation = self.view.observation(boot.vm)
        if observation is None or observation.asked_at_s < lost_at_s + ALIVE_AFTER_S:
            return False
        return self.view.fresh_report(boot.vm, trio.current_time()) is not None

    def _is_common(self, boot: Boot, lost_at_s: float, carriers: set[str]) -> bool:
        # A fabric domain that goes dark or a zone that loses power ends many servers at once, each
        # with innocent requests in flight. A request can only be blamed for servers that ran it.
        units = self._units()
        own = {units.get(vm, vm) for vm in {boot.vm} | carriers}
        others = {
            units.get(death.vm, death.vm)
            for death in self._deaths
            if abs(death.at_s - lost_at_s) <= SAME_MOMENT_S
        }
        return len(others - own) >= MANY_OTHERS

    def _units(self) -> dict[str, str]:
        return {vm: group.group for group in self.plans.groups() for vm in group.members}

    def _take_in(self, vm: str) -> None:
        now_s = trio.current_time()
        observation = self.view.observation(vm)
        if observation is None:
            self._boots.pop(vm, None)
            return
        boot_id = observation.report.boot_id
        if self._boots.get(vm, boot_id) != boot_id and vm not in self._down:
            self._deaths.append(_Death(vm, now_s))
        self._boots[vm] = boot_id
        if self.view.fresh_report(vm, now_s) is not None:
            self._down.discard(vm)
        elif vm not in self._down:
            self._down.add(vm)
            self._deaths.append(_Death(vm, now_s))
