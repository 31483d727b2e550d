"""A budget that keeps retries a small share of all requests."""

import attrs

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0


@attrs.define(eq=False)
class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    _tokens: float = MAX_SAVED_RETRIES

    def note_request(self) -> None:
        """Earn for a first attempt."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_REQUEST)

    def take(self) -> bool:
        """Pay for one retry; false where there is nothing left."""
        # When every backend server fails, retries would multiply the load that made them fail.
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
