"""Divides limits among entries by shares, each of which one entry holds at a time.

A share is a key in the key-value service without a lease: leases may lapse while the service is
down. Its holder writes it again from time to time, and uses it only for some time after its last
write. Another entry takes it over by a conditional write once it has seen it unchanged for longer
than that. The entries need not agree on who is registered, nor on the time of day.
"""

from __future__ import annotations

import logging
import math
import random

import attrs
import trio

from toucanhold import clock, codec, events
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import entries, retry_budget, sharing

PREFIX = "toucanhold/limit-shares/16/"
# All entries must use the same number; another number requires another prefix.
SHARE_COUNT = 16
# A share may be used for this long after its last write, and taken over after a longer time.
VALIDITY_S = 55.0
TAKEOVER_S = 60.0
RENEW_S = 20.0
# Added to the window in which nobody uses a share after its holder has changed, for what the last
# holder had decided or lent.
TRANSFER_MARGIN_S = 1.5
CHECK_INTERVAL_S = 1.0
# The same while there may be more shares to take.
TAKING_INTERVAL_S = 0.2
# An entry that is not the first in the order of a free share leaves it to each earlier one for so
# long, so that hundreds of entries do not try to take it at once.
TURN_S = 0.5
# A write whose outcome is unknown may take effect within this time.
UNCLEAR_S = 8.0

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Holder:
    """The holder of a share, as stored.

    :ivar entry: name of the entry
    :ivar boot: boot ID of its process
    """

    entry: str
    boot: str


@attrs.frozen
class _SeenShare:
    """A share as read from the service.

    :ivar holder: None if its record cannot be read
    :ivar revision: revision of its last write
    :ivar seen_at: when this entry first saw that revision
    """

    holder: Holder | None
    revision: int
    seen_at: clock.Instant


@attrs.frozen
class _HeldShare:
    """A share that this entry holds.

    :ivar revision: revision of the last write
    :ivar written_at: when the last write was sent
    :ivar acquired_at: when this entry learned that it holds the share
    :ivar is_new: whether no other entry has ever held it
    """

    revision: int
    written_at: clock.Instant
    acquired_at: clock.Instant
    is_new: bool


