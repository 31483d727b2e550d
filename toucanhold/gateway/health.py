"""What the outcomes of requests tell of backend servers."""

from __future__ import annotations

import logging
import math

import attrs
import trio

from toucanhold import events

# Long enough for some outcomes of each server at the lowest rates (one a second), short enough to
# forgive a server a few seconds after it has recovered.
DECAY_TIME_S = 4.0
# A server that could not be reached, or whose streams all fell silent, is passed over this long.
INITIAL_AVOIDANCE_S = 1.5
# Each time that it fails again before it has answered anything, it is passed over for twice as
# long: a dead head stays registered for seconds, and through an outage of the store for as long as
# that lasts. Each try costs its request 0.3 s and everybody a part of the budget of retries.
MAX_AVOIDANCE_S = 12.0

LOGGER = logging.getLogger(__name__)


@attrs.define
class _OutcomeCounts:
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
    """Failures and silences, by server."""

    _outcomes: dict[str, _OutcomeCounts] = attrs.field(factory=dict, init=False)
    _consecutive_failures: dict[str, int] = attrs.field(factory=dict, init=False)
    _avoid_until_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_outcome(self, server_id: str, is_failure: bool) -> None:
        """Count an outcome."""
        outcomes = self._outcomes.setdefault(
            server_id, _OutcomeCounts(updated_s=trio.current_time())
        )
        outcomes.decay(trio.current_time())
        outcomes.total += 1
        outcomes.failed += is_failure
        if not is_failure:
            self._consecutive_failures.pop(server_id, None)

    def failure_rate(self, server_id: str) -> float:
        """Return the share of recent requests that failed; few requests count for little."""
        outcomes = self._outcomes.get(server_id)
        if outcomes is None:
            return 0.0
        outcomes.decay(trio.current_time())
        # Two good outcomes are taken for granted: one failure alone must not empty a server.
        return outcomes.failed / (outcomes.total + 2)

    def avoid(self, server_id: str, reason: str, initial_s: float = INITIAL_AVOIDANCE_S) -> None:
        """Pass a server over for a while, where there are others."""
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

    def has_failed_repeatedly(self, server_id: str) -> bool:
        """Tell whether a server is passed over for more than one failure in a row."""
        return self._consecutive_failures.get(server_id, 0) > 1 and self.is_avoided(server_id)

    def is_avoided(self, server_id: str) -> bool:
        """Tell whether a server is passed over now."""
        until_s = self._avoid_until_s.get(server_id)
        if until_s is None:
            return False
        if until_s <= trio.current_time():
            del self._avoid_until_s[server_id]
            return False
        return True

    def avoided(self) -> list[str]:
        """Return the servers that are passed over now."""
        return [name for name in list(self._avoid_until_s) if self.is_avoided(name)]
