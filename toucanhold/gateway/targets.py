"""Selects the backend server that a request is sent to."""

from __future__ import annotations

import collections
import collections.abc
import math
import random

import attrs
import trio

from toucanhold.gateway import budget, health, load, rate_limiter, selection
from toucanhold.registry import backoffs, registry, servers
from toucanhold.replicas import records
from toucanhold.routes import table

# Load added to servers in other availability zones, as a fraction of their slots. Traffic between
# zones is expensive; the additional millisecond each way is not.
OTHER_ZONE_PENALTY_FRACTION = 0.25
# Load added to a server with a failure rate of 1, and in proportion below. A server that fails two
# in five requests is chosen only if the others have four more requests in flight.
FAILURE_PENALTY_REQUESTS = 10.0


@attrs.frozen
class Restrictions:
    """How rate limits and backoffs of servers restrict this entry's requests.

    :ivar rate_per_s: rate at which this entry may send to servers without a backoff; infinity if
        one of them has no limit, or if there are no servers
    :ivar shortest_backoff_s: time until the first of the others may be used; infinity if there are
        none
    """

    rate_per_s: float
    shortest_backoff_s: float

    def wait_s(self, queued_count: int) -> float:
        """Return how long a request must wait at least that so many others go before."""
        until_rate_allows_s = queued_count / self.rate_per_s if self.rate_per_s else math.inf
        return min(until_rate_allows_s, self.shortest_backoff_s)