@attrs.define(eq=False)
class LimitShares(retry_budget.LimitShare):
    """Holds shares of the limits of all entries.

    :ivar entry_list: the entries that share the limits
    """

    client: keyvalue.KeyValueClient
    kv_mirror: mirror.Mirror
    entry_list: entries.EntryList
    rng: random.Random
    _seen: dict[str, _SeenShare] = attrs.field(factory=dict, init=False)
    _held: dict[str, _HeldShare] = attrs.field(factory=dict, init=False)
    # Writes whose outcome is unknown, and when they were sent.
    _unclear: dict[str, clock.Instant] = attrs.field(factory=dict, init=False)
    _started_at: clock.Instant = attrs.field(factory=clock.now, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to changes of the shares."""
        self.kv_mirror.add_listener(PREFIX, self._apply_changes)

    def fraction(self, window_s: float) -> float:
        """See :class:`retry_budget.LimitShare`."""
        return len(self.usable(window_s)) / SHARE_COUNT

    def usable(self, window_s: float) -> list[str]:
        """Return the keys of the shares that this entry may use.

        :param window_s: see :meth:`fraction`
        """
        return [key for key, held in self._held.items() if _is_usable(held, window_s)]

    async def run(self) -> None:
        """Renew shares and take over free ones until cancelled."""
        while True:
            is_taking = not self.kv_mirror.revision
            try:
                await self._renew()
                is_taking |= await self._take_one()
            except keyvalue.KeyValueError as error:
                LOGGER.debug("shares of limits not written: %s", error)
            interval_s = TAKING_INTERVAL_S if is_taking else CHECK_INTERVAL_S
            await trio.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    async def _renew(self) -> None:
        for key, held in list(self._held.items()):
            if held.written_at.age_s() < RENEW_S:
                continue
            written_at = clock.now()
            result = await self._write(key, held.revision)
            if result.succeeded and key in self._held:
                revision = max(result.revision, self._held[key].revision)
                self._held[key] = attrs.evolve(held, revision=revision, written_at=written_at)

    async def _take_one(self) -> bool:
        """Try to take a share that is free; return whether there was one."""
        if not self.kv_mirror.revision or self.entry_list.is_stopping:
            return False
        serving = max(1, len(self.entry_list.serving()))
        has_room = len(self._held) < math.ceil(SHARE_COUNT / serving)
        for key in self._keys_in_order():
            if key not in self._held and self._may_take(key, has_room):
                await self._take(key)
                return True
        return False

    async def _take(self, key: str) -> None:
        seen = self._seen.get(key)
        written_at = clock.now()
        self._unclear[key] = written_at
        try:
            result = await self._write(key, seen.revision if seen is not None else 0)
        except keyvalue.UnavailableError:
            # The mirror may have told meanwhile what became of the share.
            self._unclear.pop(key, None)
            raise
        self._unclear.pop(key, None)
        if result.succeeded and not self._is_taken_after(key, result.revision):
            # An earlier process of this entry had ended when this one started.
            is_own = seen is not None and self._is_own(seen)
            acquired_at = self._started_at if is_own else clock.now()
            held = _HeldShare(result.revision, written_at, acquired_at, is_new=seen is None)
            self._hold(key, held)

    def _is_taken_after(self, key: str, revision: int) -> bool:
        """Return whether another entry has written a share since a revision."""
        own = self.entry_list.own
        seen = self._seen.get(key)
        is_later = seen is not None and seen.revision > revision
        return is_later and seen.holder != Holder(own.entry, own.boot)

    async def _write(self, key: str, revision: int) -> keyvalue.CommitResult:
        own = self.entry_list.own
        condition = keyvalue.Condition(key, mod_revision=revision)
        write = keyvalue.Write(key, codec.to_json(Holder(own.entry, own.boot)))
        return await self.client.commit([condition], [write])

    def _hold(self, key: str, held: _HeldShare) -> None:
        self._held[key] = held
        events.log(
            LOGGER,
            events.Event.LIMIT_SHARE_TAKEN,
            share=key.removeprefix(PREFIX),
            revision=held.revision,
            is_new=held.is_new,
            held=len(self._held),
        )

    def _is_own(self, seen: _SeenShare) -> bool:
        return seen.holder is not None and seen.holder.entry == self.entry_list.own.entry

    def _keys_in_order(self) -> list[str]:
        keys = [f"{PREFIX}{number:02d}" for number in range(SHARE_COUNT)]
        self.rng.shuffle(keys)
        return keys

    def _may_take(self, key: str, has_room: bool) -> bool:
        unclear_at = self._unclear.get(key)
        if unclear_at is not None and unclear_at.age_s() < UNCLEAR_S:
            return False
        seen = self._seen.get(key)
        if seen is not None and self._is_own(seen):
            return True
        if not has_room:
            return False
        if seen is not None:
            free_s = seen.seen_at.age_s() - TAKEOVER_S
        else:
            free_s = self._started_at.age_s()
        if free_s < 0:
            return False
        rank = sharing.rank(key, self.entry_list.own, self.entry_list.others())
        return rank * TURN_S <= free_s

    def _apply_changes(self, keys: frozenset[str]) -> None:
        for key in keys:
            item = self.kv_mirror.items.get(key)
            if item is None:
                self._seen.pop(key, None)
                continue
            self._seen[key] = _SeenShare(_read_holder(item), item.mod_revision, clock.now())
            self._adopt(key, item)

    def _adopt(self, key: str, item: keyvalue.Item) -> None:
        """Compare a share as read with what this entry holds, and with unclear writes."""
        own = self.entry_list.own
        held = self._held.get(key)
        # Only this process writes its boot ID.
        is_own = self._seen[key].holder == Holder(own.entry, own.boot)
        if is_own and held is not None:
            revision = max(held.revision, item.mod_revision)
            self._held[key] = attrs.evolve(held, revision=revision)
        elif is_own and key in self._unclear:
            written_at = self._unclear.pop(key)
            is_new = item.create_revision == item.mod_revision
            self._hold(key, _HeldShare(item.mod_revision, written_at, clock.now(), is_new))
        elif not is_own:
            self._unclear.pop(key, None)
            if held is not None and item.mod_revision > held.revision:
                del self._held[key]


def _is_usable(held: _HeldShare, window_s: float) -> bool:
    if held.written_at.age_s() >= VALIDITY_S:
        return False
    return held.is_new or held.acquired_at.age_s() >= window_s + TRANSFER_MARGIN_S


def _read_holder(item: keyvalue.Item) -> Holder | None:
    try:
        return codec.from_json(item.value, Holder)
    except codec.CodecError as error:
        LOGGER.warning("record %s cannot be decoded: %s", item.key, error)
        return None
