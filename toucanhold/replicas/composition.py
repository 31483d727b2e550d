"""Which groups to form of which servers: a decision without network or clock."""

from __future__ import annotations

import collections.abc
import math

import attrs

from toucanhold.registry import servers
from toucanhold.replicas import conversion, fitness
from toucanhold.routes import table

# Two groups a domain and two spares are what domains of nine leave over beside groups of four
# and three. A loss then finds its replacement in the domain, where joining takes 0.2 s.
SPARE_SHARE = 2 / 9


@attrs.frozen
class Formation:
    """A group to form; the first member is the head."""

    model: str
    members: tuple[servers.Server, ...]


@attrs.frozen
class Preparation:
    """A spare server that is to hold a model ready."""

    model: str
    server: servers.Server


@attrs.frozen
class Situation:
    """What a decision is made from.

    :ivar free: servers that belong to no group and may be used, by domain
    :ivar counts: groups that serve or form, by model
    :ivar usable: servers of the service that are there, in groups or not
    :ivar zone_counts: groups by model and availability zone
    :ivar domain_counts: groups by model and domain
    :ivar ending: groups by domain that are being taken apart: their servers are soon free
    :ivar loading: spares by domain that load a model
    :ivar closed_zones: availability zones that get no work
    :ivar groups: groups that serve or form in open zones
    :ivar ending_members: members of groups that are being taken apart, by domain
    """

    engine: table.Engine
    free: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]
    counts: collections.abc.Mapping[str, int]
    usable: int
    zone_counts: collections.abc.Mapping[tuple[str, str], int]
    domain_counts: collections.abc.Mapping[tuple[str, str], int]
    ending: collections.abc.Mapping[str, int] = attrs.field(factory=dict)
    loading: collections.abc.Mapping[str, int] = attrs.field(factory=dict)
    closed_zones: collections.abc.Set[str] = frozenset()
    groups: collections.abc.Sequence[conversion.ServingGroup] = ()
    ending_members: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]] = (
        attrs.field(factory=dict)
    )


def wanted_counts(engine: table.Engine, usable: int) -> dict[str, float]:
    """Return how many groups of each model the servers should form, spares aside."""
    total_share = sum(model.share for model in engine.models) or 1.0
    workable = usable * (1 - SPARE_SHARE)
    return {
        model.name: max(1.0, workable * model.share / total_share / model.size)
        for model in engine.models
    }


