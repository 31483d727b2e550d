"""Keeps the rate limits that backend servers name."""

from __future__ import annotations

import collections
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import servers, signals

# Period over which requests to a server with a limit are counted.
WINDOW_S = 4.0
USE_LOG_INTERVAL_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class NamedLimit:
    """What is known of a server's limit.

    :ivar rate_per_s: requests per second that the server takes from all entries together; None
        after the limit was lifted
    :ivar learned_s: trio clock time at which this entry learned of it
    """

    rate_per_s: float | None
    learned_s: float


@attrs.define(eq=False)
class LimitTable(signals.SignalObserver):
    """Rate limits by server, as the servers' answers name them."""

    _limits: dict[tuple[str, int], NamedLimit] = attrs.field(factory=dict, init=False)
    _sent_times_s: dict[str, collections.deque[float]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque), init=False
    )
    _use_logged_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def observe(self, server: servers.Server, observed: signals.Signals, sent_s: float) -> None:
        """See :class:`signals.SignalObserver`."""
        known = self._limits.get(server.incarnation)
        rate_per_s = observed.rate_limit_per_s
        if observed.is_rate_limit_unreadable or rate_per_s == (known and known.rate_per_s):
            return
        # Answers may overtake each other: one to an earlier request does not lift a limit.
        if rate_per_s is None and known is not None and sent_s < known.learned_s:
            return
        self._limits[server.incarnation] = NamedLimit(rate_per_s, trio.current_time())
        is_lifted = rate_per_s is None
        events.log(
            LOGGER,
            events.Event.SERVER_LIMIT_LIFTED if is_lifted else events.Event.SERVER_LIMIT_NAMED,
            server=server.server_id,
            limit_per_s=rate_per_s,
            placed=self.placed_count(server.server_id),
        )

    def rate_per_s(self, server: servers.Server) -> float | None:
        """Return a server's limit in requests per second, or None if it has none."""
        known = self._limits.get(server.incarnation)
        return known.rate_per_s if known is not None else None

    def limited_count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(known.rate_per_s is not None for known in self._limits.values())

    def placed_count(self, server_id: str) -> int:
        """Return the number of this entry's requests to a server within ``WINDOW_S``."""
        sent_times_s = self._sent_times_s[server_id]
        while sent_times_s and sent_times_s[0] < trio.current_time() - WINDOW_S:
            sent_times_s.popleft()
        return len(sent_times_s)

    def record_request(self, server: servers.Server) -> None:
        """Count a request of this entry to a server."""
        now_s = trio.current_time()
        placed = self.placed_count(server.server_id) + 1
        self._sent_times_s[server.server_id].append(now_s)
        limit_per_s = self.rate_per_s(server)
        last_logged_s = self._use_logged_s.get(server.server_id, float("-inf"))
        if limit_per_s is None or now_s - last_logged_s < USE_LOG_INTERVAL_S:
            return
        self._use_logged_s[server.server_id] = now_s
        events.log(
            LOGGER,
            events.Event.LIMITED_SERVER_USED,
            server=server.server_id,
            limit_per_s=limit_per_s,
            placed=placed,
        )
