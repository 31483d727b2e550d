"""Defines the policies that influence which server a request is placed on."""

from __future__ import annotations

from toucanhold.registry import servers
from toucanhold.routes import table


class SelectionPolicy:
    """Restricts and weighs the servers that may serve a request.

    All methods are optional: by default, they have no effect.
    """

    def is_usable(self, service: table.Service, server: servers.Server) -> bool:
        """Return whether a server may get one more request of this entry."""
        return True

    def is_suspended(self, server: servers.Server) -> bool:
        """Return whether a server gets trials only, from any entry."""
        return False

    def due_trials(
        self, service: table.Service, candidates: list[servers.Server], is_waiting: bool
    ) -> list[servers.Server]:
        """Return the suspended servers that this entry may send a trial to now, in order.

        :param candidates: all servers that could serve the request, with those not suspended
        :param is_waiting: whether no other server has capacity
        """
        return []

    def slot_limit(self, service: table.Service, server: servers.Server, slots: int) -> int:
        """Return up to how many requests in flight this entry may place one more on a server.

        :param slots: number of slots of the server
        """
        return slots

    def cost(self, service: table.Service, server: servers.Server) -> float:
        """Return a server's disadvantage, as a number of requests in flight."""
        return 0.0

    def record_placement(self, service: table.Service, server: servers.Server) -> None:
        """Process that a request is placed on a server."""


def slot_count(service: table.Service, server: servers.Server) -> int:
    """Return the number of slots of a server, or of the group that it heads."""
    return service.engine.slots if service.engine is not None else server.slots
