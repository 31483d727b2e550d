"""Registers this entry in the key-value service and lists the other registered entries."""

from __future__ import annotations

import logging
import random

import attrs
import trio

from toucanhold import clock, codec, events, parsing
from toucanhold.coordination import keyvalue, lease, mirror

ENTRIES_PREFIX = "toucanhold/entries/"
# A killed entry is advertised to callers for at most this long. The lease is renewed four times in
# this period; each renewal costs a tenth of the price of a call.
ENTRY_LEASE_S = 3
# All leases may lapse during an outage of the key-value service. Each entry registers again within
# a second after it.
LAPSE_GRACE_S = 2.0
# An entry uses no parts of common limits until it has been listed for this long: the others do not
# know of it yet.
SETTLE_S = 1.0
# Nor after it has heard nothing of the key-value service for this long: it may no longer be listed.
PARTS_VALIDITY_S = 10.0
# The parts of an entry that left are divided after this time, when it has stopped using them.
PARTS_HELD_S = 12.0
# Longer than an entry goes on serving after it has deregistered.
DEPARTED_VALIDITY_S = 60.0

# A start of the whole system makes all entries discover all others at once.
MAX_LOGGED_ENTRIES = 4

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Entry:
    """Registration of one process of an entry.

    :ivar entry: name of the entry; stays the same over restarts
    :ivar zone: availability zone
    :ivar callers_address: ``host:port`` at which callers connect
    :ivar exchange_address: ``host:port`` for datagrams and streams from other entries
    :ivar boot: unique ID of the process, which distinguishes restarts
    :ivar cores: processor capacity in reference cores
    :ivar tunnel_address: ``host:port`` for tunnels to backend servers; empty in earlier versions
    :ivar lending_address: ``host:port`` for datagrams about lent retries; empty in earlier versions
    """

    entry: str
    zone: str
    region: str
    callers_address: str
    exchange_address: str
    boot: str
    cores: float = 1.0
    tunnel_address: str = ""
    lending_address: str = ""


def decode(data: bytes) -> Entry:
    """Return the registration that a record contains.

    :raises codec.CodecError: when it is malformed
    """
    entry = codec.from_json(data, Entry)
    try:
        for name in (entry.entry, entry.zone, entry.boot):
            parsing.name(name)
        parsing.number(entry.cores)
        for address in (entry.callers_address, entry.exchange_address):
            parsing.ip_address(address)
        for address in (entry.tunnel_address, entry.lending_address):
            if address:
                parsing.ip_address(address)
    except parsing.ParseError as error:
        raise codec.CodecError(str(error)) from error
    return entry


