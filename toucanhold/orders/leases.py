"""The leases under which claims age: one for each entry and hour."""

import collections
import collections.abc

import attrs
import trio

from toucanhold.coordination import keyvalue

BUCKET_S = 3600.0
KEPT_S = 24 * 3600.0
# Of at most 2.5 KB each: 1.25 GB in the service, at 6 orders a second all day.
MAX_KEPT_CLAIMS = 500_000


@attrs.define(eq=False)
class ClaimLeases:
    """Grants one lease an hour; all claims of that hour hang on it.

    A lease for each claim would double the writes and leave the service a timer for each.

    :ivar kept_s: least time that a claim is kept
    :ivar max_claims: returns how many claims this entry may have in the service
    """

    client: keyvalue.KeyValueClient
    kept_s: float = KEPT_S
    max_claims: collections.abc.Callable[[], int] = lambda: MAX_KEPT_CLAIMS
    _counts: collections.deque[list[float]] = attrs.field(factory=collections.deque, init=False)
    _kept: int = attrs.field(default=0, init=False)
    _lease: int = attrs.field(default=0, init=False)
    _granted_at_s: float = attrs.field(default=float("-inf"), init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def current(self) -> int:
        """Return the lease of this hour.

        :raises keyvalue.KeyValueError: when there is none
        """
        async with self._lock:
            now_s = trio.current_time()
            if not self._lease or now_s - self._granted_at_s >= BUCKET_S:
                # The last claim of the hour must be kept for the whole time too.
                self._lease = await self.client.grant_lease(int(self.kept_s + BUCKET_S))
                self._granted_at_s = now_s
            return self._lease

    def has_room(self) -> bool:
        """Tell whether one more claim may be made."""
        # The write rate allows tens of millions of claims a day, more than the service can hold;
        # it would fail for everything else, the plan among it.
        now_s = trio.current_time()
        while self._counts and now_s - self._counts[0][0] > self.kept_s + 2 * BUCKET_S:
            self._kept -= int(self._counts.popleft()[1])
        return self._kept < self.max_claims()

    def note(self, claims: int) -> None:
        """Count claims that were made; a negative number for released ones."""
        now_s = trio.current_time()
        if not self._counts or now_s - self._counts[-1][0] >= BUCKET_S:
            self._counts.append([now_s, 0])
        self._counts[-1][1] += claims
        self._kept += claims

    def forget(self, lease: int) -> None:
        """Stop using a lease that the service may not know any more."""
        if lease == self._lease:
            self._lease = 0
