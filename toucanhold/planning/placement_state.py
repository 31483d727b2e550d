"""The working state of a placement decision: the groups that continue and the free VMs."""

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

    :ivar inputs: the inputs of the decision
    :ivar services: model services by name
    :ivar groups: groups that continue, by fabric domain
    :ivar suspended: groups in availability zones that are out, by fabric domain; they are kept but
        do not count as replicas
    :ivar free: usable VMs outside any group, by fabric domain
    :ivar survivors: members of groups that lost a member; they leave without finishing requests
    :ivar drainable_zones: availability zones that operators may take out, for example on hot days
    :ivar domains_by_zone: fabric domains by the availability zone of their first VM
    """

    inputs: placement.PlacementInput
    services: dict[str, rules.Service]
    groups: dict[str, list[plan.Group]] = attrs.field(factory=dict)
    suspended: dict[str, list[plan.Group]] = attrs.field(factory=dict)
    free: dict[str, list[inventory.Vm]] = attrs.field(factory=dict)
    _last_generations: dict[str, int] = attrs.field(factory=dict)
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

    def active_groups(self, service: str) -> list[plan.Group]:
        """Return a service's groups, without suspended ones."""
        return self._by_service[service]

    def count_in_zone(self, service: str, zone: str) -> int:
        """Return the number of a service's groups in an availability zone."""
        return self._zone_counts[service][zone]

    def zone_of(self, group: plan.Group) -> str:
        """Return the availability zone of a group's first member."""
        vm = self.inputs.vms.get(group.members[0])
        return vm.availability_zone if vm else ""

    def fitting_vms(self, service: rules.Service, domain: str) -> list[inventory.Vm]:
        """Return a domain's free VMs that have enough accelerators for a service."""
        needed = service.accelerators_per_vm
        return [vm for vm in self.free.get(domain, ()) if vm.accelerators >= needed]

    def has_weights(self, vm: inventory.Vm, service: rules.Service) -> bool:
        """Return whether a VM has loaded the service's model and version already."""
        report = self.inputs.reports.get(vm.vm)
        return report is not None and has_model(report, service)

    def has_work_in_progress(self, vm: inventory.Vm) -> bool:
        """Return whether a VM must finish requests or a model load before it can join a group."""
        report = self.inputs.reports.get(vm.vm)
        if report is None or vm.vm in self.survivors:
            return False
        return report.loading or report.running + report.waiting > 0

    def pick_members(self, service: rules.Service, domain: str) -> list[inventory.Vm]:
        """Return the members of a new group in ``domain``; empty if too few free VMs fit."""
        options = self.fitting_vms(service, domain)
        if len(options) < service.vms_per_replica:
            return []
        # Prefer the smallest VMs that suffice, so that VMs with many accelerators stay free for
        # the services that need them; among equal VMs prefer those that have loaded the model.
        options.sort(
            key=lambda vm: (
                self.has_work_in_progress(vm),
                vm.vm in self.inputs.unstable_vms,
                vm.accelerators,
                not self.has_weights(vm, service),
                vm.vm,
            )
        )
        return options[: service.vms_per_replica]

    def form_group(self, service: rules.Service, domain: str) -> plan.Group:
        """Form and return a group of ``service``; the domain must have enough fitting free VMs."""
        members = self.pick_members(service, domain)
        for vm in members:
            self.free[domain].remove(vm)
        last = max(self._last_generations.get(domain, 0), self.inputs.generation_floor)
        # One more generation number is reserved per member, for the group in which the spare
        # replaces that member.
        self._last_generations[domain] = last + 1 + len(members)
        group = placement.new_group(domain, last + 1, service, members, self.inputs)
        self.add_group(domain, group)
        return group

    def add_group(self, domain: str, group: plan.Group) -> None:
        """Add a group to those that continue."""
        self.groups.setdefault(domain, []).append(group)
        self._by_service[group.service].append(group)
        self._zone_counts[group.service][self.zone_of(group)] += 1

    def end_group(self, group: plan.Group) -> None:
        """End a group and free its usable members."""
        domain = self.inputs.vms[group.members[0]].fabric_domain
        self.groups[domain].remove(group)
        self._by_service[group.service].remove(group)
        self._zone_counts[group.service][self.zone_of(group)] -= 1
        for member in group.members:
            if member in self.inputs.usable_vms:
                self.free.setdefault(domain, []).append(self.inputs.vms[member])

    def assign_spares(self) -> None:
        """Record for each group the free VM that may replace a lost member, if there is one.

        More important services come first; a VM is the spare of at most one group.
        """
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
        suitable = [vm for vm in free.values() if vm.accelerators >= needed]
        # The recorded spare is kept while it is suitable, because a change costs a plan write.
        suitable.sort(key=lambda vm: (vm.vm != group.spare, vm.accelerators, vm.vm))
        return suitable[0].vm if suitable else ""

    def _may_be_spare(self, vm: inventory.Vm) -> bool:
        report = self.inputs.reports.get(vm.vm)
        checks_fencing = vm.fencing is inventory.Fencing.CHECKED
        return checks_fencing and report is not None and report.group is None and not report.loading

    def changed_plans(self) -> tuple[plan.DomainPlan, ...]:
        """Return the domain plans that differ from the current ones, sorted by domain."""
        changed = []
        for domain in self.inputs.plans.keys() | self.groups.keys():
            old = self.inputs.plans.get(domain) or plan.DomainPlan(domain)
            kept = {group.generation_key: group for group in self.suspended.get(domain, ())}
            kept |= {group.generation_key: group for group in self.groups.get(domain, ())}
            groups = [
                kept.pop(group.generation_key)
                for group in old.groups
                if group.generation_key in kept
            ]
            groups += kept.values()
            if tuple(groups) != old.groups:
                last = max(self._last_generations.get(domain, 0), old.last_generation)
                changed.append(attrs.evolve(old, groups=tuple(groups), last_generation=last))
        return tuple(sorted(changed, key=lambda each: each.domain))


