"""Inputs, results and interface of placement policies, and the first-fit baseline."""

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
    """The inputs of a placement decision.

    :ivar configuration: the configuration in force
    :ivar plans: current plan of each fabric domain, by domain
    :ivar usable_vms: VMs that answer, are not leaving, and lie in an availability zone that is not
        out
    :ivar lost_vms: VMs that have ended, are leaving, or have not answered for too long
    :ivar reports: each VM's latest report regardless of age, by VM name
    :ivar ended_generations: generation keys of groups that were observed to lose a member
    :ivar complete_generations: generation keys of groups all of whose members report that they have
        joined
    :ivar generation_floor: highest generation number that may have been used; new ones are greater
    :ivar substitutes: groups with a spare in a lost member's place, formed while the key-value
        service was unavailable, by the generation key of the planned group
    :ivar unstable_vms: VMs that restarted recently
    :ivar settled_s: seconds since the set of usable VMs last changed
    """

    configuration: snapshot.Configuration
    plans: collections.abc.Mapping[str, plan.DomainPlan]
    usable_vms: frozenset[str]
    lost_vms: frozenset[str] = frozenset()
    reports: collections.abc.Mapping[str, client.Report] = attrs.field(factory=dict)
    ended_generations: frozenset[tuple[str, int]] = frozenset()
    complete_generations: frozenset[tuple[str, int]] = frozenset()
    generation_floor: int = 0
    substitutes: collections.abc.Mapping[tuple[str, int], plan.Group] = attrs.field(factory=dict)
    unstable_vms: frozenset[str] = frozenset()
    settled_s: float = math.inf

    @functools.cached_property
    def vms(self) -> dict[str, inventory.Vm]:
        """The VMs of the inventory by name."""
        return self.configuration.inventory.by_name()

    def is_broken(self, group: plan.Group) -> bool:
        """Return whether a group lost a member, which ends its generation."""
        if group.generation_key in self.ended_generations:
            return True
        return any(self.has_left(member, group) for member in group.members)

    def reason_to_end(self, group: plan.Group) -> str:
        """Return the reason for ending a group, for the log."""
        for member in group.members:
            if member in self.lost_vms:
                return f"{member} is lost or leaving"
            if self.has_left(member, group):
                return f"{member} restarted or left the group"
            if is_unavailable(member, self):
                return f"the availability zone of {member} is taken out of service"
        if group.generation_key in self.ended_generations:
            return "the group was observed to lose a member"
        service = self.configuration.rules.service(group.service)
        if service is None or not is_current(group, service):
            return "the service was removed or its version has changed"
        return "more replicas than wanted, or a more important service needs the VMs"

    def reason_to_form(self, group: plan.Group) -> str:
        """Return the reason for forming a group, for the log."""
        service = self.configuration.rules.service(group.service)
        wanted = service.replicas if service else 0
        unbroken = [
            each
            for planned in self.plans.values()
            for each in planned.groups
            if each.service == group.service and not self.is_broken(each)
        ]
        serving = [
            each for each in unbroken if not any(is_unavailable(vm, self) for vm in each.members)
        ]
        if len(serving) < wanted:
            return f"only {len(serving)} of {wanted} replicas were planned"
        if service and any(not is_current(each, service) for each in serving):
            return "a replica has an outdated version of the model"
        return "too many replicas are in one availability zone"

    def has_left(self, member: str, group: plan.Group) -> bool:
        """Return whether a member is lost, has restarted, or has left a formed group."""
        report = self.reports.get(member)
        if report is None:
            # This entry has no report from the VM yet. Otherwise a planner that has just started
            # would end every group before its first polls return. A dead VM becomes lost soon.
            return member in self.lost_vms
        if member in self.lost_vms or not group.expects_boot(member, report.boot_id):
            return True
        return group.formed and (report.group, report.generation) != group.generation_key


@attrs.frozen
class Shortfall:
    """A service with fewer replicas than wanted.

    :ivar wanted: configured number of replicas
    :ivar placed: number of replicas placed
    """

    service: str
    wanted: int
    placed: int


@attrs.frozen
class Placement:
    """The result of a placement decision.

    :ivar changed: new plans of the fabric domains that change
    :ivar shortfalls: services that get fewer replicas than wanted
    """

    changed: tuple[plan.DomainPlan, ...] = ()
    shortfalls: tuple[Shortfall, ...] = ()


