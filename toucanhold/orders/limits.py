"""A token bucket, for the rate of calls to the key-value service."""

import collections.abc

import attrs
import trio


@attrs.define(eq=False)
class TokenBucket:
    """Lets through ``rate_per_s`` on average and ``burst`` at once.

    :ivar rate_per_s: asked at each use, since an entry's share changes with their number
    """

    rate_per_s: collections.abc.Callable[[], float]
    burst: float
    _tokens: float = attrs.field(init=False)
    _counted_at_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Start full."""
        self._tokens = self.burst

    async def take(self) -> None:
        """Wait for a token and take it."""
        while (wait_s := self.wait_s()) > 0:
            await trio.sleep(wait_s)
        self._tokens -= 1

    def wait_s(self) -> float:
        """Return the time until there is a token."""
        self._count()
        return 0.0 if self._tokens >= 1 else (1 - self._tokens) / self.rate_per_s() + 1e-6

    def _count(self) -> None:
        now_s = trio.current_time()
        gained = (now_s - self._counted_at_s) * self.rate_per_s()
        self._tokens = min(self.burst, self._tokens + gained)
        self._counted_at_s = now_s
