"""A key held under a lease, with its end on the holder's own monotonic clock."""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock
from toucanhold.coordination import keyvalue

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class LeasedKey:
    """Tries to hold ``key``; at most one client holds it at a time.

    :ivar value: what the holder writes
    :ivar ttl_s: time after which the service lets an unrenewed key go
    :ivar is_acquisition_skipped: returns, without a call to the service, whether not to try to
        acquire the key, as when another client is known to hold it; False where that is unknown
    :ivar is_contended: whether other clients try to hold the key as well
    :ivar fencing: the key's create revision while held: it grows with each holder
    """

    client: keyvalue.KeyValueClient
    key: str
    value: bytes
    ttl_s: int
    rng: random.Random
    is_acquisition_skipped: collections.abc.Callable[[], bool] = attrs.field(
        default=lambda: False, kw_only=True
    )
    is_contended: bool = attrs.field(default=True, kw_only=True)
    fencing: int = 0
    _lease: int = attrs.field(default=0, init=False)
    _renewed: clock.Instant = attrs.field(default=clock.LONG_AGO, init=False)
    _released: bool = attrs.field(default=False, init=False)

    def is_held(self) -> bool:
        """Tell whether the lease certainly still runs."""
        # The time counts from before the renewal was sent, so the holder stops believing before
        # the service lets the key go, even when the answer took long or the process was paused.
        return self.remaining_s() > 0

    def remaining_s(self) -> float:
        """Return for how long the lease certainly still runs; negative when it may have ended."""
        return self.ttl_s - self._renewed.age_s() if self.fencing else float("-inf")

    async def run(self) -> None:
        """Acquire, renew and acquire again until cancelled or released."""
        while not self._released:
            try:
                if self.is_held():
                    await self._renew()
                elif not self.is_acquisition_skipped():
                    await self._acquire()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("lease on %s: %s", self.key, error)
            if self._released:
                # A key that was acquired while it was being released would stand until its time
                # runs out: callers would be sent to an entry that stops, and no planner elected.
                await self.release()
                return
            await trio.sleep(self.ttl_s / 4 * self.rng.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Let the key go for good, best effort."""
        self._released = True
        lease, self._lease, self.fencing = self._lease, 0, 0
        if lease:
            try:
                await self.client.revoke_lease(lease)
            except keyvalue.KeyValueError as error:
                LOGGER.debug("lease on %s not revoked: %s", self.key, error)

    async def _acquire(self) -> None:
        self.fencing = 0
        if self.is_contended and await self._is_held_by_another():
            return
        if not self._lease or not await self.client.keep_alive(self._lease):
            self._lease = await self.client.grant_lease(self.ttl_s)
        absent = keyvalue.Condition(self.key, create_revision=0)
        write = keyvalue.Write(self.key, self.value, self._lease)
        try:
            result = await self.client.commit([absent], [write])
        except keyvalue.IndeterminateError:
            LOGGER.debug("lease on %s: the answer was lost; reading back", self.key)
        else:
            if result.succeeded:
                await self._renew(result.revision)
                return
        item = await self.client.read_key(self.key)
        # The answer of the commit is not needed: a key on this client's own lease is held.
        if item is not None and item.lease == self._lease:
            await self._renew(item.create_revision)

    async def _is_held_by_another(self) -> bool:
        # Most of the time another client holds the key. Asking costs one call; trying to take it
        # would cost three each time, by every entry, for as long as the system runs.
        item = await self.client.read_key(self.key)
        return item is not None and item.lease != self._lease

    async def _renew(self, fencing: int | None = None) -> None:
        sent = clock.read()
        if await self.client.keep_alive(self._lease):
            self._renewed = sent
            self.fencing = fencing or self.fencing
        else:
            self._lease, self.fencing = 0, 0
