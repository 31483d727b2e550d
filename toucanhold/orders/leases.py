"""The leases under which claims age: one for each entry and hour."""

import attrs
import trio

from toucanhold.platform import keyvalue

BUCKET_S = 3600.0
KEPT_S = 24 * 3600.0


@attrs.define(eq=False)
class ClaimLeases:
    """Grants one lease an hour; all claims of that hour hang on it.

    A lease for each claim would double the writes and leave the service a timer for each.

    :ivar kept_s: least time that a claim is kept
    """

    client: keyvalue.KeyValueClient
    kept_s: float = KEPT_S
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

    def forget(self, lease: int) -> None:
        """Stop using a lease that the service may not know any more."""
        if lease == self._lease:
            self._lease = 0
