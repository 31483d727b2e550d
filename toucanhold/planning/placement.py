"""Choosing the members of groups."""

import abc
import collections
import collections.abc
import functools
import math

import attrs

from toucanhold.backends import client
from toucanhold.configuration import inventory, rules, snapshot
from toucanhold.plans import plan


@attrs.frozen
class PlacementInput:
    """The facts that a placement rests on.

    :ivar usable: VMs that answer, stay, and lie in an availability zone that is not out
    :ivar lost: VMs that are gone, leave, or have been silent for too long
    :ivar reports: each VM's latest report, however old
    :ivar ended: group and generation of groups that lost a member
    :ivar whole: group and generation of groups all of whose members say that they have joined
    :ivar generation_floor: no generation number up to here is given out again
    :ivar substitutes: what has taken a group's place while nothing could be decided
    :ivar unstable: VMs that restarted lately
    :ivar settled_s: time since VMs last became usable or ceased to be
    """

    configuration: snapshot.Configuration
    plans: collections.abc.Mapping[str, plan.DomainPlan]
    usable: frozenset[str]
    lost: frozenset[str] = frozenset()
    reports: collections.abc.Mapping[str, client.Report] = attrs.field(factory=dict)
    ended: frozenset[tuple[str, int]] = frozenset()
    whole: frozenset[tuple[str, int]] = frozenset()
    generation_floor: int = 0
    substitutes: collections.abc.Mapping[tuple[str, int], plan.Group] = attrs.field(factory=dict)
    unstable: frozenset[str] = frozenset()
    settled_s: float = math.inf

    @functools.cached_property
    def vms(self) -> dict[str, inventory.Vm]:
        """The inventory keyed by name."""
        return self.configuration.inventory.by_name()

    def is_broken(self, group: plan.Group) -> bool:
        """Tell whether a group lost a member, so that its generation is over."""
        if group.generation_key in self.ended:
            return True
        return any(self.has_left(member, group) for member in group.members)

    def reason_to_end(self, group: plan.Group) -> str:
        """Return why a group ends, for the log."""
        for member in group.members:
            if member in self.lost:
                return f"{member} is gone or leaves"
            if self.has_left(member, group):
                return f"{member} restarted or left the group"
            if is_out(member, self):
                return f"the availability zone of {member} is out"
        if group.generation_key in self.ended:
            return "a member was seen to leave"
        service = self.configuration.rules.service(group.service)
        if service is None or not is_current(group, service):
            return "the service is gone or has another version"
        return "more replicas than wanted, or its VMs serve a more important service"

    def reason_to_form(self, group: plan.Group) -> str:
        """Return why a group is formed, for the log."""
        service = self.configuration.rules.service(group.service)
        wanted = service.replicas if service else 0
        sound = [
            each
            for planned in self.plans.values()
            for each in planned.groups
            if each.service == group.service and not self.is_broken(each)
        ]
        serving = [each for each in sound if not any(is_out(vm, self) for vm in each.members)]
        if len(serving) < wanted:
            return f"{len(serving)} of {wanted} replicas were planned"
        if service and any(not is_current(each, service) for each in serving):
            return "a replica has an old version of the model"
        return "replicas are crowded in one availability zone"

    def has_left(self, member: str, group: plan.Group) -> bool:
        """Tell whether a member is gone, restarted or outside the group."""
        report = self.reports.get(member)
        if report is None:
            # Never seen by this entry. A planner that has just started would otherwise tear every
            # group apart before its first polls return; a dead VM turns lost soon enough.
            return member in self.lost
        if member in self.lost or not group.expects_boot(member, report.boot_id):
            return True
        return group.formed and (report.group, report.generation) != group.generation_key


@attrs.frozen
class Shortfall:
    """A service that gets fewer replicas than wanted."""

    service: str
    wanted: int
    placed: int


