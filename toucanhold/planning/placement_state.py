"""The working state of a placement: which groups go on, which VMs are free."""

from __future__ import annotations

import collections
import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import inventory, rules
from toucanhold.planning import placement
from toucanhold.plans import plan


@attrs.define(eq=False)
class PlacementState:
    """Groups and free VMs while a placement is being decided.

    :ivar groups: groups that go on, by fabric domain
    :ivar parked: groups in availability zones that are out: kept, but not counted as serving
    :ivar free: usable VMs outside any group, by fabric domain
    :ivar survivors: members of groups that lost a member; they leave at once
    :ivar drainable_zones: availability zones that operators may take out on a hot day
    :ivar domains_by_zone: fabric domains by the availability zone of their first VM
    """

    inputs: placement.PlacementInput
    services: dict[str, rules.Service]
    groups: dict[str, list[plan.Group]] = attrs.field(factory=dict)
    parked: dict[str, list[plan.Group]] = attrs.field(factory=dict)
    free: dict[str, list[inventory.Vm]] = attrs.field(factory=dict)
    _generations: dict[str, int] = attrs.field(factory=dict)
    _by_service: dict[str, list[plan.Group]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _zone_counts: dict[str, collections.Counter[str]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    survivors: set[str] = attrs.field(factory=set)
    drainable_zones: frozenset[str] = frozenset()
    domains_by_zone: dict[str, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def active(self, service: str) -> list[plan.Group]:
        """Return a service's groups, without parked ones."""
        return self._by_service[service]

    def count_in_zone(self, service: str, zone: str) -> int:
        """Return the number of a service's groups in an availability zone."""
        return self._zone_counts[service][zone]

    def zone_of(self, group: plan.Group) -> str:
        """Return the availability zone of a group's first member."""
        vm = self.inputs.vms.get(group.members[0])
        return vm.availability_zone if vm else ""

    def fitting(self, service: rules.Service, domain: str) -> list[inventory.Vm]:
        """Return a domain's free VMs that suit a service."""
        needed = service.accelerators_per_vm
        return [vm for vm in self.free.get(domain, ()) if vm.accelerators >= needed]

    def has_weights(self, vm: inventory.Vm, service: rules.Service) -> bool:
        """Tell whether a VM holds the service's model already."""
        report = self.inputs.reports.get(vm.vm)
        return report is not None and holds(report, service)

    def is_busy(self, vm: inventory.Vm) -> bool:
        """Tell whether a VM has yet to finish requests or a load before it can join."""
        report = self.inputs.reports.get(vm.vm)
        if report is None or vm.vm in self.survivors:
            return False
        return report.loading or report.running + report.waiting > 0

    def pick(self, service: rules.Service, domain: str) -> list[inventory.Vm]:
        """Return the VMs that a new group in ``domain`` would get; empty where it has no room."""
        options = self.fitting(service, domain)
        if len(options) < service.vms_per_replica:
            return []
        # The smallest that suffice, so that VMs with many accelerators stay for those who need
        # them; among equals those that hold the model already.
        options.sort(
            key=lambda vm: (
                self.is_busy(vm),
                vm.vm in self.inputs.unstable,
                vm.accelerators,
                not self.has_weights(vm, service),
                vm.vm,
            )
        )
        return options[: service.vms_per_replica]

    def form(self, service: rules.Service, domain: str) -> plan.Group:
        """Add a group of ``service``; the domain must have room."""
        members = self.pick(service, domain)
        for vm in members:
            self.free[domain].remove(vm)
        last = max(self._generations.get(domain, 0), self.inputs.generation_floor)
        # The numbers up to the next group's are those of its substitutes, one for each member.
        self._generations[domain] = last + 1 + len(members)
        group = placement.new_group(domain, last + 1, service, members, self.inputs)
        self.add(domain, group)
        return group

    def add(self, domain: str, group: plan.Group) -> None:
        """Keep a group."""
        self.groups.setdefault(domain, []).append(group)
        self._by_service[group.service].append(group)
        self._zone_counts[group.service][self.zone_of(group)] += 1

    def end(self, group: plan.Group) -> None:
        """End a group; its usable members are free."""
        domain = self.inputs.vms[group.members[0]].fabric_domain
        self.groups[domain].remove(group)
        self._by_service[group.service].remove(group)
        self._zone_counts[group.service][self.zone_of(group)] -= 1
        for member in group.members:
            if member in self.inputs.usable:
                self.free.setdefault(domain, []).append(self.inputs.vms[member])

    def assign_spares(self) -> None:
        """Record for each group which free VM may take a lost member's place, if there is one."""
        for domain, groups in self.groups.items():
            free = {vm.vm: vm for vm in self.free.get(domain, ()) if self._may_be_spare(vm)}
            groups.sort(key=lambda group: -self.services[group.service].importance)
            for index, group in enumerate(groups):
                spare = self._spare_for(group, free)
                free.pop(spare, None)
                boot = self.inputs.reports[spare].boot_id if spare else ""
                groups[index] = attrs.evolve(group, spare=spare, spare_boot=boot)

    def _spare_for(self, group: plan.Group, free: dict[str, inventory.Vm]) -> str:
        members = (self.inputs.vms[member] for member in group.members)
        if any(vm.fencing is not inventory.Fencing.CHECKED for vm in members):
            return ""
        needed = self.services[group.service].accelerators_per_vm
        suited = [vm for vm in free.values() if vm.accelerators >= needed]
        # The recorded spare stays while it can: another would cost a write.
        suited.sort(key=lambda vm: (vm.vm != group.spare, vm.accelerators, vm.vm))
        return suited[0].vm if suited else ""

    def _may_be_spare(self, vm: inventory.Vm) -> bool:
        report = self.inputs.reports.get(vm.vm)
        checked = vm.fencing is inventory.Fencing.CHECKED
        return checked and report is not None and report.group is None and not report.loading

    def changed_plans(self) -> tuple[plan.DomainPlan, ...]:
        """Return the plans that differ from the present ones."""
        changed = []
        for domain in self.inputs.plans.keys() | self.groups.keys():
            old = self.inputs.plans.get(domain) or plan.DomainPlan(domain)
            kept = {group.generation_key: group for group in self.parked.get(domain, ())}
            kept |= {group.generation_key: group for group in self.groups.get(domain, ())}
            groups = [
                kept.pop(group.generation_key)
                for group in old.groups
                if group.generation_key in kept
            ]
            groups += kept.values()
            if tuple(groups) != old.groups:
                last = max(self._generations.get(domain, 0), old.last_generation)
                changed.append(attrs.evolve(old, groups=tuple(groups), last_generation=last))
        return tuple(sorted(changed, key=lambda each: each.domain))


def from_inputs(inputs: placement.PlacementInput) -> PlacementState:
    """Return a board with every group that can go on."""
    services = {each.name: each for each in placement.model_services(inputs.configuration)}
    zones = inputs.configuration.rules.availability_zones
    drainable = frozenset(zone.name for zone in zones if zone.drainable)
    state = PlacementState(inputs, services, drainable_zones=drainable)
    for domain, old in inputs.plans.items():
        state._generations[domain] = old.last_generation
        for group in old.groups:
            service = services.get(group.service)
            if service is None or len(group.members) != service.vms_per_replica:
                continue
            substitute = inputs.substitutes.get(group.generation_key)
            if substitute is not None and not inputs.is_broken(substitute):
                formed = substitute.generation_key in inputs.whole
                state.add(domain, attrs.evolve(substitute, formed=formed))
                continue
            if inputs.is_broken(group):
                state.survivors.update(group.members)
                continue
            if any(placement.is_out(member, inputs) for member in group.members):
                if placement.is_current(group, service) and _all_known(group, inputs):
                    state.parked.setdefault(domain, []).append(group)
                continue
            state.add(domain, group)
    _list_free(state)
    return state


def holds(report: client.Report, service: rules.Service) -> bool:
    """Tell whether an engine has a service's model and version."""
    return (report.model, report.version) == (service.model, service.version)


def _all_known(group: plan.Group, inputs: placement.PlacementInput) -> bool:
    return all(member in inputs.vms for member in group.members)


def _list_free(state: PlacementState) -> None:
    taken = {
        member
        for by_domain in (state.groups, state.parked)
        for groups in by_domain.values()
        for group in groups
        for member in group.members
    }
    seen: set[str] = set()
    for vm in state.inputs.configuration.inventory.vms:
        if vm.kind is not inventory.VmKind.ENGINE:
            continue
        if vm.fabric_domain not in seen:
            seen.add(vm.fabric_domain)
            state.domains_by_zone[vm.availability_zone].append(vm.fabric_domain)
        if vm.vm in state.inputs.usable and vm.vm not in taken:
            state.free.setdefault(vm.fabric_domain, []).append(vm)
