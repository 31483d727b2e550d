"""Composes the status report for operators."""

import collections

import attrs
import trio

from toucanhold.configuration import holder, inventory, rules
from toucanhold.coordination import following
from toucanhold.membership import facts, roster
from toucanhold.observing import view
from toucanhold.operators import messages
from toucanhold.planning import planner
from toucanhold.plans import plan
from toucanhold.routing import candidates


@attrs.define(eq=False)
class StatusComposer:
    """Composes a status report from the state of an entry, without changing it."""

    roster: roster.Roster
    facts: facts.FactTable
    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    finder: candidates.CandidateFinder
    planner: planner.Planner
    follower: following.PrefixFollower

    def compose(self) -> messages.StatusAnswer:
        """Return the current status."""
        serving_groups = self._serving_groups()
        return messages.StatusAnswer(
            entry=self.roster.own.entry,
            configuration=self.configuration.current.number,
            plan_revision=self.plans.revision,
            is_planner=self.planner.planner_lease.is_held(),
            platform_answering=self.follower.is_answering,
            entries=tuple(self._entry_status(member) for member in self.roster.members()),
            services=tuple(self._service_statuses()),
            zones=tuple(self._zone_statuses()),
            groups=tuple(
                messages.GroupStatus(
                    group.group, group.service, group.members, group.group in serving_groups
                )
                for group in sorted(self.plans.groups(), key=lambda group: group.group)
            ),
        )

    def _entry_status(self, member: roster.Member) -> messages.EntryStatus:
        fact = self.facts.get(member.entry)
        configuration_number = -1 if fact is None else fact.configuration
        if member.entry == self.roster.own.entry:
            configuration_number = self.configuration.current.number
        return messages.EntryStatus(
            member.entry,
            member.availability_zone,
            member.callers_address,
            member.state.value,
            configuration_number,
        )

    def _serving_groups(self) -> set[str]:
        now_s = trio.current_time()
        return {
            candidate.group.group
            for service in self.configuration.current.rules.services
            for candidate in self.finder.find(service, now_s)
            if candidate.group is not None
        }

    def _service_statuses(self):
        now_s = trio.current_time()
        planned = collections.Counter(group.service for group in self.plans.groups())
        vms = self.configuration.current.inventory.vms
        for service in self.configuration.current.rules.services:
            serving = len(self.finder.find(service, now_s))
            if service.kind is rules.ServiceKind.MODEL:
                wanted, planned_count = service.replicas, planned[service.name]
            else:
                wanted = planned_count = sum(vm.service == service.name for vm in vms)
            yield messages.ServiceStatus(service.name, wanted, planned_count, serving)

    def _zone_statuses(self):
        by_zone: dict[str, list[inventory.Vm]] = collections.defaultdict(list)
        for vm in self.configuration.current.inventory.vms:
            by_zone[vm.availability_zone].append(vm)
        for zone in self.configuration.current.rules.availability_zones:
            vms = by_zone[zone.name]
            yield messages.ZoneStatus(
                zone.name,
                zone.name in self.configuration.current.zones_out,
                len(vms),
                sum(self._running_requests(vm) for vm in vms),
            )

    def _running_requests(self, vm: inventory.Vm) -> int:
        report = self.view.fresh_report(vm.vm, trio.current_time())
        return report.running if report else 0