@attrs.define(eq=False)
class ServerSelector:
    """Selects servers by load, failure rate and availability zone.

    :ivar server_registry: registered backend servers
    :ivar group_table: groups of backend servers, whose heads serve models
    :ivar cold_budget: limits requests to servers that have just started
    :ivar closed_zones: availability zones whose servers get no requests
    :ivar rate_limiter: limits requests to servers that name a limit
    :ivar backoff_table: servers that this entry must not send to for a time
    :ivar zone: this entry's availability zone
    :ivar policies: optional policies
    :ivar placement_counts: number of requests placed, by whether the server is in another zone
    """

    server_registry: registry.Registry
    group_table: records.GroupTable
    load_tracker: load.LoadTracker
    health: health.Health
    cold_budget: budget.ColdBudget
    closed_zones: collections.abc.Set[str]
    rate_limiter: rate_limiter.RateLimiter
    backoff_table: backoffs.BackoffTable
    zone: str
    rng: random.Random
    policies: collections.abc.Sequence[selection.SelectionPolicy] = ()
    placement_counts: collections.Counter[bool] = attrs.field(
        factory=collections.Counter, init=False
    )
    # Cached by service and model, because checking all members of all groups for each request took
    # most of the time of a selection.
    _candidates: dict[tuple[str, str], list[servers.Server]] = attrs.field(factory=dict, init=False)
    _forming: dict[tuple[str, str], bool] = attrs.field(factory=dict, init=False)
    _candidates_version: tuple[int, int] = attrs.field(default=(-1, -1), init=False)

    def record_placement(self, service: table.Service, server: servers.Server) -> None:
        """Count a request that is placed on a server."""
        for policy in self.policies:
            policy.record_placement(service, server)
        self.load_tracker.add(server.server_id)
        self.rate_limiter.record_request(server)
        self.placement_counts[server.zone != self.zone] += 1
        if server.cold_until_s > trio.current_time():
            self.cold_budget.record_request(server.server_id)

    def find_candidates(self, service: table.Service, model: str) -> list[servers.Server]:
        """Return the servers that serve a model now, whether or not they have capacity.

        :param model: ignored for services without models
        """
        self._clear_outdated()
        key = service.name, model
        if key not in self._candidates:
            self._candidates[key] = self._serving_servers(service, model)
        return [server for server in self._candidates[key] if server.zone not in self.closed_zones]

    def find_usable(self, service: table.Service, model: str) -> list[servers.Server]:
        """Return the candidates that this entry does not avoid because of failures."""
        return [
            server
            for server in self.find_candidates(service, model)
            if not self.health.is_avoided(server.server_id)
        ]

    def choose(
        self,
        service: table.Service,
        candidates: list[servers.Server],
        excluded: collections.abc.Set[str],
    ) -> servers.Server | None:
        """Return the best server with capacity, or None; a trial that is due goes first.

        :param candidates: servers to choose from
        :param excluded: IDs of servers to use only if there are no others
        """
        suspended = [server for server in candidates if self.is_suspended(server)]
        if not suspended:
            return self._choose_serving(service, candidates, excluded)
        serving = [server for server in candidates if server not in suspended]
        chosen = self._choose_serving(service, serving, excluded)
        # A request that has failed at a server is not delayed again by a trial.
        if chosen is not None and excluded:
            return chosen
        return self._due_trial(service, candidates, excluded, chosen is None) or chosen

    def is_suspended(self, server: servers.Server) -> bool:
        """Return whether a request that is placed on a server now is a trial."""
        return any(policy.is_suspended(server) for policy in self.policies)

    def has_capacity(self, service: table.Service, candidates: list[servers.Server]) -> bool:
        """Return whether a server that is not suspended has capacity now."""
        serving = [server for server in candidates if not self.is_suspended(server)]
        return self._choose_serving(service, serving, frozenset()) is not None

    def choose_sound(
        self,
        service: table.Service,
        model: str,
        excluded: collections.abc.Set[str],
        preferred: collections.abc.Set[str],
    ) -> servers.Server | None:
        """Return the best server that is neither avoided nor suspended nor excluded, or None.

        :param preferred: IDs of servers that are better than all others
        """
        sound = [
            server
            for server in self.find_usable(service, model)
            if server.server_id not in excluded and not self.is_suspended(server)
        ]
        best = [server for server in sound if server.server_id in preferred]
        return self._choose_serving(service, best, frozenset()) or self._choose_serving(
            service, sound, frozenset()
        )

    def _due_trial(
        self,
        service: table.Service,
        candidates: list[servers.Server],
        excluded: collections.abc.Set[str],
        is_waiting: bool,
    ) -> servers.Server | None:
        due = [
            server
            for policy in self.policies
            for server in policy.due_trials(service, candidates, is_waiting)
            if self._has_capacity(service, server)
        ]
        untried = [server for server in due if server.server_id not in excluded]
        return next(iter(untried or due), None)

    def _choose_serving(
        self,
        service: table.Service,
        candidates: list[servers.Server],
        excluded: collections.abc.Set[str],
    ) -> servers.Server | None:
        allowed = [
            server for server in candidates if server.server_id not in excluded
        ] or candidates
        healthy = [server for server in allowed if not self.health.is_avoided(server.server_id)]
        # If all are avoided, one that has failed once may still be healthy; one that has failed
        # repeatedly is not.
        fallback = [
            server for server in allowed if not self.health.has_failed_repeatedly(server.server_id)
        ]
        if service.engine is None:
            fallback = fallback or allowed
        available = [
            server for server in healthy or fallback if self._has_capacity(service, server)
        ]
        return min(
            available, key=lambda server: self._placement_cost(service, server), default=None
        )

    def has_free_slot(self, service: table.Service, server: servers.Server) -> bool:
        """Return whether the requests in flight at a server, with those of this entry, fit it."""
        return self.load_tracker.estimate(server.server_id) <= selection.slot_count(service, server)

    def model_load(self, service: table.Service) -> tuple[dict[str, float], dict[str, float]]:
        """Return the slots in use at all entries and the slots of open groups, by model.

        Requests beyond a head's slots do not count: heads that stopped serving collect requests.
        """
        assert service.engine is not None
        slots = service.engine.slots
        used: dict[str, float] = {}
        available: dict[str, float] = {}
        for model in service.engine.models:
            heads = self.find_candidates(service, model.name)
            in_flight = (self.load_tracker.estimate(head.server_id) for head in heads)
            used[model.name] = float(sum(min(count, slots) for count in in_flight))
            available[model.name] = float(slots * len(heads))
        return used, available

    def restrictions(self, service: table.Service, model: str) -> Restrictions:
        """Return how servers of a service and model restrict this entry's requests now."""
        candidates = self.find_candidates(service, model)
        backoffs_s = []
        rate_per_s = 0.0 if candidates else math.inf
        for server in candidates:
            if backoff_s := self.backoff_table.remaining_s(server):
                backoffs_s.append(backoff_s)
            else:
                rate_per_s += self.rate_limiter.sustained_rate_per_s(server)
        return Restrictions(rate_per_s, min(backoffs_s, default=math.inf))

    def is_group_forming(self, service: table.Service, model: str) -> bool:
        """Return whether a group that serves the model exists or is being formed."""
        if service.engine is None:
            return False
        return any(
            group.record.service == service.name
            and group.record.model == model
            and not group.is_ending
            for group in self.group_table.groups.values()
        )

    def has_forming_group(self, service: table.Service, model: str) -> bool:
        """Return whether a group that will serve the model does not serve it yet."""
        if service.engine is None:
            return False
        self._clear_outdated()
        key = service.name, model
        if key not in self._forming:
            self._forming[key] = any(
                (group.record.service, group.record.model) == key
                and not group.is_ending
                and not group.is_open(self.server_registry)
                for group in self.group_table.groups.values()
            )
        return self._forming[key]

    def _clear_outdated(self) -> None:
        version = self.server_registry.version, self.group_table.version
        if version != self._candidates_version:
            self._candidates_version = version
            self._candidates.clear()
            self._forming.clear()

    def _serving_servers(self, service: table.Service, model: str) -> list[servers.Server]:
        if service.engine is not None:
            candidates = self._open_heads(service, model)
        else:
            candidates = self.server_registry.of_service(service.name)
        return [server for server in candidates if not server.is_leaving]

    def _open_heads(self, service: table.Service, model: str) -> list[servers.Server]:
        return [
            self.server_registry.servers[group.head.server_id]
            for group in self.group_table.groups.values()
            if group.record.service == service.name
            and group.record.model == model
            and not group.is_ending
            and group.is_open(self.server_registry)
        ]

    def _has_capacity(self, service: table.Service, server: servers.Server) -> bool:
        slots = selection.slot_count(service, server)
        in_flight = self.load_tracker.estimate(server.server_id)
        if in_flight >= slots or any(
            in_flight >= policy.slot_limit(service, server, slots) for policy in self.policies
        ):
            return False
        if not all(policy.is_usable(service, server) for policy in self.policies):
            return False
        if self.backoff_table.remaining_s(server) or not self.rate_limiter.may_send(server):
            return False
        if server.cold_until_s > trio.current_time():
            return self.cold_budget.may_send(server, service.cold_requests_per_s)
        return True

    def _placement_cost(
        self, service: table.Service, server: servers.Server
    ) -> tuple[float, float]:
        cost = float(self.load_tracker.estimate(server.server_id))
        cost += FAILURE_PENALTY_REQUESTS * self.health.failure_rate(server.server_id)
        if server.zone != self.zone:
            cost += OTHER_ZONE_PENALTY_FRACTION * selection.slot_count(service, server)
        cost += sum(policy.cost(service, server) for policy in self.policies)
        return cost, self.rng.random()
