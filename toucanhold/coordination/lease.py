"""Holds a key under a lease, whose expiry is computed on the holder's monotonic clock."""

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
    """Acquires and renews ``key``; at most one client holds it at a time.

    :ivar value: value that the holder writes
    :ivar ttl_s: time after which the service deletes a key whose lease was not renewed
    :ivar is_acquisition_skipped: returns, without a call to the service, whether not to try to
        acquire the key, as when another client is known to hold it; False where that is unknown
    :ivar is_contended: whether other clients try to hold the key as well
    :ivar fencing: fencing token: the key's create revision while held, which grows with each
        holder; 0 while not held
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
    _renewed_at: clock.Instant = attrs.field(default=clock.DISTANT_PAST, init=False)
    _is_released: bool = attrs.field(default=False, init=False)

    def is_held(self) -> bool:
        """Return whether the lease has certainly not expired."""
        # The time counts from before the renewal was sent, so the lease expires for the holder
        # before it does at the service, even if the response was slow or the process was paused.
        return self.remaining_s() > 0

    def remaining_s(self) -> float:
        """Return the seconds until the lease may expire; negative if it may have expired."""
        return self.ttl_s - self._renewed_at.age_s() if self.fencing else float("-inf")

    async def run(self) -> None:
        """Acquire, renew and acquire again until cancelled or released."""
        while not self._is_released:
            try:
                if self.is_held():
                    await self._renew()
                elif not self.is_acquisition_skipped():
                    await self._acquire()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("lease on %s: %s", self.key, error)
            if self._is_released:
                # A key that was acquired during the release would remain until its lease expires:
                # callers would be sent to a stopping entry, and no planner would be elected.
                await self.release()
                return
            await trio.sleep(self.ttl_s / 4 * self.rng.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Revoke the lease (best effort) and stop acquiring the key."""
        self._is_released = True
        lease, self._lease, self.fencing = self._lease, 0, 0
        if lease:
            try:
                await self.client.revoke_lease(lease)
            except keyvalue.KeyValueError as error:
                LOGGER.debug("lease on %s: cannot revoke: %s", self.key, error)

    async def _acquire(self) -> None:
        self.fencing = 0
        if self.is_contended and await self._is_held_by_another():
            return
        if not self._lease or not await self.client.keep_alive(self._lease):
            self._lease = await self.client.grant_lease(self.ttl_s)
        if self._is_released:
            # The key would be written without a lease and stay for good.
            return
        absent = keyvalue.Condition(self.key, create_revision=0)
        write = keyvalue.Write(self.key, self.value, self._lease)
        try:
            result = await self.client.commit([absent], [write])
        except keyvalue.IndeterminateError:
            LOGGER.debug("lease on %s: no response to the commit; reading the key", self.key)
        else:
            if result.succeeded:
                await self._renew(result.revision)
                return
        item = await self.client.read_key(self.key)
        # The commit's response is not needed: a key attached to this client's lease is held.
        if item is not None and item.lease == self._lease:
            await self._renew(item.create_revision)

    async def _is_held_by_another(self) -> bool:
        # Usually another client holds the key. A read costs one call; an attempt to acquire the key
        # would cost three calls each time, for every entry, for as long as the system runs.
        item = await self.client.read_key(self.key)
        return item is not None and item.lease != self._lease

    async def _renew(self, fencing: int | None = None) -> None:
        renewal_sent_at = clock.now()
        if await self.client.keep_alive(self._lease):
            self._renewed_at = renewal_sent_at
            self.fencing = fencing or self.fencing
        else:
            self._lease, self.fencing = 0, 0
