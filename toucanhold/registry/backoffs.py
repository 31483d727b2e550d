"""Tracks backend servers that asked this entry to send nothing for a time."""

from __future__ import annotations

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import servers, signals

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class BackoffTable(signals.ServerObserver):
    """End of the backoff of each server that asked for one."""

    _until_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _excepted: set[tuple[str, int]] = attrs.field(factory=set, init=False)

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`signals.ServerObserver`."""

    def observe(self, server: servers.Server, observed: signals.Signals, sent_s: float) -> None:
        """See :class:`signals.ServerObserver`."""
        if not observed.backoff_s:
            return
        self._forget_ended()
        until_s = trio.current_time() + observed.backoff_s
        if server.incarnation not in self._until_s:
            events.log(
                LOGGER,
                events.Event.SERVER_BACKOFF,
                server=server.server_id,
                backoff_s=round(observed.backoff_s, 3),
            )
        self._until_s[server.incarnation] = max(until_s, self._until_s.get(server.incarnation, 0.0))

    def remaining_s(self, server: servers.Server) -> float:
        """Return the remaining backoff of a server in seconds; 0 if it has none."""
        until_s = self._until_s.get(server.incarnation)
        return max(0.0, until_s - trio.current_time()) if until_s is not None else 0.0

    def allow_one_order(self, server: servers.Server) -> bool:
        """Return whether an order may be sent despite a backoff; true once in each backoff."""
        if server.incarnation in self._excepted:
            return False
        self._excepted.add(server.incarnation)
        return True

    def _forget_ended(self) -> None:
        now_s = trio.current_time()
        for incarnation in [each for each, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[incarnation]
            self._excepted.discard(incarnation)
