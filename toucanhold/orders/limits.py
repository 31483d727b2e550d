"""Limits the rate of calls to the key-value service with a token bucket."""

import collections.abc

import attrs
import trio


@attrs.define(eq=False)
class TokenBucket:
    """Allows ``rate_per_s`` calls per second on average and ``burst`` calls at once.

    :ivar rate_per_s: returns the rate; called at each use, since an entry's share changes with
        the number of entries
    """

    rate_per_s: collections.abc.Callable[[], float]
    burst: float
    _tokens: float = attrs.field(init=False)
    _refilled_at_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = self.burst

    async def acquire(self) -> None:
        """Wait for a token and consume it."""
        while (wait_s := self.wait_s()) > 0:
            await trio.sleep(wait_s)
        self._tokens -= 1

    def wait_s(self) -> float:
        """Return the time in seconds until a token is available."""
        self._refill()
        return 0.0 if self._tokens >= 1 else (1 - self._tokens) / self.rate_per_s() + 1e-6

    def _refill(self) -> None:
        now_s = trio.current_time()
        gained_tokens = (now_s - self._refilled_at_s) * self.rate_per_s()
        self._tokens = min(self.burst, self._tokens + gained_tokens)
        self._refilled_at_s = now_s
