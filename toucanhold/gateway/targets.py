"""Which backend servers may get a request, and which of them should."""

from __future__ import annotations

import collections
import collections.abc
import random

import attrs
import trio

from toucanhold.gateway import budget, health, load
from toucanhold.registry import registry, servers
from toucanhold.replicas import records
from toucanhold.routes import table

# What a server in another availability zone must be emptier by, as a part of its slots: bytes
# between zones are dear, and a millisecond each way is not.
OTHER_ZONE_PART = 0.25
# What a share of failures weighs, in requests: a server that fails two in five gets work only
# when the others have four requests more.
FAILURE_LOAD = 10.0


@attrs.define(eq=False)
class ServerSelector:
    """The servers of a service that serve now.

    :ivar zone: this entry's availability zone
    :ivar closed_zones: zones that get no work
    :ivar placement_counts: requests placed, by whether the server is in another zone
    """

    known: registry.Registry
    board: records.GroupBoard
    loads: load.LoadTracker
    health: health.Health
    cold: budget.ColdBudget
    closed_zones: collections.abc.Set[str]
    zone: str
    rng: random.Random
    placement_counts: collections.Counter[bool] = attrs.field(
        factory=collections.Counter, init=False
    )
    # To go through all members of all groups anew for each request took most of a choice's time.
    _found: dict[tuple[str, str], list[servers.Server]] = attrs.field(factory=dict, init=False)
    _found_version: tuple[int, int] = attrs.field(default=(-1, -1), init=False)

    def note_placed(self, server: servers.Server) -> None:
        """Count a request that a server gets."""
        self.loads.add(server.server_id)
        self.placement_counts[server.zone != self.zone] += 1
        if server.cold_until_s > trio.current_time():
            self.cold.note(server.server_id)

    def find(self, service: table.Service, model: str) -> list[servers.Server]:
        """Return the servers that may get a request now, with room or without."""
        version = self.known.version, self.board.version
        if version != self._found_version:
            self._found_version = version
            self._found.clear()
        key = service.name, model
        if key not in self._found:
            self._found[key] = self._serving(service, model)
        return [server for server in self._found[key] if server.zone not in self.closed_zones]

    def choose(
        self,
        service: table.Service,
        found: list[servers.Server],
        avoid: collections.abc.Set[str],
    ) -> servers.Server | None:
        """Return the best server with room, or None."""
        fit = [server for server in found if server.server_id not in avoid] or found
        sound = [server for server in fit if not self.health.is_avoided(server.server_id)]
        # Of those that failed just now one may be sound; those that failed again are not.
        tried = [server for server in fit if not self.health.is_given_up(server.server_id)]
        if service.engine is None:
            tried = tried or fit
        open_to = [server for server in sound or tried if self._has_room(service, server)]
        return min(open_to, key=lambda server: self._rank(service, server), default=None)

    def may_serve_soon(self, service: table.Service, model: str) -> bool:
        """Tell whether a group of the model is being formed."""
        if service.engine is None:
            return False
        return any(
            group.record.service == service.name
            and group.record.model == model
            and not group.is_ending
            for group in self.board.groups.values()
        )

    def _serving(self, service: table.Service, model: str) -> list[servers.Server]:
        if service.engine is not None:
            found = self._heads(service, model)
        else:
            found = self.known.of_service(service.name)
        return [server for server in found if not server.is_leaving]

    def _heads(self, service: table.Service, model: str) -> list[servers.Server]:
        return [
            self.known.servers[group.head.server_id]
            for group in self.board.groups.values()
            if group.record.service == service.name
            and group.record.model == model
            and not group.is_ending
            and group.is_open(self.known)
        ]

    def _has_room(self, service: table.Service, server: servers.Server) -> bool:
        if self.loads.estimate(server.server_id) >= _slots(service, server):
            return False
        if server.cold_until_s > trio.current_time():
            return self.cold.may_send(server, service.cold_requests_per_s)
        return True

    def _rank(self, service: table.Service, server: servers.Server) -> tuple[float, float]:
        weight = float(self.loads.estimate(server.server_id))
        weight += FAILURE_LOAD * self.health.failure_share(server.server_id)
        if server.zone != self.zone:
            weight += OTHER_ZONE_PART * _slots(service, server)
        return weight, self.rng.random()


def _slots(service: table.Service, server: servers.Server) -> int:
    return service.engine.slots if service.engine is not None else server.slots
