"""Limits the rate of calls to the key-value service with a token bucket."""

from __future__ import annotations

import collections
import collections.abc
import contextlib

import attrs
import trio

from toucanhold.coordination import keyvalue

# A call that would wait longer is refused, so that its caller knows that it had no effect.
MAX_WAIT_S = 0.5


@attrs.define(eq=False)
class RateLimitedClient(keyvalue.KeyValueClient):
    """Forwards calls to another client at a bounded rate; a watch counts as one call.

    The service counts each call and serves all entries. Without the limit, one entry in a loop or
    a burst of orders would use up the calls that the others need to keep their leases.

    :ivar inner: client that makes the calls
    :ivar rate_per_s: rate at which tokens are added, in calls per second
    :ivar burst: capacity of the bucket, in calls
    :ivar calls: number of calls forwarded, by kind
    :ivar refused: number of calls refused because of the limit, by kind
    """

    inner: keyvalue.KeyValueClient
    rate_per_s: float
    burst: float
    calls: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _tokens: float = attrs.field(init=False)
    _refilled_at_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = self.burst

    async def close(self) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        await self.inner.close()

    async def read(self, prefix: str, min_mod_revision: int = 0) -> keyvalue.RangeResult:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._wait_for_token("read")
        return await self.inner.read(prefix, min_mod_revision)

    async def read_key(self, key: str) -> keyvalue.Item | None:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._wait_for_token("read")
        return await self.inner.read_key(key)

    async def commit(
        self,
        conditions: collections.abc.Sequence[keyvalue.Condition],
        writes: collections.abc.Sequence[keyvalue.Write],
    ) -> keyvalue.CommitResult:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._wait_for_token("commit")
        return await self.inner.commit(conditions, writes)

    async def grant_lease(self, ttl_s: int) -> int:
        """See :class:`keyvalue.KeyValueClient`."""
        self._acquire_token("lease")
        return await self.inner.grant_lease(ttl_s)

    async def keep_alive(self, lease: int) -> bool:
        """See :class:`keyvalue.KeyValueClient`."""
        # Never delayed: a renewal that waits behind orders would cost the planner its lease and the
        # entry its place in the directory, and acquiring them again takes more calls.
        self._acquire_token("lease")
        return await self.inner.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        self._acquire_token("lease")
        await self.inner.revoke_lease(lease)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[int]]:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._wait_for_token("watch")
        async with self.inner.watch(prefix, start_revision) as revisions:
            yield revisions

    async def _wait_for_token(self, kind: str) -> None:
        self._refill()
        wait_s = max(0.0, (1 - self._tokens) / self.rate_per_s)
        if wait_s > MAX_WAIT_S:
            self.refused[kind] += 1
            raise keyvalue.UnavailableError(
                f"rate limit of {self.rate_per_s} calls/s exceeded: would wait {wait_s:.2f} s"
            )
        # The token is taken before the wait, so that later calls wait for later tokens.
        self._acquire_token(kind)
        if wait_s:
            await trio.sleep(wait_s)

    def _acquire_token(self, kind: str) -> None:
        self._refill()
        self._tokens -= 1
        self.calls[kind] += 1

    def _refill(self) -> None:
        now_s = trio.current_time()
        if self._refilled_at_s != float("-inf"):
            refilled = self._tokens + (now_s - self._refilled_at_s) * self.rate_per_s
            self._tokens = min(self.burst, refilled)
        self._refilled_at_s = now_s
