"""Stores requests and parts of prompts that crashed several servers in the key-value service.

Entries tell each other of crashes at once, but forget them when all of them restart.
"""

from __future__ import annotations

import collections.abc
import logging
import random
import time

import attrs
import trio

from toucanhold import codec, supervision
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import blame, crashes

PREFIX = "toucanhold/crashes/"
# Several entries may have seen a request's crashes; the first one to write spares the others.
MAX_WRITE_DELAY_S = 1.0
RETRY_DELAY_S = 2.0
# Longest lease that the service grants.
MAX_LEASE_S = 600
MAX_PENDING = 100

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class StoredCrashes:
    """Number of crashes during a request or on a part, as stored.

    :ivar crashed_unix_s: Unix time of the newest crash, by the clock of the entry that wrote it
    """

    count: int
    crashed_unix_s: float


@attrs.define(eq=False)
class CrashStore:
    """Writes culprits to the key-value service, and reads those that others wrote.

    :ivar wall_clock_s: returns the Unix time
    """

    kv_client: keyvalue.KeyValueClient
    kv_mirror: mirror.Mirror
    crash_tracker: crashes.CrashTracker
    rng: random.Random
    wall_clock_s: collections.abc.Callable[[], float] = time.time
    _pending_send: trio.MemorySendChannel = attrs.field(init=False)
    _pending: trio.MemoryReceiveChannel = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to culprits here and in the service."""
        self._pending_send, self._pending = trio.open_memory_channel(MAX_PENDING)
        self.crash_tracker.on_blocked = self._enqueue
        self.crash_tracker.on_cleared = self._enqueue
        self.kv_mirror.add_listener(PREFIX, self._apply_changes)

    async def run(self) -> None:
        """Write culprits until cancelled."""
        async for key in self._pending:
            await trio.sleep(self.rng.uniform(0, MAX_WRITE_DELAY_S))
            await supervision.run(self._store_until_held, key)

    async def _store_until_held(self, key: str) -> None:
        while not await self._store(key):
            await trio.sleep(RETRY_DELAY_S * self.rng.uniform(0.5, 1.5))

    def _enqueue(self, key: str) -> None:
        try:
            self._pending_send.send_nowait(key)
        except trio.WouldBlock:
            LOGGER.warning("too many crashing requests; %s is not stored", key)

    async def _store(self, key: str) -> bool:
        """Write what is known of a key; return whether the service then holds it."""
        stored = self._read(PREFIX + key)
        stored_count = stored.count if stored is not None else 0
        is_culprit = key in self.crash_tracker.culprits()
        count = self.crash_tracker.count(key) if is_culprit else 0
        if stored_count >= count and (count or not stored_count):
            return True
        try:
            await self.kv_client.commit([], [await self._new_write(key, count)])
        except keyvalue.KeyValueError as error:
            LOGGER.debug("cannot store the crashes of %s: %s", key, error)
            return False
        return True

    async def _new_write(self, key: str, count: int) -> keyvalue.Write:
        """Return the write that stores a number of crashes; without any, it removes the key."""
        if not count:
            return keyvalue.Write(PREFIX + key, None)
        stored = StoredCrashes(count, self.wall_clock_s() - self.crash_tracker.age_s(key))
        lease_s = min(MAX_LEASE_S, int(blame.retention_s(key, count)))
        lease = await self.kv_client.grant_lease(lease_s)
        return keyvalue.Write(PREFIX + key, codec.to_json(stored), lease)

    def _apply_changes(self, keys: frozenset[str]) -> None:
        for key in keys:
            stored = self._read(key)
            if stored is not None:
                age_s = max(0.0, self.wall_clock_s() - stored.crashed_unix_s)
                self.crash_tracker.restore(key.removeprefix(PREFIX), stored.count, age_s)

    def _read(self, key: str) -> StoredCrashes | None:
        item = self.kv_mirror.items.get(key)
        if item is None:
            return None
        try:
            return codec.from_json(item.value, StoredCrashes)
        except codec.CodecError as error:
            LOGGER.warning("record %s cannot be decoded: %s", key, error)
            return None
