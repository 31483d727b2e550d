"""Decides which servers form groups and which spares preload a model, without I/O or a clock."""

from __future__ import annotations

import collections.abc
import math

import attrs

from toucanhold.registry import servers
from toucanhold.replicas import conversion, demand, readiness
from toucanhold.routes import table

# A domain of nine servers holds a group of four, a group of three and two spares. A lost member is
# then replaced from its own domain, where a server that has the model loaded joins in 0.2 s.
SPARE_FRACTION = 2 / 9


@attrs.frozen
class Placement:
    """Servers chosen for a new group.

    :ivar model: name of the model that the group runs
    :ivar members: servers by rank; the first is the head
    """

    model: str
    members: tuple[servers.Server, ...]


@attrs.frozen
class Preload:
    """A spare server that should load a model before a group needs it.

    :ivar model: name of the model to load
    """

    model: str
    server: servers.Server


@attrs.frozen
class ServiceSnapshot:
    """The state of one model service that placement decisions are based on.

    :ivar free_servers: usable servers that belong to no group, by domain
    :ivar group_counts: number of serving or forming groups in open zones, by model
    :ivar usable_count: number of usable servers in open zones, in groups or not
    :ivar zone_counts: number of serving or forming groups, by model and availability zone
    :ivar domain_counts: number of serving or forming groups, by model and domain
    :ivar ending_counts: number of groups being torn down, by domain; their servers are free soon
    :ivar loading_counts: number of spares that are loading a model, by domain
    :ivar closed_zones: availability zones that get no requests
    :ivar groups: serving or forming groups in open zones
    :ivar ending_members: members of groups that are being torn down, by domain
    :ivar slots_in_use: smoothed slots in use by model, if groups are to follow the demand
    :ivar followed_demand: whether the targets followed the demand in the previous decision
    :ivar is_staging_spares: whether spares are to hold a second model on their hosts
    """

    engine: table.Engine
    free_servers: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]]
    group_counts: collections.abc.Mapping[str, int]
    usable_count: int
    zone_counts: collections.abc.Mapping[tuple[str, str], int]
    domain_counts: collections.abc.Mapping[tuple[str, str], int]
    ending_counts: collections.abc.Mapping[str, int] = attrs.field(factory=dict)
    loading_counts: collections.abc.Mapping[str, int] = attrs.field(factory=dict)
    closed_zones: collections.abc.Set[str] = frozenset()
    groups: collections.abc.Sequence[conversion.ServingGroup] = ()
    ending_members: collections.abc.Mapping[str, collections.abc.Sequence[servers.Server]] = (
        attrs.field(factory=dict)
    )
    slots_in_use: collections.abc.Mapping[str, float] = attrs.field(factory=dict)
    is_staging_spares: bool = False
    followed_demand: bool = False


def target_group_counts(engine: table.Engine, usable_count: int) -> dict[str, float]:
    """Return the target number of groups by model name: at least 1 each, may be fractional.

    :param usable_count: usable servers, of which :data:`SPARE_FRACTION` are kept as spares
    """
    total_share = sum(model.share for model in engine.models) or 1.0
    grouped_count = usable_count * (1 - SPARE_FRACTION)
    return {
        model.name: max(1.0, grouped_count * model.share / total_share / model.size)
        for model in engine.models
    }