@attrs.define(eq=False)
class EntryList:
    """Keeps this entry registered and follows the registrations of the others.

    :ivar own: this entry
    :ivar kv_mirror: mirror of the key-value service
    :ivar is_stopping: whether this entry has deregistered or is doing so
    :ivar version: incremented with each change of the entries
    """

    own: Entry
    client: keyvalue.KeyValueClient
    kv_mirror: mirror.Mirror
    rng: random.Random
    is_stopping: bool = attrs.field(default=False, init=False)
    version: int = attrs.field(default=0, init=False)
    _records: dict[str, tuple[int, Entry]] = attrs.field(factory=dict, init=False)
    _others: dict[str, Entry] = attrs.field(factory=dict, init=False)
    # Entries that left, with the trio clock time until which they may still be serving.
    _departed: dict[str, tuple[Entry, float]] = attrs.field(factory=dict, init=False)
    _sharing_count: int = attrs.field(default=0, init=False)
    _listed_at: clock.Instant | None = attrs.field(default=None, init=False)
    _leased_key: lease.LeasedKey = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to changes of the registrations."""
        self._leased_key = lease.LeasedKey(
            self.client,
            self._own_key,
            codec.to_json(self.own),
            ENTRY_LEASE_S,
            self.rng,
            # The key contains this process's boot ID, so no other process can hold it. Otherwise,
            # during an outage, each entry would read the key four times per lease period; renewing
            # costs a tenth of that.
            is_contended=False,
        )
        self.kv_mirror.add_listener(ENTRIES_PREFIX, self._apply_changes)

    async def run(self) -> None:
        """Keep this entry registered until cancelled or deregistered."""
        await self._leased_key.run()

    async def deregister(self) -> None:
        """Remove this entry's registration permanently."""
        self.is_stopping = True
        self.version += 1
        await self._leased_key.release()

    def others(self) -> list[Entry]:
        """Return the other registered entries."""
        return list(self._others.values())

    def sharing(self) -> list[Entry]:
        """Return the other entries that may use parts of common limits.

        Entries that have left are included until they have certainly stopped.
        """
        held_from_s = trio.current_time() + DEPARTED_VALIDITY_S - PARTS_HELD_S
        held = [entry for entry, until_s in self._departed.values() if until_s > held_from_s]
        return self.others() + held

    @property
    def may_use_parts(self) -> bool:
        """Whether the others reckon with this entry when they divide common limits."""
        return (
            self._listed_at is not None
            and self._listed_at.age_s() >= SETTLE_S
            and self.kv_mirror.sync_status.confirmed_at.age_s() < PARTS_VALIDITY_S
        )

    def find(self, name: str, boot: str) -> Entry | None:
        """Return another entry, or None if it is not registered or has restarted since.

        :param boot: expected boot ID
        """
        entry = self._others.get(name)
        return entry if entry is not None and entry.boot == boot else None

    def find_departed(self, name: str, boot: str) -> Entry | None:
        """Return an entry that is no longer registered but may still serve callers, or None.

        :param boot: expected boot ID
        """
        entry, until_s = self._departed.get(name, (None, 0.0))
        is_serving = entry is not None and entry.boot == boot and trio.current_time() < until_s
        return entry if is_serving else None

    def serving(self) -> list[Entry]:
        """Return the entries that accept callers, with this one unless it is stopping."""
        return self.others() + ([] if self.is_stopping else [self.own])

    @property
    def _own_key(self) -> str:
        return f"{ENTRIES_PREFIX}{self.own.entry}/{self.own.boot}"

    def _apply_changes(self, keys: frozenset[str]) -> None:
        for key in keys:
            self._records.pop(key, None)
            item = self.kv_mirror.items.get(key)
            if key == self._own_key:
                self._listed_at = clock.now() if item is not None else None
            if item is None or key == self._own_key:
                continue
            try:
                self._records[key] = item.create_revision, decode(item.value)
            except codec.CodecError as error:
                LOGGER.warning("entry record %s cannot be decoded: %s", key, error)
        self._refresh_others()

    def _refresh_others(self) -> None:
        newest: dict[str, tuple[int, Entry]] = {}
        for create_revision, entry in self._records.values():
            previous = newest.get(entry.entry, (0, entry))
            # A killed and restarted entry is listed twice until its old lease expires. The newest
            # record counts.
            if entry.entry != self.own.entry and create_revision > previous[0]:
                newest[entry.entry] = create_revision, entry
        self._set_others({name: entry for name, (_, entry) in newest.items()})

    def _set_others(self, others: dict[str, Entry]) -> None:
        """Replace the other entries; shortly after an outage, only add and update them."""
        if self.kv_mirror.since_failure_s < LAPSE_GRACE_S:
            others = self._others | others
        joined = sorted(others.keys() - self._others.keys())
        for name in joined[:MAX_LOGGED_ENTRIES]:
            events.log(LOGGER, events.Event.ENTRY_JOINED, entry=name, zone=others[name].zone)
        if len(joined) > MAX_LOGGED_ENTRIES:
            not_named = len(joined) - MAX_LOGGED_ENTRIES
            events.log(LOGGER, events.Event.ENTRIES_JOINED, not_named=not_named)
        until_s = trio.current_time() + DEPARTED_VALIDITY_S
        for name in self._others.keys() - others.keys():
            self._departed[name] = self._others[name], until_s
            events.log(LOGGER, events.Event.ENTRY_LEFT, entry=name)
        self.version += self._others != others
        self._others = others
        now_s = trio.current_time()
        self._departed = {
            name: (entry, until_s)
            for name, (entry, until_s) in self._departed.items()
            if name not in others and now_s < until_s
        }
        sharing_count = len(self.sharing())
        if sharing_count != self._sharing_count:
            self._sharing_count = sharing_count
            self.version += 1

    async def run_expiry(self) -> None:
        """Remove entries that did not register again after an outage, until cancelled."""
        while True:
            await trio.sleep(0.5)
            if self._departed or len(self._others) != len(self._records):
                self._refresh_others()
