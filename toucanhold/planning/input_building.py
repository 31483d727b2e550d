"""Gathers the facts that a placement rests on."""

import attrs
import trio

from toucanhold.configuration import holder, inventory
from toucanhold.observing import view
from toucanhold.planning import placement
from toucanhold.plans import plan

GENERATIONS_PER_TERM = 1 << 16
UNSTABLE_S = 60.0


@attrs.define(eq=False)
class PlacementInputBuilder:
    """Reads configuration, plan and view; remembers since when the same VMs are usable."""

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.View
    _usable: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _usable_since_s: float = attrs.field(default=float("-inf"), init=False)

    def build(self, fencing: int) -> placement.PlacementInput:
        """Return the facts now.

        :param fencing: the planner's fencing number
        """
        now_s = trio.current_time()
        vms = self.configuration.current.inventory.vms
        plans = {each.plan.domain: each.plan for each in self.plans.domains()}
        seen = {vm.vm: self.view.observation(vm.vm) for vm in vms}
        reports = {name: each.report for name, each in seen.items() if each is not None}
        usable = frozenset(vm.vm for vm in vms if self._is_usable(vm, now_s))
        if usable != self._usable:
            self._usable, self._usable_since_s = usable, now_s
        return placement.PlacementInput(
            configuration=self.configuration.current,
            plans=plans,
            usable=usable,
            lost=frozenset(vm.vm for vm in vms if self._is_lost(vm, now_s)),
            reports=reports,
            ended=frozenset(
                group.generation_key
                for group in self.plans.groups()
                if self.view.is_ended(*group.generation_key)
            ),
            whole=frozenset(
                group.generation_key
                for group in self.plans.groups()
                if self.is_complete(group, now_s)
            ),
            generation_floor=generation_floor(fencing, reports.values()),
            substitutes=self._substitutes(),
            unstable=frozenset(
                vm.vm for vm in vms if now_s - self.view.restarted_at_s(vm.vm) < UNSTABLE_S
            ),
            settled_s=now_s - self._usable_since_s,
        )

    def _substitutes(self) -> dict[tuple[str, int], plan.Group]:
        known = {}
        for versioned in self.plans.domains():
            for group in versioned.plan.groups:
                substitute = self.plans.substitute_of(group)
                if substitute is not None:
                    known[group.generation_key] = substitute
        return known

    def is_complete(self, group: plan.Group, now_s: float) -> bool:
        """Tell whether all members say, freshly, that they have joined."""
        for member in group.members:
            report = self.view.fresh_report(member, now_s)
            if report is None or (report.group, report.generation) != group.generation_key:
                return False
            if not group.expects_boot(member, report.boot_id):
                return False
        return not self.view.is_ended(*group.generation_key)

    def _is_usable(self, vm: inventory.Vm, now_s: float) -> bool:
        return (
            vm.availability_zone not in self.configuration.current.zones_out
            and self.view.observation(vm.vm) is not None
            and not self._is_lost(vm, now_s)
        )

    def _is_lost(self, vm: inventory.Vm, now_s: float) -> bool:
        return self.view.is_lost(vm.vm, now_s) or self.view.is_leaving(vm.vm)


def generation_floor(fencing: int, reports) -> int:
    """Return a number that no generation given out so far exceeds.

    :param fencing: the planner's fencing number, a revision of the store
    :param reports: reports of engines
    """
    # The plan record tells the last generation, but it can be lost or emptied, and a generation
    # used twice would let members of the old group count for the new one. The store's revisions
    # never go back, so each planner starts in a range of its own; what engines still report
    # covers a store that was itself emptied.
    reported = max((report.generation for report in reports), default=0)
    return max(fencing * GENERATIONS_PER_TERM, reported)