@attrs.define
class PlacementPlanner:
    """Plans placements, preloads and conversions for one service from one snapshot.

    A group stays within a fabric domain. A group that spans domains is much slower, and its
    callers would wait longer in it than they would for a free slot elsewhere.

    Loading a model from the weight store takes about 15 s, and a group that waits for such a member
    blocks the members that are ready. Except for the first groups, servers therefore load models
    one by one as spares, and groups are formed only of servers that join within seconds.

    :ivar target_counts: target number of groups, by model
    :ivar follows_demand: whether the targets follow the demand instead of the configured shares
    :ivar group_counts: serving, forming and newly placed groups, by model
    """

    snapshot: ServiceSnapshot
    target_counts: dict[str, float] = attrs.field(init=False)
    group_counts: dict[str, int] = attrs.field(init=False)
    _zone_counts: dict[tuple[str, str], int] = attrs.field(init=False)
    _domain_counts: dict[tuple[str, str], int] = attrs.field(init=False)
    _free_servers: dict[str, list[servers.Server]] = attrs.field(init=False)
    _reserved_domains: set[str] = attrs.field(init=False)
    follows_demand: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Copy the parts of the snapshot that change with each placement."""
        snapshot = self.snapshot
        self.target_counts = target_group_counts(snapshot.engine, snapshot.usable_count)
        demanded_counts = demand.target_counts(
            snapshot.engine,
            snapshot.usable_count * (1 - SPARE_FRACTION),
            self.target_counts,
            snapshot.slots_in_use,
            snapshot.followed_demand,
        )
        self.follows_demand = demanded_counts is not None
        self.target_counts = demanded_counts or self.target_counts
        self.group_counts = dict(snapshot.group_counts)
        self._zone_counts = dict(snapshot.zone_counts)
        self._domain_counts = dict(snapshot.domain_counts)
        self._free_servers = {
            domain: list(members) for domain, members in snapshot.free_servers.items()
        }
        self._reserved_domains = conversion.reserved_domains(self._capacity())

    def placements(self) -> list[Placement]:
        """Return the groups to form now, starting with the model of the least coverage."""
        placements: list[Placement] = []
        while (placement := self._next_placement()) is not None:
            placements.append(placement)
            self._record_placement(placement)
        return placements

    def next_conversion(self) -> conversion.Conversion | None:
        """Return the next conversion step that is still needed after the placements, if any."""
        return conversion.next_conversion(self._capacity())

    def _capacity(self) -> conversion.CapacitySnapshot:
        snapshot = self.snapshot
        free_in_open_zones = {
            domain: members
            for domain, members in self._free_servers.items()
            if not any(server.zone in snapshot.closed_zones for server in members)
        }
        return conversion.CapacitySnapshot(
            snapshot.engine,
            self.target_counts,
            self.group_counts,
            free_in_open_zones,
            snapshot.groups,
            snapshot.ending_members,
            self.follows_demand,
        )

    def preloads(self) -> list[Preload]:
        """Return the models that the remaining free servers should load."""
        preloads = [
            preload
            for model in self._models_without_group()
            for preload in self._preloads_for(model)
        ]
        preloaded = {preload.server.server_id for preload in preloads}
        for free_servers in self._free_servers.values():
            members = [server for server in free_servers if server.server_id not in preloaded]
            ready_counts = {
                model.name: sum(readiness.has_model(server, model) for server in members)
                for model in self.snapshot.engine.models
            }
            for server in members:
                if not server.model and not server.staged:
                    model = self._model_to_preload(ready_counts)
                    ready_counts[model.name] += 1
                    preloads.append(Preload(model.name, server))
                elif not server.model:
                    # Loading a staged model into memory now saves more than a second later.
                    preloads.append(Preload(server.staged[0], server))
        return preloads

    def spare_stagings(self) -> list[Preload]:
        """Return the second models that the hosts of remaining free servers should load.

        A spare that holds one model in memory and another on its host completes a group of either.
        Otherwise, groups that lost a member could not form again for want of one server, while
        spares of the other model were idle.
        """
        if not self.snapshot.is_staging_spares:
            return []
        models = sorted(self.snapshot.engine.models, key=lambda each: self._coverage(each.name))
        return [
            Preload(model.name, server)
            for members in self._free_servers.values()
            for server in members
            if server.model and all(name == server.model for name in server.staged)
            for model in [each for each in models if each.name != server.model][:1]
        ]

    def _models_without_group(self) -> list[table.Model]:
        """Return the models that no group serves while other models have groups."""
        # A group that is being torn down may be its model's only one and be re-formed at once.
        if not any(self.group_counts.values()) or any(self.snapshot.ending_counts.values()):
            return []
        return [
            model for model in self.snapshot.engine.models if not self.group_counts.get(model.name)
        ]

    def _preloads_for(self, model: table.Model) -> list[Preload]:
        """Return the preloads of one domain that allow a group of an unserved model to form.

        Spares that hold another model are otherwise not reloaded. Where only such spares were
        free, the model's callers were refused permanently. One domain suffices for a group.
        """
        loading_counts = self.snapshot.loading_counts
        candidate_domains = [
            domain
            for domain, members in self._free_servers.items()
            if len(members) + loading_counts.get(domain, 0) >= model.size
            and not any(server.zone in self.snapshot.closed_zones for server in members)
        ]

        def missing_count(domain: str) -> int:
            ready_count = sum(
                readiness.has_model(server, model) for server in self._free_servers[domain]
            )
            return model.size - ready_count - loading_counts.get(domain, 0)

        if not candidate_domains:
            return []
        domain = min(candidate_domains, key=lambda each: (missing_count(each), each))
        others = [
            server
            for server in self._free_servers[domain]
            if not readiness.has_model(server, model)
        ]
        return [Preload(model.name, server) for server in others[: max(0, missing_count(domain))]]

    def _next_placement(self) -> Placement | None:
        models_by_coverage = sorted(
            self.snapshot.engine.models, key=lambda each: self._coverage(each.name)
        )
        for model in models_by_coverage:
            is_least_covered = model is models_by_coverage[0]
            is_underprovisioned = self._is_underprovisioned(model)
            candidate_domains = [
                domain
                for domain, members in self._free_servers.items()
                if (is_least_covered or domain not in self._reserved_domains)
                and self._may_place(model, members, is_underprovisioned)
            ]
            if candidate_domains:
                domain = min(candidate_domains, key=lambda each: self._placement_cost(model, each))
                return Placement(
                    model.name, tuple(_select_members(model, self._free_servers[domain]))
                )
        return None

    def _may_place(
        self, model: table.Model, members: list[servers.Server], is_underprovisioned: bool
    ) -> bool:
        # A group above the target must leave enough spares to replace the next lost members.
        reserve = 0 if is_underprovisioned else max(2, math.ceil(model.size / 2))
        if len(members) < model.size + reserve:
            return False
        slowest_s = max(
            readiness.join_time_s(member, model) for member in _select_members(model, members)
        )
        # Groups in closed zones count as well. Without them, a group that lost a member while
        # another zone was closed was treated as the first group of all: its remaining members
        # loaded the other model, and their own model was no longer served.
        is_first = not self.snapshot.zone_counts and not self.snapshot.ending_counts
        return is_first or slowest_s <= max(model.warm_s, readiness.REJOIN_TIME_S)

    def _placement_cost(self, model: table.Model, domain: str) -> tuple:
        members = _select_members(model, self._free_servers[domain])
        zone = members[0].zone
        return (
            round(max(readiness.join_time_s(member, model) for member in members), 1),
            self._displaced_larger_groups(model, domain),
            self._domain_counts.get((model.name, domain), 0),
            self._zone_counts.get((model.name, zone), 0),
            -len(self._free_servers[domain]),
            domain,
        )

    def _displaced_larger_groups(self, model: table.Model, domain: str) -> int:
        """Return how many groups of larger underprovisioned models would no longer fit.

        Small groups spread over all domains would leave no domain with room for a large group.
        """
        before = len(self._free_servers[domain])
        after = before - model.size
        return sum(
            before // larger.size - after // larger.size
            for larger in self.snapshot.engine.models
            if larger.size > model.size and self._is_underprovisioned(larger)
        )

    def _is_underprovisioned(self, model: table.Model) -> bool:
        return self.group_counts.get(model.name, 0) + 0.5 < self.target_counts[model.name]

    def _record_placement(self, placement: Placement) -> None:
        head = placement.members[0]
        self.group_counts[placement.model] = self.group_counts.get(placement.model, 0) + 1
        for counts, location in (
            (self._zone_counts, head.zone),
            (self._domain_counts, head.domain),
        ):
            key = placement.model, location
            counts[key] = counts.get(key, 0) + 1
        for member in placement.members:
            self._free_servers[member.domain].remove(member)

    def _coverage(self, model: str) -> float:
        return self.group_counts.get(model, 0) / self.target_counts[model]

    def _model_to_preload(self, ready_counts: collections.abc.Mapping[str, int]) -> table.Model:
        # Spares complete groups that lost members, so a domain needs some for each model, and more
        # for underprovisioned models. Models whose loaded servers are closest to a whole group
        # come first.
        def preload_cost(model: table.Model) -> tuple[float, float, int]:
            loaded_fraction = ready_counts[model.name] / model.size
            missing_fraction = (
                1 - loaded_fraction
                if loaded_fraction < 1 and self._is_underprovisioned(model)
                else 1.0
            )
            return missing_fraction, loaded_fraction + self._coverage(model.name), -model.size

        return min(self.snapshot.engine.models, key=preload_cost)


def _select_members(model: table.Model, free_servers: list[servers.Server]) -> list[servers.Server]:
    def join_cost(server: servers.Server) -> tuple:
        return readiness.join_time_s(server, model), server.cold_until_s, server.server_id

    return sorted(free_servers, key=join_cost)[: model.size]
