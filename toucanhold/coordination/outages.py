"""Tells an outage of the key-value service from single calls that fail.

This module does no I/O. A watch that waits may be cut at any time, and one connection may be lost,
while the service answers all other calls.
"""

from __future__ import annotations

import attrs

from toucanhold import clock

# No registration lapses while calls fail for a shorter time.
MIN_OUTAGE_S = 0.5
# The call after a failed one does not wait for changes, so it is not a watch that may be cut.
MIN_FAILURES = 2


@attrs.define(eq=False)
class OutageDetector:
    """Outcomes of calls to the service.

    :ivar away_at: when an outage was last noticed or ended
    """

    away_at: clock.Instant = attrs.field(default=clock.DISTANT_PAST, init=False)
    _failures: int = attrs.field(default=MIN_FAILURES, init=False)
    _failing_since: clock.Instant | None = attrs.field(default=clock.DISTANT_PAST, init=False)
    _answered_at: clock.Instant = attrs.field(default=clock.DISTANT_PAST, init=False)

    @property
    def is_away(self) -> bool:
        """Whether the service does not answer, as far as is known."""
        return self._failures >= MIN_FAILURES

    def record_answer(self) -> None:
        """Record that the service has answered a call of any kind."""
        # The outage may have ended only now. Counting from the last failed call would leave too
        # little time for registrations that expired in the outage to be renewed, and none at all
        # where the calls were seconds apart.
        self._update_outage()
        self._failures, self._failing_since = 0, None
        self._answered_at = clock.now()

    def record_failure(self, due_at: clock.Instant) -> None:
        """Record that a call which was repeated without a pause has failed.

        :param due_at: when an answer was due, if it was due before the call failed
        """
        self._failures += 1
        if self._failing_since is None:
            overdue_s = max(0.0, due_at.age_s())
            now = clock.now()
            self._failing_since = attrs.evolve(now, monotonic_s=now.monotonic_s - overdue_s)
            if self._answered_at.age_s() < overdue_s:
                self._failing_since = self._answered_at
        self._update_outage()

    def _update_outage(self) -> None:
        if self._failing_since is not None and self._failing_since.age_s() >= MIN_OUTAGE_S:
            self.away_at = clock.now()
