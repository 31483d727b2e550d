"""A budget of calls to the key-value service, counted by kind."""

from __future__ import annotations

import collections
import collections.abc
import contextlib

import attrs
import trio

from toucanhold.coordination import keyvalue

# What waits longer than this is better refused: its caller can tell that nothing was done.
MAX_WAIT_S = 0.5


@attrs.define(eq=False)
class BudgetedClient(keyvalue.KeyValueClient):
    """Passes calls on at a bounded rate; a watch counts as one call.

    The service counts each call and serves all entries. One entry in a loop, or a burst of
    orders, would otherwise use up what the others need to keep their leases.

    :ivar rate_per_s: calls a second that the entry may make in the long run
    :ivar burst: calls that it may make at once
    :ivar calls: number of calls passed on, by kind
    :ivar refused: number of calls refused for the budget's sake, by kind
    """

    inner: keyvalue.KeyValueClient
    rate_per_s: float
    burst: float
    calls: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _tokens: float = attrs.field(init=False)
    _filled_at_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = self.burst

    async def close(self) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        await self.inner.close()

    async def read(self, prefix: str, min_mod_revision: int = 0) -> keyvalue.RangeResult:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._spend("read")
        return await self.inner.read(prefix, min_mod_revision)

    async def read_key(self, key: str) -> keyvalue.Item | None:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._spend("read")
        return await self.inner.read_key(key)

    async def commit(
        self,
        conditions: collections.abc.Sequence[keyvalue.Condition],
        writes: collections.abc.Sequence[keyvalue.Write],
    ) -> keyvalue.CommitResult:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._spend("commit")
        return await self.inner.commit(conditions, writes)

    async def grant_lease(self, ttl_s: int) -> int:
        """See :class:`keyvalue.KeyValueClient`."""
        self._spend_at_once("lease")
        return await self.inner.grant_lease(ttl_s)

    async def keep_alive(self, lease: int) -> bool:
        """See :class:`keyvalue.KeyValueClient`."""
        # Never held back: a renewal that waits behind orders costs the planner its lease and the
        # entry its place in the directory, and both then make more calls.
        self._spend_at_once("lease")
        return await self.inner.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        self._spend_at_once("lease")
        await self.inner.revoke_lease(lease)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[int]]:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._spend("watch")
        async with self.inner.watch(prefix, start_revision) as revisions:
            yield revisions

    async def _spend(self, kind: str) -> None:
        self._fill()
        wait_s = max(0.0, (1 - self._tokens) / self.rate_per_s)
        if wait_s > MAX_WAIT_S:
            self.refused[kind] += 1
            raise keyvalue.UnavailableError("the entry's budget of calls is used up")
        # The token is taken before the wait, so those who come later wait for their own.
        self._spend_at_once(kind)
        if wait_s:
            await trio.sleep(wait_s)

    def _spend_at_once(self, kind: str) -> None:
        self._fill()
        self._tokens -= 1
        self.calls[kind] += 1

    def _fill(self) -> None:
        now_s = trio.current_time()
        if self._filled_at_s != float("-inf"):
            filled = self._tokens + (now_s - self._filled_at_s) * self.rate_per_s
            self._tokens = min(self.burst, filled)
        self._filled_at_s = now_s
