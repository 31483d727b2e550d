"""Keeps which backend servers want no requests from this entry for a time."""

from __future__ import annotations

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import servers, signals

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class RestTable(signals.ServerObserver):
    """Servers that asked this entry for rest, with the end of it."""

    _until_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _excepted: set[tuple[str, int]] = attrs.field(factory=set, init=False)

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`signals.ServerObserver`."""

    def observe(self, server: servers.Server, observed: signals.Signals, sent_s: float) -> None:
        """See :class:`signals.ServerObserver`."""
        if not observed.rest_s:
            return
        self._forget_ended()
        until_s = trio.current_time() + observed.rest_s
        if server.incarnation not in self._until_s:
            events.log(
                LOGGER,
                events.Event.SERVER_RESTS,
                server=server.server_id,
                rest_s=round(observed.rest_s, 3),
            )
        self._until_s[server.incarnation] = max(
            until_s, self._until_s.get(server.incarnation, until_s)
        )

    def remaining_s(self, server: servers.Server) -> float:
        """Return for how long a server wants no requests from this entry, in seconds."""
        until_s = self._until_s.get(server.incarnation)
        return max(0.0, until_s - trio.current_time()) if until_s is not None else 0.0

    def take_exception(self, server: servers.Server) -> bool:
        """Return whether one order may be sent to a server that rests; once in each rest."""
        if server.incarnation in self._excepted:
            return False
        self._excepted.add(server.incarnation)
        return True

    def _forget_ended(self) -> None:
        now_s = trio.current_time()
        for incarnation in [each for each, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[incarnation]
            self._excepted.discard(incarnation)
