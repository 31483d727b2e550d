"""Tracks failure rates of backend servers and which of them to avoid."""

from __future__ import annotations

import logging
import math

import attrs
import trio

from toucanhold import events

# Time constant of the exponential decay of outcomes: long enough to cover several outcomes at the
# lowest rates (one per second), short enough for a server's failures to stop counting a few seconds
# after it has recovered.
DECAY_TIME_S = 4.0
# A server that could not be reached, or whose streams have all fallen silent, is avoided for this
# long at first.
INITIAL_AVOIDANCE_S = 1.5
# The time doubles with each further failure before a successful response, up to this limit. A dead
# head stays registered for seconds, or throughout an outage of the key-value service, and each
# attempt on it costs the request 0.3 s and consumes retries that all requests share.
MAX_AVOIDANCE_S = 12.0

LOGGER = logging.getLogger(__name__)


@attrs.define
class _OutcomeCounts:
    """Exponentially decayed numbers of requests; ``updated_s`` is a trio clock time."""

    failed: float = 0.0
    total: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = math.exp((self.updated_s - now_s) / DECAY_TIME_S)
        self.failed *= factor
        self.total *= factor
        self.updated_s = now_s


@attrs.define(eq=False)
class Health:
    """Outcomes of requests and avoidance periods, by server ID."""

    _outcomes: dict[str, _OutcomeCounts] = attrs.field(factory=dict, init=False)
    _consecutive_failures: dict[str, int] = attrs.field(factory=dict, init=False)
    _avoid_until_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_outcome(self, server_id: str, is_failure: bool) -> None:
        """Count a request's outcome; a success resets the server's consecutive failures."""
        outcomes = self._outcomes.setdefault(
            server_id, _OutcomeCounts(updated_s=trio.current_time())
        )
        outcomes.decay(trio.current_time())
        outcomes.total += 1
        outcomes.failed += is_failure
        if not is_failure:
            self._consecutive_failures.pop(server_id, None)

    def failure_rate(self, server_id: str) -> float:
        """Return the smoothed fraction of recent requests that failed, from 0 to 1."""
        outcomes = self._outcomes.get(server_id)
        if outcomes is None:
            return 0.0
        outcomes.decay(trio.current_time())
        # Two successes are assumed in addition, so that one failure alone does not divert all
        # requests from a server.
        return outcomes.failed / (outcomes.total + 2)

    def avoid(self, server_id: str, reason: str, initial_s: float = INITIAL_AVOIDANCE_S) -> None:
        """Avoid a server temporarily if others are available.

        :param reason: logged
        :param initial_s: avoidance period after the first failure; doubled with each further one
        """
        if self.is_avoided(server_id):
            return
        failures = self._consecutive_failures.get(server_id, 0)
        self._consecutive_failures[server_id] = failures + 1
        for_s = min(MAX_AVOIDANCE_S, initial_s * 2**failures)
        events.log(
            LOGGER,
            events.Event.SERVER_SUSPECTED,
            server=server_id,
            reason=reason,
            for_s=for_s,
            times=failures + 1,
        )
        self._avoid_until_s[server_id] = trio.current_time() + for_s

    def stop_avoiding(self, server_id: str) -> None:
        """Stop avoiding a server; the next avoidance still lasts longer until a success."""
        self._avoid_until_s.pop(server_id, None)

    def has_failed_repeatedly(self, server_id: str) -> bool:
        """Return whether a server is avoided after more than one consecutive failure."""
        return self._consecutive_failures.get(server_id, 0) > 1 and self.is_avoided(server_id)

    def is_avoided(self, server_id: str) -> bool:
        """Return whether a server is avoided now."""
        until_s = self._avoid_until_s.get(server_id)
        if until_s is None:
            return False
        if until_s <= trio.current_time():
            del self._avoid_until_s[server_id]
            return False
        return True

    def avoided(self) -> list[str]:
        """Return the IDs of the servers that are avoided now."""
        return [name for name in list(self._avoid_until_s) if self.is_avoided(name)]
