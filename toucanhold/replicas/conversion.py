"""Decides which servers are converted to an underserved model, without I/O or a clock.

The remaining members of a large group keep their model, and small groups occupy the rest of their
domain. Once a large group has lost more members than its domain has spares, it cannot form again
without a conversion: its callers would be refused permanently while its servers are idle.
"""

from __future__ import annotations

import collections
import collections.abc

import attrs

from toucanhold.registry import servers
from toucanhold.replicas import readiness
from toucanhold.routes import table

# A model is underserved if its coverage is below this fraction of the best covered model's.
UNDERSERVED_RATIO = 1 / 3
# Without preemption, idle servers load a model only where at most this fraction of a group's
# members lack it.
MAX_MISSING_FRACTION = 0.5
# Targets are fractions of groups; a model is at its target within half a group.
MAX_SHORTFALL_GROUPS = 0.5


@attrs.frozen
class ServingGroup:
    """A serving or forming group that may be preempted."""

    name: str
    model: str
    domain: str
    members: tuple[servers.Server, ...]


@attrs.frozen
class CapacitySnapshot:
    """Groups by model and the servers available to them.

    :ivar target_counts: target number of groups, by model
    :ivar group_counts: number of serving or forming groups, by model
    :ivar free_servers: servers that belong to no group, by domain
    :ivar groups: serving or forming groups in open availability zones
    :ivar ending_members: members of groups that are being torn down, by domain
    :ivar follows_demand: whether the targets follow the observed demand
    """

    engine: table.Engine
    target_counts: collections.abc.Mapping[str, float]
    group_counts: collections.abc.Mapping[str, int]
    free_servers: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]
    groups: collections.abc.Sequence[ServingGroup]
    ending_members: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]
    follows_demand: bool = False

    def coverage(self, model: str, change: int = 0) -> float:
        """Return the ratio of existing groups to the target.

        :param change: groups to add to (or, if negative, remove from) the count first
        """
        return (self.group_counts.get(model, 0) + change) / self.target_counts[model]


@attrs.frozen
class Conversion:
    """The next step towards one more group of an underprovisioned model.

    :ivar to_stage: servers whose hosts should load the model while the servers keep working
    :ivar preempted: names of the groups to tear down once ``to_stage`` is empty
    """

    model: table.Model
    domain: str
    to_stage: tuple[servers.Server, ...] = ()
    preempted: tuple[str, ...] = ()


def underserved_model(capacity: CapacitySnapshot) -> table.Model | None:
    """Return the model with far less coverage than another one, if any."""
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
    """Return the model with the least coverage if it is more than half a group below target."""
    least_covered = min(capacity.engine.models, key=lambda model: capacity.coverage(model.name))
    is_underprovisioned = (
        capacity.group_counts.get(least_covered.name, 0) + 0.5
        < capacity.target_counts[least_covered.name]
    )
    return least_covered if is_underprovisioned else None


def reserved_domains(capacity: CapacitySnapshot) -> set[str]:
    """Return the domains whose free servers are reserved for the underserved model.

    Its group can form once the groups that are ending there are torn down. Until then, the servers
    that are free first must not join a group of another model.
    """
    model = underserved_model(capacity)
    if model is None:
        return set()
    return {
        domain
        for domain, ending_members in capacity.ending_members.items()
        if sum(
            readiness.has_model(server, model)
            for server in [*ending_members, *capacity.free_servers.get(domain, ())]
        )
        >= model.size
    }


def next_conversion(capacity: CapacitySnapshot) -> Conversion | None:
    """Return the next conversion step, in the domain with the least cost; None if none is needed.

    Hosts of idle servers may load any underprovisioned model. Groups are preempted only for an
    underserved model, or if the targets follow the demand.
    """
    model = most_underprovisioned_model(capacity)
    if model is None or len(capacity.engine.models) < 2:
        return None
    domains = capacity.free_servers.keys() | {group.domain for group in capacity.groups}
    is_unserved = not capacity.group_counts.get(model.name)
    if is_unserved:
        domains |= capacity.ending_members.keys()
    else:
        domains -= {domain for domain, members in capacity.ending_members.items() if members}
    candidates = (_conversion_in(capacity, model, domain) for domain in sorted(domains))
    conversion = min(
        (each for each in candidates if each is not None), key=_conversion_cost, default=None
    )
    if conversion is not None and capacity.ending_members.get(conversion.domain):
        # Servers that are free in a moment are cheaper than groups that serve.
        return None
    return conversion


def _conversion_cost(conversion: Conversion) -> tuple[int, int, str]:
    return len(conversion.preempted), len(conversion.to_stage), conversion.domain


def _conversion_in(
    capacity: CapacitySnapshot, model: table.Model, domain: str
) -> Conversion | None:
    """Return the step towards one more group of the model in a domain; None if impossible.

    Members of groups that are being torn down count as free.
    """
    pool = [*capacity.free_servers.get(domain, ()), *capacity.ending_members.get(domain, ())]
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
    # The members of a preempted large group form several small groups.
    needed_count = len(pool) // model.size * model.size if preempted else model.size
    missing_count = max(0, needed_count - _ready_count(pool, model))
    if not preempted and missing_count > model.size * MAX_MISSING_FRACTION:
        return None
    to_stage = [server for server in pool if not readiness.has_model(server, model)][:missing_count]
    preempted_names = tuple(group.name for group in preempted)
    return Conversion(model, domain, tuple(to_stage), preempted_names)


def _ready_count(members: collections.abc.Iterable[servers.Server], model: table.Model) -> int:
    return sum(readiness.has_model(server, model) for server in members)


def _is_worthwhile(
    capacity: CapacitySnapshot, model: table.Model, preempted: list[ServingGroup]
) -> bool:
    if preempted and not capacity.follows_demand and underserved_model(capacity) is None:
        return False
    if not capacity.group_counts.get(model.name):
        return _is_worthwhile_for_first_group(capacity, model, preempted)
    # Otherwise the other model would become underserved next and take its servers back.
    coverage_after = capacity.coverage(model.name, 1)
    for other in capacity.engine.models:
        preempted_count = sum(group.model == other.name for group in preempted)
        remaining_count = capacity.group_counts.get(other.name, 0) - preempted_count
        if (
            preempted_count
            and capacity.follows_demand
            and remaining_count < capacity.target_counts[other.name] - MAX_SHORTFALL_GROUPS
        ):
            return False
        if preempted_count and capacity.coverage(other.name, -preempted_count) < coverage_after:
            return False
    return True


def _is_worthwhile_for_first_group(
    capacity: CapacitySnapshot, model: table.Model, preempted: list[ServingGroup]
) -> bool:
    """Return whether groups may be preempted for a model that has none.

    Its callers are all refused, so the others need not stay closer to their targets than this
    model, as long as they do not become underserved in turn.
    """
    min_coverage = UNDERSERVED_RATIO * capacity.coverage(model.name, 1)
    preempted_counts = collections.Counter(group.model for group in preempted)
    return all(
        capacity.coverage(name, -count) >= min_coverage for name, count in preempted_counts.items()
    )
