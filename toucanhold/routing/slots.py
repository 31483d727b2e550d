"""Leases a fixed number of slots, each owned by at most one entry at a time.

The request limit of a cold backend server is divided among the slots. The owner of a slot may use
the slot's part of the limit without further coordination between entries.
"""

import abc
import collections.abc
import logging
import math
import random

import attrs
import trio

from toucanhold import events, parsing
from toucanhold.coordination import keyvalue

# All entries must use the same number of slots; changing it requires another prefix.
SLOT_COUNT = 256
SLOTS_PREFIX = "toucanhold/cold-slots/256/"
LEASE_TTL_S = 30
# A request that is admitted just before the lease expires takes some time to reach its server.
SEND_MARGIN_S = 3.0
RENEW_INTERVAL_S = LEASE_TTL_S / 8
REBALANCE_INTERVAL_S = 0.25
MAX_KEYS_PER_COMMIT = 48

LOGGER = logging.getLogger(__name__)


class SlotOwnership(abc.ABC):
    """Shows which slots this entry owns."""

    @abc.abstractmethod
    def acquired_at_s(self, slot: int) -> float | None:
        """Return the monotonic time at which this entry acquired ``slot``; None if not owned."""


@attrs.define(eq=False)
class LeasedSlots(SlotOwnership):
    """Owns an equal share of the slots, as keys on one lease of the key-value service.

    :ivar serving_entries: returns the names of all serving entries
    """

    client: keyvalue.KeyValueClient
    entry: str
    serving_entries: collections.abc.Callable[[], collections.abc.Sequence[str]]
    rng: random.Random
    _lease: int = attrs.field(default=0, init=False)
    _valid_until_s: float = attrs.field(default=-math.inf, init=False)
    _acquired_at_s: dict[int, float] = attrs.field(factory=dict, init=False)
    _releasing: set[int] = attrs.field(factory=set, init=False)

    def acquired_at_s(self, slot: int) -> float | None:
        """See :class:`SlotOwnership`."""
        # Validity is counted from before the renewal was sent, as in lease.LeasedKey: a paused or
        # partitioned entry stops using its slots before others can acquire them.
        if trio.current_time() >= self._valid_until_s:
            return None
        return self._acquired_at_s.get(slot)

    def held_count(self) -> int:
        """Return the number of slots owned now."""
        return len(self._acquired_at_s) if trio.current_time() < self._valid_until_s else 0

    async def run(self) -> None:
        """Renew the lease and balance the slots until cancelled."""
        while True:
            is_balanced = True
            try:
                await self._renew()
                is_balanced = await self._balance()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("cold slots not renewed or balanced: %s", error)
            interval_s = RENEW_INTERVAL_S if is_balanced else REBALANCE_INTERVAL_S
            await trio.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Release all slots, best effort; no request may be in flight any more."""
        lease = self._lease
        self._reset_lease()
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
        self._reset_lease()
        lease = await self.client.grant_lease(LEASE_TTL_S)
        self._lease, self._valid_until_s = lease, sent_at_s + LEASE_TTL_S - SEND_MARGIN_S

    def _reset_lease(self) -> None:
        self._lease, self._valid_until_s = 0, -math.inf
        self._acquired_at_s.clear()
        self._releasing.clear()

    async def _balance(self) -> bool:
        result = await self.client.read(SLOTS_PREFIX)
        owners = {slot: item.lease for item in result.items for slot in _parse_slot(item.key)}
        owned = {slot for slot, lease in owners.items() if lease == self._lease}
        self._update_ownership(owned)
        entries = sorted({*self.serving_entries(), self.entry})
        quota = math.ceil(SLOT_COUNT / len(entries))
        if self._releasing:
            return await self._release_slots(sorted(self._releasing))
        if len(owned) > quota:
            return await self._release_slots(
                sorted(owned, key=self._preference_order(entries))[quota:]
            )
        free = set(range(SLOT_COUNT)) - set(owners)
        acquire_count = min(quota - len(owned), len(free), MAX_KEYS_PER_COMMIT)
        if acquire_count <= 0:
            return True
        return await self._acquire(
            sorted(free, key=self._preference_order(entries))[:acquire_count]
        )

    def _preference_order(
        self, entries: collections.abc.Sequence[str]
    ) -> collections.abc.Callable[[int], tuple[bool, int]]:
        # Without an order per entry, entries that start together would all try the same free slots.
        own = entries.index(self.entry)
        return lambda slot: (slot % len(entries) != own, slot)

    def _update_ownership(self, owned: set[int]) -> None:
        now_s = trio.current_time()
        # A deletion whose response was lost may take effect later. Until then the slot still
        # appears as owned, but must not be used: another entry may acquire it at any moment.
        self._releasing &= owned
        owned = owned - self._releasing
        for slot in set(self._acquired_at_s) - owned:
            del self._acquired_at_s[slot]
        for slot in owned - set(self._acquired_at_s):
            self._acquired_at_s[slot] = now_s

    async def _acquire(self, slots: collections.abc.Sequence[int]) -> bool:
        conditions = [keyvalue.Condition(_key(slot), create_revision=0) for slot in slots]
        writes = [keyvalue.Write(_key(slot), self.entry.encode(), self._lease) for slot in slots]
        # The next round reads whether it succeeded, also after a lost response.
        await self.client.commit(conditions, writes)
        return False

    async def _release_slots(self, slots: collections.abc.Sequence[int]) -> bool:
        # Stop using the slots before deleting their keys; otherwise two entries could use them.
        self._releasing.update(slots)
        for slot in slots:
            self._acquired_at_s.pop(slot, None)
        events.log(LOGGER, events.Event.COLD_SLOTS_RELEASED, entry=self.entry, count=len(slots))
        for start in range(0, len(slots), MAX_KEYS_PER_COMMIT):
            batch = slots[start : start + MAX_KEYS_PER_COMMIT]
            await self._delete(batch)
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


def _parse_slot(key: str) -> tuple[int, ...]:
    # Empty for a malformed key, which must not stop this entry.
    slot = parsing.digits(key.removeprefix(SLOTS_PREFIX))
    return (slot,) if slot is not None else ()