@attrs.frozen
class Placement:
    """New plans of the domains that change, and what falls short."""

    changed: tuple[plan.DomainPlan, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()


class PlacementPolicy(abc.ABC):
    """Decides which VMs form groups."""

    @abc.abstractmethod
    def place(self, inputs: PlacementInput) -> Placement:
        """Return the plan for ``inputs``; groups that can go on keep their generation."""


class FirstFit(PlacementPolicy):
    """The baseline: keep whole groups; give free VMs, in name order, to the most important."""

    def place(self, inputs: PlacementInput) -> Placement:
        """See :class:`PlacementPolicy`."""
        services = {service.name: service for service in model_services(inputs.configuration)}
        kept = {
            domain: [group for group in old.groups if _can_go_on(group, services, inputs)]
            for domain, old in inputs.plans.items()
        }
        kept = _without_surplus(kept, services)
        free = free_vms(inputs, kept)
        generations = {domain: old.last_generation for domain, old in inputs.plans.items()}
        shortfalls = []
        for service in sorted(services.values(), key=lambda each: -each.importance):
            have = sum(
                group.service == service.name for groups in kept.values() for group in groups
            )
            while have < service.replicas:
                domain = _domain_with_room(service, free)
                if domain is None:
                    shortfalls.append(Shortfall(service.name, service.replicas, have))
                    break
                members = take(service, free[domain])
                last = generations.get(domain, 0)
                generations[domain] = max(last, inputs.generation_floor) + 1
                group = new_group(domain, generations[domain], service, members, inputs)
                kept.setdefault(domain, []).append(group)
                have += 1
        return Placement(_changed_plans(inputs, kept, generations), tuple(shortfalls))


def model_services(configuration: snapshot.Configuration) -> list[rules.Service]:
    """Return the services that run on model engines."""
    return [
        service
        for service in configuration.rules.services
        if service.kind is rules.ServiceKind.MODEL
    ]


def new_group(
    domain: str,
    generation: int,
    service: rules.Service,
    members: collections.abc.Sequence[inventory.Vm],
    inputs: PlacementInput,
) -> plan.Group:
    """Return a group with a name of its own."""
    names = tuple(vm.vm for vm in members)
    boots = tuple(inputs.reports[name].boot_id for name in names if name in inputs.reports)
    return plan.Group(
        group=f"{domain}/{generation}",
        generation=generation,
        service=service.name,
        members=names,
        boots=boots if len(boots) == len(names) else (),
        model=service.model,
        version=service.version,
    )


def free_vms(
    inputs: PlacementInput,
    kept: collections.abc.Mapping[str, collections.abc.Sequence[plan.Group]],
) -> dict[str, list[inventory.Vm]]:
    """Return usable engine VMs outside any kept group, by fabric domain, in name order."""
    taken = {member for groups in kept.values() for group in groups for member in group.members}
    free: dict[str, list[inventory.Vm]] = collections.defaultdict(list)
    for vm in inputs.configuration.inventory.vms:
        engine = vm.kind is inventory.VmKind.ENGINE
        if engine and vm.vm in inputs.usable and vm.vm not in taken:
            free[vm.fabric_domain].append(vm)
    return free


def take(service: rules.Service, free: list[inventory.Vm]) -> list[inventory.Vm]:
    """Remove and return the first VMs that fit ``service``."""
    members = [vm for vm in free if vm.accelerators >= service.accelerators_per_vm]
    members = members[: service.vms_per_replica]
    for vm in members:
        free.remove(vm)
    return members


def _can_go_on(
    group: plan.Group, services: collections.abc.Mapping[str, rules.Service], inputs: PlacementInput
) -> bool:
    service = services.get(group.service)
    return (
        service is not None
        and len(group.members) == service.vms_per_replica
        and is_current(group, service)
        and not inputs.is_broken(group)
        and not any(is_out(member, inputs) for member in group.members)
    )


def is_current(group: plan.Group, service: rules.Service) -> bool:
    """Tell whether a group has the service's present model and version."""
    return (group.model, group.version) in (("", ""), (service.model, service.version))


def is_out(member: str, inputs: PlacementInput) -> bool:
    """Tell whether a VM is not in the inventory, or in an availability zone that is out."""
    vm = inputs.vms.get(member)
    return vm is None or vm.availability_zone in inputs.configuration.zones_out


def _without_surplus(
    kept: dict[str, list[plan.Group]], services: collections.abc.Mapping[str, rules.Service]
) -> dict[str, list[plan.Group]]:
    seen: collections.Counter[str] = collections.Counter()
    trimmed: dict[str, list[plan.Group]] = {}
    for domain, groups in kept.items():
        trimmed[domain] = []
        for group in groups:
            seen[group.service] += 1
            if seen[group.service] <= services[group.service].replicas:
                trimmed[domain].append(group)
    return trimmed


def _domain_with_room(
    service: rules.Service, free: collections.abc.Mapping[str, list[inventory.Vm]]
) -> str | None:
    for domain in sorted(free):
        fitting = [vm for vm in free[domain] if vm.accelerators >= service.accelerators_per_vm]
        if len(fitting) >= service.vms_per_replica:
            return domain
    return None


def _changed_plans(
    inputs: PlacementInput,
    kept: collections.abc.Mapping[str, collections.abc.Sequence[plan.Group]],
    generations: collections.abc.Mapping[str, int],
) -> tuple[plan.DomainPlan, ...]:
    changed = []
    for domain, groups in kept.items():
        old = inputs.plans.get(domain) or plan.DomainPlan(domain)
        if tuple(groups) != old.groups:
            last = generations.get(domain, old.last_generation)
            changed.append(attrs.evolve(old, groups=tuple(groups), last_generation=last))
    return tuple(changed)
