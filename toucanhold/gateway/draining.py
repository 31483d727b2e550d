"""Marks backend servers as draining when their answers say so, and notifies other entries."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import registry, servers, signals

# Repeated to other entries for this long: notices may be lost, and hold only some of many servers.
REPEAT_PERIOD_S = 10.0
MAX_SERVERS = 4096

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class DrainingServer:
    """A draining server, as entries announce it to each other.

    :ivar born_ms: start of the server's process
    """

    server_id: str
    born_ms: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """See :attr:`servers.Server.incarnation`."""
        return self.server_id, self.born_ms


@attrs.define(eq=False)
class DrainingTable(signals.ServerObserver):
    """Servers that were reported as draining, which it marks in the registry.

    Their registrations may show it later, or never: the key-value service may be unavailable, and
    some servers do not update their registration before they stop.
    """

    server_registry: registry.Registry
    _learned_s: dict[DrainingServer, float] = attrs.field(factory=dict, init=False)

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`signals.ServerObserver`."""

    def observe(self, server: servers.Server, observed: signals.Signals, sent_s: float) -> None:
        """See :class:`signals.ServerObserver`."""
        if observed.is_leaving:
            self._record(DrainingServer(server.server_id, server.born_ms), "")

    def merge(self, server: DrainingServer, entry: str) -> None:
        """Process a draining server that another entry reports.

        :param entry: name of that entry
        """
        self._record(server, entry)

    def to_announce(self) -> list[DrainingServer]:
        """Return the servers to announce to other entries, the latest first."""
        oldest_s = trio.current_time() - REPEAT_PERIOD_S
        announced = []
        for server, learned_s in reversed(self._learned_s.items()):
            if learned_s < oldest_s:
                break
            announced.append(server)
        return announced

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone, once other entries no longer announce them."""
        oldest_s = trio.current_time() - 2 * REPEAT_PERIOD_S
        for server, learned_s in list(self._learned_s.items()):
            if learned_s < oldest_s and not is_known(server.incarnation):
                del self._learned_s[server]

    def _record(self, server: DrainingServer, entry: str) -> None:
        if server in self._learned_s:
            return
        if len(self._learned_s) >= MAX_SERVERS:
            del self._learned_s[next(iter(self._learned_s))]
        self._learned_s[server] = trio.current_time()
        events.log(
            LOGGER,
            events.Event.SERVER_DRAINING,
            server=server.server_id,
            reported_by=entry or None,
        )
        self.server_registry.mark_leaving(server.incarnation)
