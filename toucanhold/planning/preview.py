"""Previews the effect of a configuration change by a dry run of the placement."""

import collections
import collections.abc

import attrs

from toucanhold.configuration import document, snapshot
from toucanhold.planning import input_building, placement


@attrs.frozen
class ServicePreview:
    """A model service before and after a change.

    :ivar wanted_now: configured replicas before the change; 0 if the service is new
    :ivar wanted_after: configured replicas after the change; 0 if the service is removed
    :ivar placed_now: planned groups, without those in availability zones that are out
    :ivar placed_after: groups that would be placed after the change
    """

    service: str
    importance: int
    wanted_now: int
    wanted_after: int
    placed_now: int
    placed_after: int


@attrs.frozen
class Preview:
    """The effect of a change.

    :ivar services: one item for each model service, the most important first
    :ivar falls_short: whether a service would have fewer groups than wanted
    :ivar groups_ended: names of groups that would end or stop serving
    :ivar running: requests in flight on the VMs of those groups
    """

    services: tuple[ServicePreview, ...]
    falls_short: bool
    groups_ended: tuple[str, ...]
    running: int


@attrs.define(eq=False)
class Previewer:
    """Previews changes from this entry's current placement inputs."""

    policy: placement.PlacementPolicy
    input_builder: input_building.PlacementInputBuilder

    def preview_without_zones(self, zones: collections.abc.Collection[str]) -> Preview:
        """Preview taking availability zones out, by name."""
        return preview_without_zones(self.policy, self.input_builder.build(0), zones)

    def preview_document(self, wanted: document.Document) -> Preview:
        """Preview applying a document; zones that are out stay out."""
        inputs = self.input_builder.build(0)
        changed = attrs.evolve(inputs.configuration, inventory=wanted.inventory, rules=wanted.rules)
        return preview_configuration(self.policy, inputs, changed)


def preview_without_zones(
    policy: placement.PlacementPolicy,
    inputs: placement.PlacementInput,
    zones: collections.abc.Collection[str],
) -> Preview:
    """Preview taking availability zones out; zones that are out already stay out."""
    current = inputs.configuration
    return preview_configuration(
        policy, inputs, attrs.evolve(current, zones_out=current.zones_out | frozenset(zones))
    )


def preview_configuration(
    policy: placement.PlacementPolicy,
    inputs: placement.PlacementInput,
    wanted: snapshot.Configuration,
) -> Preview:
    """Preview another configuration; VMs that are listed only there count as usable."""
    groups_after = _groups_after(policy, inputs, wanted)
    groups_now = _active_groups(inputs.plans, inputs.configuration)
    ended = {group.group: group for group in groups_now}
    for group in groups_after:
        ended.pop(group.group, None)
    counts_now = collections.Counter(group.service for group in groups_now)
    counts_after = collections.Counter(group.service for group in groups_after)
    services_before = {each.name: each for each in placement.model_services(inputs.configuration)}
    services_after = {each.name: each for each in placement.model_services(wanted)}
    previews = [
        ServicePreview(
            service=name,
            importance=(services_after.get(name) or services_before[name]).importance,
            wanted_now=services_before[name].replicas if name in services_before else 0,
            wanted_after=services_after[name].replicas if name in services_after else 0,
            placed_now=counts_now[name],
            placed_after=counts_after[name],
        )
        for name in services_before.keys() | services_after.keys()
    ]
    previews.sort(key=lambda each: (-each.importance, each.service))
    members = {member for group in ended.values() for member in group.members}
    running = sum(inputs.reports[vm].running for vm in members if vm in inputs.reports)
    falls_short = any(each.placed_after < each.wanted_after for each in previews)
    return Preview(tuple(previews), falls_short, tuple(sorted(ended)), running)


def _groups_after(
    policy: placement.PlacementPolicy,
    inputs: placement.PlacementInput,
    wanted: snapshot.Configuration,
) -> list:
    current_vms = {vm.vm for vm in inputs.configuration.inventory.vms}
    vms = {vm.vm: vm for vm in wanted.inventory.vms}
    added = {
        name
        for name, vm in vms.items()
        if name not in current_vms and vm.availability_zone not in wanted.zones_out
    }
    usable = {
        name
        for name in inputs.usable_vms
        if name in vms and vms[name].availability_zone not in wanted.zones_out
    }
    changed = attrs.evolve(inputs, configuration=wanted, usable_vms=frozenset(usable | added))
    placed = policy.place(changed)
    plans = dict(inputs.plans) | {each.domain: each for each in placed.changed}
    return _active_groups(plans, wanted)


def _active_groups(plans: collections.abc.Mapping, configuration: snapshot.Configuration) -> list:
    vms = configuration.inventory.by_name()
    return [
        group
        for each in plans.values()
        for group in each.groups
        if all(member in vms for member in group.members)
        and not any(
            vms[member].availability_zone in configuration.zones_out for member in group.members
        )
    ]