class PlacementPolicy(abc.ABC):
    """Decides which VMs form groups."""

    @abc.abstractmethod
    def place(self, inputs: PlacementInput) -> Placement:
        """Return the placement for ``inputs``; groups that can continue keep their generation."""


class FirstFit(PlacementPolicy):
    """Baseline: keeps intact groups and assigns free VMs in inventory order by importance."""

    def place(self, inputs: PlacementInput) -> Placement:
        """See :class:`PlacementPolicy`."""
        services = {service.name: service for service in model_services(inputs.configuration)}
        kept = {
            domain: [group for group in old.groups if _can_continue(group, services, inputs)]
            for domain, old in inputs.plans.items()
        }
        kept = _without_surplus_groups(kept, services)
        free = free_vms(inputs, kept)
        generations = {domain: old.last_generation for domain, old in inputs.plans.items()}
        shortfalls = []
        for service in sorted(services.values(), key=lambda each: -each.importance):
            placed_count = sum(
                group.service == service.name for groups in kept.values() for group in groups
            )
            while placed_count < service.replicas:
                domain = _domain_with_capacity(service, free)
                if domain is None:
                    shortfalls.append(Shortfall(service.name, service.replicas, placed_count))
                    break
                members = pop_fitting_vms(service, free[domain])
                last = generations.get(domain, 0)
                generations[domain] = max(last, inputs.generation_floor) + 1
                group = new_group(domain, generations[domain], service, members, inputs)
                kept.setdefault(domain, []).append(group)
                placed_count += 1
        return Placement(_changed_plans(inputs, kept, generations), tuple(shortfalls))


def model_services(configuration: snapshot.Configuration) -> list[rules.Service]:
    """Return the services of kind MODEL, which run on model engines."""
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
    """Return a group of the VMs ``members``, in rank order, named after its domain and generation.

    Its boot ids are empty unless every member has reported one.
    """
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
    """Return usable engine VMs outside any kept group, by fabric domain, in inventory order."""
    occupied = {member for groups in kept.values() for group in groups for member in group.members}
    free: dict[str, list[inventory.Vm]] = collections.defaultdict(list)
    for vm in inputs.configuration.inventory.vms:
        is_engine = vm.kind is inventory.VmKind.ENGINE
        if is_engine and vm.vm in inputs.usable_vms and vm.vm not in occupied:
            free[vm.fabric_domain].append(vm)
    return free


def pop_fitting_vms(service: rules.Service, free: list[inventory.Vm]) -> list[inventory.Vm]:
    """Remove from ``free`` and return the first VMs that fit ``service``, at most one replica's."""
    members = [vm for vm in free if vm.accelerators >= service.accelerators_per_vm]
    members = members[: service.vms_per_replica]
    for vm in members:
        free.remove(vm)
    return members


def _can_continue(
    group: plan.Group, services: collections.abc.Mapping[str, rules.Service], inputs: PlacementInput
) -> bool:
    service = services.get(group.service)
    return (
        service is not None
        and len(group.members) == service.vms_per_replica
        and is_current(group, service)
        and not inputs.is_broken(group)
        and not any(is_unavailable(member, inputs) for member in group.members)
    )


def is_current(group: plan.Group, service: rules.Service) -> bool:
    """Return whether a group has the service's current model and version, or records neither."""
    return (group.model, group.version) in (("", ""), (service.model, service.version))


def is_unavailable(member: str, inputs: PlacementInput) -> bool:
    """Return whether a VM is missing from the inventory or its availability zone is out."""
    vm = inputs.vms.get(member)
    return vm is None or vm.availability_zone in inputs.configuration.zones_out


def _without_surplus_groups(
    kept: dict[str, list[plan.Group]], services: collections.abc.Mapping[str, rules.Service]
) -> dict[str, list[plan.Group]]:
    group_counts: collections.Counter[str] = collections.Counter()
    remaining: dict[str, list[plan.Group]] = {}
    for domain, groups in kept.items():
        remaining[domain] = []
        for group in groups:
            group_counts[group.service] += 1
            if group_counts[group.service] <= services[group.service].replicas:
                remaining[domain].append(group)
    return remaining


def _domain_with_capacity(
    service: rules.Service, free: collections.abc.Mapping[str, list[inventory.Vm]]
) -> str | None:
    for domain in sorted(free):
        fitting_vms = [vm for vm in free[domain] if vm.accelerators >= service.accelerators_per_vm]
        if len(fitting_vms) >= service.vms_per_replica:
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
