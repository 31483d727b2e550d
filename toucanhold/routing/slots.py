"""Slots: a fixed number of tickets, each held by at most one entry at a time.

What a cold backend server bears is given to slots, so that entries need not agree on anything
else: whoever holds a slot may use what was given to it.
"""

import abc
import collections.abc
import logging
import math
import random

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue

# All entries must count the same slots: another number needs another prefix.
SLOTS = 256
SLOTS_PREFIX = "toucanhold/cold-slots/256/"
LEASE_TTL_S = 30
# A request that was allowed just before the lease's end needs some time to reach its server.
SEND_MARGIN_S = 3.0
RENEW_INTERVAL_S = LEASE_TTL_S / 8
SETTLE_INTERVAL_S = 0.25
MAX_KEYS_PER_COMMIT = 48

LOGGER = logging.getLogger(__name__)


class SlotOwnership(abc.ABC):
    """Tells which slots this entry holds."""

    @abc.abstractmethod
    def acquired_at_s(self, slot: int) -> float | None:
        """Return when this entry came to hold ``slot``; None where it does not hold it now."""


@attrs.define(eq=False)
class LeasedSlots(SlotOwnership):
    """Holds a fair number of slots as keys on one lease of the key-value service.

    :ivar entries: returns the names of all entries that serve
    """

    client: keyvalue.KeyValueClient
    entry: str
    entries: collections.abc.Callable[[], collections.abc.Sequence[str]]
    rng: random.Random
    _lease: int = attrs.field(default=0, init=False)
    _valid_until_s: float = attrs.field(default=-math.inf, init=False)
    _acquired_at_s: dict[int, float] = attrs.field(factory=dict, init=False)
    _let_go_slots: set[int] = attrs.field(factory=set, init=False)

    def acquired_at_s(self, slot: int) -> float | None:
        """See :class:`SlotOwnership`."""
        # Counted from before the renewal was sent, as in lease.LeasedKey: a paused or cut off
        # entry stops believing before the service can give its slots to another.
        if trio.current_time() >= self._valid_until_s:
            return None
        return self._acquired_at_s.get(slot)

    def held(self) -> int:
        """Return the number of slots held now."""
        return len(self._acquired_at_s) if trio.current_time() < self._valid_until_s else 0

    async def run(self) -> None:
        """Hold a fair number of slots until cancelled."""
        while True:
            settled = True
            try:
                await self._renew()
                settled = await self._balance()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("cold slots: %s", error)
            interval_s = RENEW_INTERVAL_S if settled else SETTLE_INTERVAL_S
            await trio.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Let all slots go, best effort; nothing may be in flight any more."""
        lease = self._lease
        self._forget()
        if lease:
            try:
                await self.client.revoke_lease(lease)
            except keyvalue.KeyValueError as error:
                LOGGER.debug("cold slots not released: %s", error)

    async def _renew(self) -> None:
        sent_at_s = trio.current_time()
        if self._lease and await self.client.keep_alive(self._lease):
            self._valid_until_s = sent_at_s + LEASE_TTL_S - SEND_MARGIN_S
            return
        self._forget()
        lease = await self.client.grant_lease(LEASE_TTL_S)
        self._lease, self._valid_until_s = lease, sent_at_s + LEASE_TTL_S - SEND_MARGIN_S

    def _forget(self) -> None:
        self._lease, self._valid_until_s = 0, -math.inf
        self._acquired_at_s.clear()
        self._let_go_slots.clear()

    async def _balance(self) -> bool:
        result = await self.client.read(SLOTS_PREFIX)
        owners = {slot: item.lease for item in result.items for slot in _slots(item.key)}
        mine = {slot for slot, lease in owners.items() if lease == self._lease}
        self._note(mine)
        entries = sorted({*self.entries(), self.entry})
        quota = math.ceil(SLOTS / len(entries))
        if self._let_go_slots:
            return await self._let_go(sorted(self._let_go_slots))
        if len(mine) > quota:
            return await self._let_go(sorted(mine, key=self._rank(entries))[quota:])
        free = set(range(SLOTS)) - set(owners)
        wanted = min(quota - len(mine), len(free), MAX_KEYS_PER_COMMIT)
        if wanted <= 0:
            return True
        return await self._take(sorted(free, key=self._rank(entries))[:wanted])

    def _rank(
        self, entries: collections.abc.Sequence[str]
    ) -> collections.abc.Callable[[int], tuple[bool, int]]:
        # Entries that start together would all reach for the same free slots.
        own = entries.index(self.entry)
        return lambda slot: (slot % len(entries) != own, slot)

    def _note(self, mine: set[int]) -> None:
        now_s = trio.current_time()
        # A deletion whose answer was lost may take effect late: until it has, the slot looks like
        # this entry's own, and is not used, since another may have it at any moment.
        self._let_go_slots &= mine
        mine = mine - self._let_go_slots
        for slot in set(self._acquired_at_s) - mine:
            del self._acquired_at_s[slot]
        for slot in mine - set(self._acquired_at_s):
            self._acquired_at_s[slot] = now_s

    async def _take(self, slots: collections.abc.Sequence[int]) -> bool:
        absent = [keyvalue.Condition(_key(slot), create_revision=0) for slot in slots]
        writes = [keyvalue.Write(_key(slot), self.entry.encode(), self._lease) for slot in slots]
        # Whether it succeeded is read back in the next round, also after a lost answer.
        await self.client.commit(absent, writes)
        return False

    async def _let_go(self, slots: collections.abc.Sequence[int]) -> bool:
        # Not used any more before they are given away: the other order would let two use them.
        self._let_go_slots.update(slots)
        for slot in slots:
            self._acquired_at_s.pop(slot, None)
        events.log(LOGGER, events.Event.COLD_SLOTS_RELEASED, entry=self.entry, count=len(slots))
        for first in range(0, len(slots), MAX_KEYS_PER_COMMIT):
            part = slots[first : first + MAX_KEYS_PER_COMMIT]
            await self._delete(part)
        return False

    async def _delete(self, slots: collections.abc.Sequence[int]) -> None:
        writes = [keyvalue.Write(_key(slot), None) for slot in slots]
        items = {item.key: item for item in (await self.client.read(SLOTS_PREFIX)).items}
        own = [items[write.key] for write in writes if write.key in items]
        own = [item for item in own if item.lease == self._lease]
        conditions = [keyvalue.Condition(item.key, item.mod_revision) for item in own]
        await self.client.commit(conditions, [keyvalue.Write(item.key, None) for item in own])


def _key(slot: int) -> str:
    return f"{SLOTS_PREFIX}{slot:04d}"


def _slots(key: str) -> tuple[int, ...]:
    # Empty for a key that is no slot's: one that nobody can read must not end this entry.
    name = key.removeprefix(SLOTS_PREFIX)
    return (int(name),) if name.isdecimal() else ()
