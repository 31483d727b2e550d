"""Collects the inputs of a placement decision."""

import attrs
import trio

from toucanhold.configuration import holder, inventory
from toucanhold.observing import view
from toucanhold.planning import placement
from toucanhold.plans import plan

GENERATIONS_PER_TERM = 1 << 16
UNSTABLE_AFTER_RESTART_S = 60.0


@attrs.define(eq=False)
class PlacementInputBuilder:
    """Builds placement inputs from configuration, plan and observations.

    It also tracks since when the set of usable VMs has been unchanged.
    """

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    _usable_vms: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _usable_since_s: float = attrs.field(default=float("-inf"), init=False)

    def build(self, fencing: int) -> placement.PlacementInput:
        """Return the current inputs.

        :param fencing: the planner's fencing number; 0 where no plan is written from the result
        """
        now_s = trio.current_time()
        vms = self.configuration.current.inventory.vms
        plans = {each.plan.domain: each.plan for each in self.plans.domains()}
        observations = {vm.vm: self.view.observation(vm.vm) for vm in vms}
        reports = {name: each.report for name, each in observations.items() if each is not None}
        usable = frozenset(vm.vm for vm in vms if self._is_usable(vm, now_s))
        if usable != self._usable_vms:
            self._usable_vms, self._usable_since_s = usable, now_s
        return placement.PlacementInput(
            configuration=self.configuration.current,
            plans=plans,
            usable_vms=usable,
            lost_vms=frozenset(vm.vm for vm in vms if self._is_lost(vm, now_s)),
            reports=reports,
            ended_generations=frozenset(
                group.generation_key
                for group in self.plans.groups()
                if self.view.is_ended(*group.generation_key)
            ),
            complete_generations=frozenset(
                group.generation_key
                for group in self.plans.groups()
                if self.is_complete(group, now_s)
            ),
            generation_floor=generation_floor(fencing, reports.values()),
            substitutes=self._substitutes(),
            unstable_vms=frozenset(
                vm.vm
                for vm in vms
                if now_s - self.view.restarted_at_s(vm.vm) < UNSTABLE_AFTER_RESTART_S
            ),
            settled_s=now_s - self._usable_since_s,
        )

    def _substitutes(self) -> dict[tuple[str, int], plan.Group]:
        substitutes = {}
        for versioned in self.plans.domains():
            for group in versioned.plan.groups:
                substitute = self.plans.substitute_of(group)
                if substitute is not None:
                    substitutes[group.generation_key] = substitute
        return substitutes

    def is_complete(self, group: plan.Group, now_s: float) -> bool:
        """Return whether a fresh report of each member shows that it has joined this generation.

        :param now_s: monotonic clock
        """
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
    """Return an upper bound of all generation numbers used so far.

    :param fencing: the planner's fencing number, a revision of the store
    :param reports: reports of engines, an iterable of :class:`client.Report`
    """
    # The plan record holds the last generation, but the record can be lost or emptied, and if a
    # generation were used twice, members of the old group would count as members of the new one.
    # The store's revisions never decrease, so each planner starts in a range of its own. The
    # generations that engines still report cover the case that the store itself was emptied.
    highest_reported = max((report.generation for report in reports), default=0)
    return max(fencing * GENERATIONS_PER_TERM, highest_reported)
