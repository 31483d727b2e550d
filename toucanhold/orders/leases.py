"""Grants the leases under which claims expire, one per entry and hour."""

import collections
import collections.abc

import attrs
import trio

from toucanhold.coordination import keyvalue

LEASE_INTERVAL_S = 3600.0
KEPT_S = 24 * 3600.0
# At up to 2.5 KB per claim this is 1.25 GB in the service, enough for 6 orders/s for 24 hours.
MAX_STORED_CLAIMS = 500_000


@attrs.define(eq=False)
class ClaimLeases:
    """Grants one lease per hour, which all claims of that hour share.

    A lease per claim would double the writes and cost the service one timer per claim.

    :ivar kept_s: minimum retention time of a claim
    :ivar max_claims: returns the number of claims that this entry may have in the service
    """

    client: keyvalue.KeyValueClient
    kept_s: float = KEPT_S
    max_claims: collections.abc.Callable[[], int] = lambda: MAX_STORED_CLAIMS
    _interval_counts: collections.deque[list[float]] = attrs.field(
        factory=collections.deque, init=False
    )
    _stored_claims: int = attrs.field(default=0, init=False)
    _lease: int = attrs.field(default=0, init=False)
    _granted_at_s: float = attrs.field(default=float("-inf"), init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def current(self) -> int:
        """Return the id of the current hour's lease, granting it if needed.

        :raises keyvalue.KeyValueError: when no lease could be granted
        """
        async with self._lock:
            now_s = trio.current_time()
            if not self._lease or now_s - self._granted_at_s >= LEASE_INTERVAL_S:
                # The lease outlasts the retention time of the last claim of the hour.
                self._lease = await self.client.grant_lease(int(self.kept_s + LEASE_INTERVAL_S))
                self._granted_at_s = now_s
            return self._lease

    def has_capacity(self) -> bool:
        """Return whether one more claim may be stored."""
        # The write rate allows tens of millions of claims a day, more than the service can hold.
        # A full service would fail for all its uses, including the plan.
        now_s = trio.current_time()
        while (
            self._interval_counts
            and now_s - self._interval_counts[0][0] > self.kept_s + 2 * LEASE_INTERVAL_S
        ):
            self._stored_claims -= int(self._interval_counts.popleft()[1])
        return self._stored_claims < self.max_claims()

    def count_claims(self, claims: int) -> None:
        """Add to the number of stored claims; negative for released claims."""
        now_s = trio.current_time()
        if not self._interval_counts or now_s - self._interval_counts[-1][0] >= LEASE_INTERVAL_S:
            self._interval_counts.append([now_s, 0])
        self._interval_counts[-1][1] += claims
        self._stored_claims += claims

    def discard(self, lease: int) -> None:
        """Stop using a lease that may have expired in the service."""
        if lease == self._lease:
            self._lease = 0
