"""What would fall short if a change came into force: a dry run of the placement."""

import collections
import collections.abc

import attrs

from toucanhold.configuration import document, snapshot
from toucanhold.planning import input_building, placement


@attrs.frozen
class ServicePreview:
    """A model service before and after a change.

    :ivar placed_now: groups planned now, without those in availability zones that are out
    :ivar placed_after: groups that there would be room for
    """

    service: str
    importance: int
    wanted_now: int
    wanted_after: int
    placed_now: int
    placed_after: int


@attrs.frozen
class Preview:
    """What a change would bring.

    :ivar falls_short: a service would have fewer groups than wanted
    :ivar groups_ended: names of groups that would end or stop serving
    :ivar running: requests in flight on the VMs of those groups
    """

    services: tuple[ServicePreview, ...]
    falls_short: bool
    groups_ended: tuple[str, ...]
    running: int


@attrs.define(eq=False)
class Previewer:
    """Previews changes from what this entry knows now."""

    policy: placement.PlacementPolicy
    input_builder: input_building.PlacementInputBuilder

    def without(self, zones: collections.abc.Collection[str]) -> Preview:
        """Preview taking availability zones out."""
        return without_zones(self.policy, self.input_builder.build(0), zones)

    def with_document(self, wanted: document.Document) -> Preview:
        """Preview applying a document; zones that are out stay out."""
        known = self.input_builder.build(0)
        changed = attrs.evolve(known.configuration, inventory=wanted.inventory, rules=wanted.rules)
        return with_configuration(self.policy, known, changed)


def without_zones(
    policy: placement.PlacementPolicy,
    known: placement.PlacementInput,
    zones: collections.abc.Collection[str],
) -> Preview:
    """Preview taking availability zones out, those that are out already staying out."""
    current = known.configuration
    return with_configuration(
        policy, known, attrs.evolve(current, zones_out=current.zones_out | frozenset(zones))
    )


def with_configuration(
    policy: placement.PlacementPolicy,
    known: placement.PlacementInput,
    wanted: snapshot.Configuration,
) -> Preview:
    """Preview another configuration; VMs that only it lists count as usable."""
    after = _placed_after(policy, known, wanted)
    now = _active(known.plans, known.configuration)
    ended = {group.group: group for group in now}
    for group in after:
        ended.pop(group.group, None)
    counts_now = collections.Counter(group.service for group in now)
    counts_after = collections.Counter(group.service for group in after)
    before = {each.name: each for each in placement.model_services(known.configuration)}
    services = {each.name: each for each in placement.model_services(wanted)}
    previews = [
        ServicePreview(
            service=name,
            importance=(services.get(name) or before[name]).importance,
            wanted_now=before[name].replicas if name in before else 0,
            wanted_after=services[name].replicas if name in services else 0,
            placed_now=counts_now[name],
            placed_after=counts_after[name],
        )
        for name in before.keys() | services.keys()
    ]
    previews.sort(key=lambda each: (-each.importance, each.service))
    members = {member for group in ended.values() for member in group.members}
    running = sum(known.reports[vm].running for vm in members if vm in known.reports)
    falls_short = any(each.placed_after < each.wanted_after for each in previews)
    return Preview(tuple(previews), falls_short, tuple(sorted(ended)), running)


def _placed_after(
    policy: placement.PlacementPolicy,
    known: placement.PlacementInput,
    wanted: snapshot.Configuration,
) -> list:
    listed = {vm.vm for vm in known.configuration.inventory.vms}
    vms = {vm.vm: vm for vm in wanted.inventory.vms}
    added = {
        name
        for name, vm in vms.items()
        if name not in listed and vm.availability_zone not in wanted.zones_out
    }
    usable = {
        name
        for name in known.usable
        if name in vms and vms[name].availability_zone not in wanted.zones_out
    }
    changed = attrs.evolve(known, configuration=wanted, usable=frozenset(usable | added))
    placed = policy.place(changed)
    plans = dict(known.plans) | {each.domain: each for each in placed.changed}
    return _active(plans, wanted)


def _active(plans: collections.abc.Mapping, configuration: snapshot.Configuration) -> list:
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
