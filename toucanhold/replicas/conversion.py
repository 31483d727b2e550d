"""Giving up groups of other models for one that starves: a decision without network or clock.

Survivors of a large group keep their model, and small groups fill the rest of their domains. Once a
large group has lost more members than its domain has spares, it never forms again by itself, and
its callers are refused for good beside idle survivors.
"""

from __future__ import annotations

import collections.abc

import attrs

from toucanhold.registry import servers
from toucanhold.replicas import fitness
from toucanhold.routes import table

# A model starves below this part of what another model has, each against what it should have.
UNDERSERVED_RATIO = 1 / 3
# Idle servers load a model beside survivors that lack this part of a group at most.
MAX_MISSING_FRACTION = 0.5


@attrs.frozen
class ServingGroup:
    """A group that could be given up."""

    name: str
    model: str
    domain: str
    members: tuple[servers.Server, ...]


@attrs.frozen
class CapacitySnapshot:
    """Groups by model, and what they stand on.

    :ivar target_counts: groups that the servers should form, by model
    :ivar group_counts: groups that serve or form, by model
    :ivar free_servers: servers in no group, by domain
    :ivar groups: groups in open availability zones
    :ivar ending_members: members of groups that are being taken apart, by domain
    """

    engine: table.Engine
    target_counts: collections.abc.Mapping[str, float]
    group_counts: collections.abc.Mapping[str, int]
    free_servers: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]
    groups: collections.abc.Sequence[ServingGroup]
    ending_members: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]

    def coverage(self, model: str, change: int = 0) -> float:
        """Return the part of the wanted groups that there are, or would be after a change."""
        return (self.group_counts.get(model, 0) + change) / self.target_counts[model]


@attrs.frozen
class Conversion:
    """The next step towards one more group of a starved model.

    :ivar to_stage: servers whose hosts are to load the model beside their present work
    :ivar preempted: names of groups to take apart once no host is left to load
    """

    model: table.Model
    domain: str
    to_stage: tuple[servers.Server, ...] = ()
    preempted: tuple[str, ...] = ()


def underserved_model(capacity: CapacitySnapshot) -> table.Model | None:
    """Return the model that starves beside another one, if any."""
    models = capacity.engine.models
    if len(models) < 2:
        return None
    least_covered = min(models, key=lambda model: capacity.coverage(model.name))
    highest_coverage = max(capacity.coverage(model.name) for model in models)
    return (
        least_covered
        if capacity.coverage(least_covered.name) < UNDERSERVED_RATIO * highest_coverage
        else None
    )


def most_underprovisioned_model(capacity: CapacitySnapshot) -> table.Model | None:
    """Return the model that has the least of what it should, if it lacks half a group or more."""
    least_covered = min(capacity.engine.models, key=lambda model: capacity.coverage(model.name))
    is_underprovisioned = (
        capacity.group_counts.get(least_covered.name, 0) + 0.5
        < capacity.target_counts[least_covered.name]
    )
    return least_covered if is_underprovisioned else None


def reserved_domains(capacity: CapacitySnapshot) -> set[str]:
    """Return the domains whose free servers the starved model needs.

    Its group forms once groups there are apart; until then their first servers must not join
    another model's group again.
    """
    model = underserved_model(capacity)
    if model is None:
        return set()
    return {
        domain
        for domain, ending_members in capacity.ending_members.items()
        if sum(
            fitness.has_model(server, model)
            for server in [*ending_members, *capacity.free_servers.get(domain, ())]
        )
        >= model.size
    }


def next_conversion(capacity: CapacitySnapshot) -> Conversion | None:
    """Return the next step, in the domain where it costs least.

    Hosts of idle servers load a model that is short beside its survivors; groups are given up only
    for a model that starves.
    """
    model = most_underprovisioned_model(capacity)
    if model is None or len(capacity.engine.models) < 2:
        return None
    domains = capacity.free_servers.keys() | {group.domain for group in capacity.groups}
    candidates = (_conversion_in(capacity, model, domain) for domain in sorted(domains))
    return min((each for each in candidates if each is not None), key=_cost, default=None)


def _cost(conversion: Conversion) -> tuple[int, int, str]:
    return len(conversion.preempted), len(conversion.to_stage), conversion.domain


def _conversion_in(
    capacity: CapacitySnapshot, model: table.Model, domain: str
) -> Conversion | None:
    """Return what one more group of the model costs in a domain; None where it cannot be."""
    if capacity.ending_members.get(domain):
        return None
    pool = list(capacity.free_servers.get(domain, ()))
    preempted: list[ServingGroup] = []
    other_groups = [
        each for each in capacity.groups if each.domain == domain and each.model != model.name
    ]
    for group in sorted(
        other_groups, key=lambda each: (-_ready_count(each.members, model), each.name)
    ):
        if len(pool) >= model.size:
            break
        pool += group.members
        preempted.append(group)
    if len(pool) < model.size or not _is_worthwhile(capacity, model, preempted):
        return None
    missing = max(0, model.size - _ready_count(pool, model))
    if not preempted and missing > model.size * MAX_MISSING_FRACTION:
        return None
    to_stage = [server for server in pool if not fitness.has_model(server, model)][:missing]
    names = tuple(group.name for group in preempted)
    return Conversion(model, domain, tuple(to_stage), names)


def _ready_count(members: collections.abc.Iterable[servers.Server], model: table.Model) -> int:
    return sum(fitness.has_model(server, model) for server in members)


def _is_worthwhile(
    capacity: CapacitySnapshot, model: table.Model, preempted: list[ServingGroup]
) -> bool:
    if preempted and underserved_model(capacity) is None:
        return False
    # Else the other model starves next, and takes its servers back.
    after = capacity.coverage(model.name, 1)
    for other in capacity.engine.models:
        lost = sum(group.model == other.name for group in preempted)
        if lost and capacity.coverage(other.name, -lost) < after:
            return False
    return True