@attrs.define
class Composer:
    """Decides for one service from one situation.

    A group stays within a fabric domain. One that spans several is slower by far, and what it
    takes on slowly it also keeps: its callers wait for longer than they would for a free place.

    A group whose members must first load the model for a quarter of a minute would hold those
    that need not; so but for the first groups of all, members load one by one as spares, and a
    group is formed of servers that join within seconds.
    """

    situation: Situation
    wanted: dict[str, float] = attrs.field(init=False)
    counts: dict[str, int] = attrs.field(init=False)
    _zone_counts: dict[tuple[str, str], int] = attrs.field(init=False)
    _domain_counts: dict[tuple[str, str], int] = attrs.field(init=False)
    _free: dict[str, list[servers.Server]] = attrs.field(init=False)
    _reserved: set[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Copy what changes while groups are chosen."""
        situation = self.situation
        self.wanted = wanted_counts(situation.engine, situation.usable)
        self.counts = dict(situation.counts)
        self._zone_counts = dict(situation.zone_counts)
        self._domain_counts = dict(situation.domain_counts)
        self._free = {domain: list(members) for domain, members in situation.free.items()}
        self._reserved = conversion.reserved_domains(self._supply())

    def formations(self) -> list[Formation]:
        """Return the groups to form now, most needed first."""
        chosen: list[Formation] = []
        while (formation := self._next()) is not None:
            chosen.append(formation)
            self._count(formation)
        return chosen

    def next_conversion(self) -> conversion.Conversion | None:
        """Return what to do for a model that starves, after the formations of this decision."""
        return conversion.next_conversion(self._supply())

    def _supply(self) -> conversion.Supply:
        situation = self.situation
        open_free = {
            domain: members
            for domain, members in self._free.items()
            if not any(server.zone in situation.closed_zones for server in members)
        }
        return conversion.Supply(
            situation.engine,
            self.wanted,
            self.counts,
            open_free,
            situation.groups,
            situation.ending_members,
        )

    def preparations(self) -> list[Preparation]:
        """Return which of the servers that are left should load which model."""
        chosen = [
            each for model in self._models_without_group() for each in self._reload_spares(model)
        ]
        reloaded = {each.server.server_id for each in chosen}
        for free in self._free.values():
            members = [server for server in free if server.server_id not in reloaded]
            ready = {
                model.name: sum(fitness.is_ready(server, model) for server in members)
                for model in self.situation.engine.models
            }
            for server in members:
                if not server.model and not server.staged:
                    model = self._most_useful(ready)
                    ready[model.name] += 1
                    chosen.append(Preparation(model.name, server))
                elif not server.model:
                    # Holding a model in memory saves more than a second when it is needed.
                    chosen.append(Preparation(server.staged[0], server))
        return chosen

    def _models_without_group(self) -> list[table.Model]:
        """Return the models that no group serves, beside others that have one."""
        # A group that is being taken apart may be the model's only one, and back in a moment.
        if not any(self.counts.values()) or any(self.situation.ending.values()):
            return []
        return [model for model in self.situation.engine.models if not self.counts.get(model.name)]

    def _reload_spares(self, model: table.Model) -> list[Preparation]:
        """Return which spares of one domain should load a model that no group serves.

        Spares that hold another model load nothing by themselves: where they are all that is free,
        the model's callers were refused for good. Those of one domain are enough for a group.
        """
        loading = self.situation.loading
        fitting = [
            domain
            for domain, members in self._free.items()
            if len(members) + loading.get(domain, 0) >= model.size
            and not any(server.zone in self.situation.closed_zones for server in members)
        ]

        def missing(domain: str) -> int:
            ready = sum(fitness.is_ready(server, model) for server in self._free[domain])
            return model.size - ready - loading.get(domain, 0)

        if not fitting:
            return []
        domain = min(fitting, key=lambda each: (missing(each), each))
        others = [server for server in self._free[domain] if not fitness.is_ready(server, model)]
        return [Preparation(model.name, server) for server in others[: max(0, missing(domain))]]

    def _next(self) -> Formation | None:
        neediest = sorted(self.situation.engine.models, key=lambda each: self._covered(each.name))
        for model in neediest:
            is_neediest = model is neediest[0]
            is_short = self._is_short(model)
            fitting = [
                domain
                for domain, members in self._free.items()
                if (is_neediest or domain not in self._reserved)
                and self._may_form(model, members, is_short)
            ]
            if fitting:
                domain = min(fitting, key=lambda each: self._rank(model, each))
                return Formation(model.name, tuple(_members(model, self._free[domain])))
        return None

    def _may_form(self, model: table.Model, members: list[servers.Server], is_short: bool) -> bool:
        # A group beyond those wanted must leave the spares that replace the next loss.
        reserve = 0 if is_short else max(2, math.ceil(model.size / 2))
        if len(members) < model.size + reserve:
            return False
        slowest_s = max(fitness.join_s(member, model) for member in _members(model, members))
        # Groups in zones that are out count as well. Without them a group that lost a member while
        # its zone's neighbour was out was taken for the first of all: its survivors loaded the
        # other model, and their own was served by nobody from then on.
        is_first = not self.situation.zone_counts and not self.situation.ending
        return is_first or slowest_s <= max(model.warm_s, fitness.REJOIN_S)

    def _rank(self, model: table.Model, domain: str) -> tuple:
        members = _members(model, self._free[domain])
        zone = members[0].zone
        return (
            round(max(fitness.join_s(member, model) for member in members), 1),
            self._larger_groups_lost(model, domain),
            self._domain_counts.get((model.name, domain), 0),
            self._zone_counts.get((model.name, zone), 0),
            -len(self._free[domain]),
            domain,
        )

    def _larger_groups_lost(self, model: table.Model, domain: str) -> int:
        """Return the groups of larger models that are short and would no longer fit there.

        Small groups that are spread over all domains leave none that can hold a large one.
        """
        before = len(self._free[domain])
        after = before - model.size
        return sum(
            before // larger.size - after // larger.size
            for larger in self.situation.engine.models
            if larger.size > model.size and self._is_short(larger)
        )

    def _is_short(self, model: table.Model) -> bool:
        return self.counts.get(model.name, 0) + 0.5 < self.wanted[model.name]

    def _count(self, formation: Formation) -> None:
        head = formation.members[0]
        self.counts[formation.model] = self.counts.get(formation.model, 0) + 1
        for counts, place in ((self._zone_counts, head.zone), (self._domain_counts, head.domain)):
            key = formation.model, place
            counts[key] = counts.get(key, 0) + 1
        for member in formation.members:
            self._free[member.domain].remove(member)

    def _covered(self, model: str) -> float:
        return self.counts.get(model, 0) / self.wanted[model]

    def _most_useful(self, ready: collections.abc.Mapping[str, int]) -> table.Model:
        # The spares of a domain serve to fill a group up: of each model some, and more of that
        # of which groups are missing. Survivors that lack few come first.
        def use(model: table.Model) -> tuple[float, float, int]:
            held = ready[model.name] / model.size
            missing = 1 - held if held < 1 and self._is_short(model) else 1.0
            return missing, held + self._covered(model.name), -model.size

        return min(self.situation.engine.models, key=use)


def _members(model: table.Model, free: list[servers.Server]) -> list[servers.Server]:
    def cost(server: servers.Server) -> tuple:
        return fitness.join_s(server, model), server.cold_until_s, server.server_id

    return sorted(free, key=cost)[: model.size]
