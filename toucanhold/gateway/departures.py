"""Keeps which backend servers say that they leave, and tells other entries."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import registry, servers, signals

# Departures are repeated to other entries for this long: notices may be lost, and each holds only
# some of many departures.
REPEAT_PERIOD_S = 10.0
MAX_DEPARTURES = 4096

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Departure:
    """A server that leaves, as entries tell each other.

    :ivar born_ms: start of the server's process
    """

    server_id: str
    born_ms: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """See :attr:`servers.Server.incarnation`."""
        return self.server_id, self.born_ms


@attrs.define(eq=False)
class DepartureTable(signals.ServerObserver):
    """Marks servers as leaving in the registry when they or other entries say so.

    The key-value service may say so later, or never: it may be out, and some servers do not
    announce there that they leave.
    """

    server_registry: registry.Registry
    _learned_s: dict[Departure, float] = attrs.field(factory=dict, init=False)

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`signals.ServerObserver`."""

    def observe(self, server: servers.Server, observed: signals.Signals, sent_s: float) -> None:
        """See :class:`signals.ServerObserver`."""
        if observed.is_leaving:
            self._record(Departure(server.server_id, server.born_ms), "")

    def merge(self, departure: Departure, entry: str) -> None:
        """Process what another entry knows.

        :param entry: name of that entry
        """
        self._record(departure, entry)

    def to_tell(self) -> list[Departure]:
        """Return the departures to tell to other entries, the latest first."""
        oldest_s = trio.current_time() - REPEAT_PERIOD_S
        told = []
        for departure, learned_s in reversed(self._learned_s.items()):
            if learned_s < oldest_s:
                break
            told.append(departure)
        return told

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone, once others no longer tell of them."""
        oldest_s = trio.current_time() - 2 * REPEAT_PERIOD_S
        for departure, learned_s in list(self._learned_s.items()):
            if learned_s < oldest_s and not is_known(departure.incarnation):
                del self._learned_s[departure]

    def _record(self, departure: Departure, entry: str) -> None:
        if departure in self._learned_s:
            return
        if len(self._learned_s) >= MAX_DEPARTURES:
            del self._learned_s[next(iter(self._learned_s))]
        self._learned_s[departure] = trio.current_time()
        events.log(
            LOGGER,
            events.Event.SERVER_LEAVES,
            server=departure.server_id,
            told_by=entry or None,
        )
        self.server_registry.mark_leaving(departure.incarnation)
