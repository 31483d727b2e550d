"""The entries that are there, as each keeps itself written in the key-value service."""

from __future__ import annotations

import logging
import random

import attrs
import trio

from toucanhold import codec, events
from toucanhold.coordination import keyvalue, lease, mirror

ENTRIES_PREFIX = "toucanhold/entries/"
# An entry that was killed is named to callers for this long at most. It is renewed four times in
# this time, for a tenth of a call's price each.
ENTRY_LEASE_S = 3
# All leases may lapse while the service is away; each entry writes itself anew within a second.
LAPSE_GRACE_S = 2.0

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Entry:
    """One start of one entry.

    :ivar callers_address: where callers connect
    :ivar exchange_address: where other entries send to
    :ivar boot: tells its starts apart
    :ivar cores: its processor, in cores of usual speed
    """

    entry: str
    zone: str
    region: str
    callers_address: str
    exchange_address: str
    boot: str
    cores: float = 1.0


@attrs.define(eq=False)
class EntryList:
    """This entry's own record, and the others'.

    :ivar version: grows with each change of the others
    """

    own: Entry
    client: keyvalue.KeyValueClient
    source: mirror.Mirror
    rng: random.Random
    is_stopping: bool = attrs.field(default=False, init=False)
    version: int = attrs.field(default=0, init=False)
    _records: dict[str, tuple[int, Entry]] = attrs.field(factory=dict, init=False)
    _others: dict[str, Entry] = attrs.field(factory=dict, init=False)
    _leased_key: lease.LeasedKey = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the records."""
        self._leased_key = lease.LeasedKey(
            self.client,
            self._own_key,
            codec.to_json(self.own),
            ENTRY_LEASE_S,
            self.rng,
            # The key names this very process. In an outage each entry would ask for it four times
            # in the lease's time; renewing costs a tenth of that.
            is_contended=False,
        )
        self.source.listen(ENTRIES_PREFIX, self._apply_changes)

    async def run(self) -> None:
        """Keep the own record until cancelled or stopped."""
        await self._leased_key.run()

    async def deregister(self) -> None:
        """Take the own record away for good."""
        self.is_stopping = True
        await self._leased_key.release()

    def others(self) -> list[Entry]:
        """Return the other entries that are there."""
        return list(self._others.values())

    def find(self, name: str, boot: str) -> Entry | None:
        """Return another entry, unless it is unknown or has started again since."""
        entry = self._others.get(name)
        return entry if entry is not None and entry.boot == boot else None

    def serving(self) -> list[Entry]:
        """Return the entries that callers may be sent to."""
        return self.others() + ([] if self.is_stopping else [self.own])

    @property
    def _own_key(self) -> str:
        return f"{ENTRIES_PREFIX}{self.own.entry}/{self.own.boot}"

    def _apply_changes(self, keys: frozenset[str]) -> None:
        for key in keys:
            self._records.pop(key, None)
            item = self.source.items.get(key)
            if item is None or key == self._own_key:
                continue
            try:
                self._records[key] = item.create_revision, codec.from_json(item.value, Entry)
            except codec.CodecError as error:
                LOGGER.warning("the record %s is not readable: %s", key, error)
        self._refresh_others()

    def _refresh_others(self) -> None:
        newest: dict[str, tuple[int, Entry]] = {}
        for create_revision, entry in self._records.values():
            previous = newest.get(entry.entry, (0, entry))
            # A machine that was killed and is back stands here twice until its old lease ends.
            if entry.entry != self.own.entry and create_revision > previous[0]:
                newest[entry.entry] = create_revision, entry
        self._set_others({name: entry for name, (_, entry) in newest.items()})

    def _set_others(self, others: dict[str, Entry]) -> None:
        if self.source.since_failure_s < LAPSE_GRACE_S:
            others = self._others | others
        for name in others.keys() - self._others.keys():
            events.log(LOGGER, events.Event.ENTRY_JOINED, entry=name, zone=others[name].zone)
        for name in self._others.keys() - others.keys():
            events.log(LOGGER, events.Event.ENTRY_LEFT, entry=name)
        self.version += self._others != others
        self._others = others

    async def run_expiry(self) -> None:
        """Drop records that did not come back after an outage, until cancelled."""
        while True:
            await trio.sleep(0.5)
            self._refresh_others()
