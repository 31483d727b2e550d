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
STARVED_PART = 1 / 3
# Idle servers load a model beside survivors that lack this part of a group at most.
LARGEST_GAP = 0.5


@attrs.frozen
class ServingGroup:
    """A group that could be given up."""

    name: str
    model: str
    domain: str
    members: tuple[servers.Server, ...]


@attrs.frozen
class Supply:
    """Groups by model, and what they stand on.

    :ivar wanted: groups that the servers should form, by model
    :ivar counts: groups that serve or form, by model
    :ivar free: servers in no group, by domain
    :ivar groups: groups in open availability zones
    :ivar ending: members of groups that are being taken apart, by domain
    """

    engine: table.Engine
    wanted: collections.abc.Mapping[str, float]
    counts: collections.abc.Mapping[str, int]
    free: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]
    groups: collections.abc.Sequence[ServingGroup]
    ending: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]

    def covered(self, model: str, change: int = 0) -> float:
        """Return the part of the wanted groups that there are, or would be after a change."""
        return (self.counts.get(model, 0) + change) / self.wanted[model]


@attrs.frozen
class Conversion:
    """The next step towards one more group of a starved model.

    :ivar staging: servers whose hosts are to load the model beside their present work
    :ivar given_up: names of groups to take apart once no host is left to load
    """

    model: table.Model
    domain: str
    staging: tuple[servers.Server, ...] = ()
    given_up: tuple[str, ...] = ()


def underserved_model(supply: Supply) -> table.Model | None:
    """Return the model that starves beside another one, if any."""
    models = supply.engine.models
    if len(models) < 2:
        return None
    scarcest = min(models, key=lambda model: supply.covered(model.name))
    best = max(supply.covered(model.name) for model in models)
    return scarcest if supply.covered(scarcest.name) < STARVED_PART * best else None


def short_model(supply: Supply) -> table.Model | None:
    """Return the model that has the least of what it should, if it lacks half a group or more."""
    scarcest = min(supply.engine.models, key=lambda model: supply.covered(model.name))
    is_short = supply.counts.get(scarcest.name, 0) + 0.5 < supply.wanted[scarcest.name]
    return scarcest if is_short else None


def reserved_domains(supply: Supply) -> set[str]:
    """Return the domains whose free servers the starved model needs.

    Its group forms once groups there are apart; until then their first servers must not join
    another model's group again.
    """
    model = underserved_model(supply)
    if model is None:
        return set()
    return {
        domain
        for domain, ending in supply.ending.items()
        if sum(
            fitness.is_ready(server, model) for server in [*ending, *supply.free.get(domain, ())]
        )
        >= model.size
    }


def next_conversion(supply: Supply) -> Conversion | None:
    """Return the next step, in the domain where it costs least.

    Hosts of idle servers load a model that is short beside its survivors; groups are given up only
    for a model that starves.
    """
    model = short_model(supply)
    if model is None or len(supply.engine.models) < 2:
        return None
    domains = supply.free.keys() | {group.domain for group in supply.groups}
    found = (_in_domain(supply, model, domain) for domain in sorted(domains))
    return min((each for each in found if each is not None), key=_cost, default=None)


def _cost(conversion: Conversion) -> tuple[int, int, str]:
    return len(conversion.given_up), len(conversion.staging), conversion.domain


def _in_domain(supply: Supply, model: table.Model, domain: str) -> Conversion | None:
    """Return what one more group of the model costs in a domain; None where it cannot be."""
    if supply.ending.get(domain):
        return None
    pool = list(supply.free.get(domain, ()))
    given_up: list[ServingGroup] = []
    others = [each for each in supply.groups if each.domain == domain and each.model != model.name]
    for group in sorted(others, key=lambda each: (-_ready_count(each.members, model), each.name)):
        if len(pool) >= model.size:
            break
        pool += group.members
        given_up.append(group)
    if len(pool) < model.size or not _is_worth(supply, model, given_up):
        return None
    missing = max(0, model.size - _ready_count(pool, model))
    if not given_up and missing > model.size * LARGEST_GAP:
        return None
    staging = [server for server in pool if not fitness.is_ready(server, model)][:missing]
    names = tuple(group.name for group in given_up)
    return Conversion(model, domain, tuple(staging), names)


def _ready_count(members: collections.abc.Iterable[servers.Server], model: table.Model) -> int:
    return sum(fitness.is_ready(server, model) for server in members)


def _is_worth(supply: Supply, model: table.Model, given_up: list[ServingGroup]) -> bool:
    if given_up and underserved_model(supply) is None:
        return False
    # Else the other model starves next, and takes its servers back.
    after = supply.covered(model.name, 1)
    for other in supply.engine.models:
        lost = sum(group.model == other.name for group in given_up)
        if lost and supply.covered(other.name, -lost) < after:
            return False
    return True