def from_inputs(inputs: placement.PlacementInput) -> PlacementState:
    """Return the state that has every group that can continue and the remaining free VMs."""
    services = {each.name: each for each in placement.model_services(inputs.configuration)}
    zones = inputs.configuration.rules.availability_zones
    drainable = frozenset(zone.name for zone in zones if zone.drainable)
    state = PlacementState(inputs, services, drainable_zones=drainable)
    for domain, old in inputs.plans.items():
        state._last_generations[domain] = old.last_generation
        for group in old.groups:
            service = services.get(group.service)
            if service is None or len(group.members) != service.vms_per_replica:
                continue
            substitute = inputs.substitutes.get(group.generation_key)
            if substitute is not None and not inputs.is_broken(substitute):
                formed = substitute.generation_key in inputs.complete_generations
                state.add_group(domain, attrs.evolve(substitute, formed=formed))
                continue
            if inputs.is_broken(group):
                state.survivors.update(group.members)
                continue
            if any(placement.is_unavailable(member, inputs) for member in group.members):
                if placement.is_current(group, service) and _all_in_inventory(group, inputs):
                    state.suspended.setdefault(domain, []).append(group)
                continue
            state.add_group(domain, group)
    _collect_free_vms(state)
    return state


def has_model(report: client.Report, service: rules.Service) -> bool:
    """Return whether an engine reports a service's model and version as loaded."""
    return (report.model, report.version) == (service.model, service.version)


def _all_in_inventory(group: plan.Group, inputs: placement.PlacementInput) -> bool:
    return all(member in inputs.vms for member in group.members)


def _collect_free_vms(state: PlacementState) -> None:
    occupied = {
        member
        for by_domain in (state.groups, state.suspended)
        for groups in by_domain.values()
        for group in groups
        for member in group.members
    }
    listed_domains: set[str] = set()
    for vm in state.inputs.configuration.inventory.vms:
        if vm.kind is not inventory.VmKind.ENGINE:
            continue
        if vm.fabric_domain not in listed_domains:
            listed_domains.add(vm.fabric_domain)
            state.domains_by_zone[vm.availability_zone].append(vm.fabric_domain)
        if vm.vm in state.inputs.usable_vms and vm.vm not in occupied:
            state.free.setdefault(vm.fabric_domain, []).append(vm)
