"""Limits retries to a small share of all requests."""

import attrs

TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 10.0


@attrs.define(eq=False)
class RetryBudget:
    """A token bucket that first attempts fill and retries drain."""

    _tokens: float = MAX_RETRY_TOKENS

    def record_request(self) -> None:
        """Add the tokens that a first attempt earns."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    @property
    def has_remaining(self) -> bool:
        """Whether a token for a retry is left."""
        return self._tokens >= 1

    def try_acquire(self) -> bool:
        """Take one token for a retry; return False if there is none."""
        # When every backend server fails, retries would multiply the load that made them fail.
        if not self.has_remaining:
            return False
        self._tokens -= 1
        return True

    def release(self) -> None:
        """Give back the token of a retry that was not made."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + 1)
