"""A copy of the key-value service's items, kept up to date by one watch."""

from __future__ import annotations

import abc
import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock, events
from toucanhold.coordination import keyvalue

# A connection that went silent is noticed this much later than the watch should have returned.
WATCH_WAIT_S = 2.0
FIRST_BACKOFF_S = 0.05
# An outage ends unannounced; the copy is behind by at most this after it.
MAX_BACKOFF_S = 0.4

LOGGER = logging.getLogger(__name__)

Listener = collections.abc.Callable[[frozenset[str]], None]


@attrs.frozen
class Changes:
    """What changed after a revision.

    :ivar revision: the service's revision up to which this tells everything
    :ivar items: items as they were written, oldest first
    :ivar deleted: keys that no longer exist, unless a later item says otherwise
    """

    revision: int
    items: tuple[keyvalue.Item, ...] = ()
    deleted: tuple[str, ...] = ()


class ChangeSource(abc.ABC):
    """Reads everything once, then what changes."""

    @abc.abstractmethod
    async def read_all(self, prefix: str) -> keyvalue.RangeResult:
        """Return the items under ``prefix``, and a revision from which to follow them.

        :raises keyvalue.KeyValueError: when the service does not answer
        """

    @abc.abstractmethod
    async def read_changes(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first of them.

        :raises keyvalue.CompactedError: when that history is no longer kept
        :raises keyvalue.KeyValueError: when the service does not answer
        """


@attrs.define(eq=False)
class Mirror:
    """The items under some prefixes, and who wants to hear of changes.

    :ivar prefixes: one watch each
    :ivar gather_s: pause before the next watch, in which further changes gather: each return of a
        watch is a call that the platform counts
    :ivar items: key to item
    :ivar revision: the newest revision seen of any prefix
    """

    source: ChangeSource
    prefixes: tuple[str, ...]
    gather_s: collections.abc.Callable[[], float]
    rng: random.Random
    items: dict[str, keyvalue.Item] = attrs.field(factory=dict, init=False)
    revision: int = attrs.field(default=0, init=False)
    _answering: dict[str, bool] = attrs.field(factory=dict, init=False)
    _last_failure: clock.Instant = attrs.field(default=clock.LONG_AGO, init=False)
    _listeners: list[tuple[str, Listener]] = attrs.field(factory=list, init=False)

    @property
    def is_answering(self) -> bool:
        """Whether each prefix was read and its last call was answered."""
        return all(self._answering.get(prefix, False) for prefix in self.prefixes)

    @property
    def since_failure_s(self) -> float:
        """Time since the last call that failed, in seconds."""
        return self._last_failure.age_s()

    def under(self, prefix: str) -> list[keyvalue.Item]:
        """Return the items whose keys begin with ``prefix``."""
        return [item for key, item in self.items.items() if key.startswith(prefix)]

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with the changed keys under ``prefix`` after each batch."""
        self._listeners.append((prefix, listener))

    async def run(self) -> None:
        """Follow all prefixes until cancelled."""
        async with trio.open_nursery() as nursery:
            for prefix in self.prefixes:
                nursery.start_soon(self._follow, prefix)

    async def _follow(self, prefix: str) -> None:
        backoff_s = FIRST_BACKOFF_S
        revision = 0
        while True:
            try:
                revision = await self._advance(prefix, revision)
                backoff_s = FIRST_BACKOFF_S
                continue
            except keyvalue.CompactedError:
                revision = 0
                events.log(LOGGER, events.Event.HISTORY_LOST, prefix=prefix)
                continue
            except keyvalue.KeyValueError as error:
                self._note(prefix, False, str(error))
            # Jitter keeps all entries from calling at once when the service returns.
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _advance(self, prefix: str, revision: int) -> int:
        if not revision:
            result = await self.source.read_all(prefix)
            self._note(prefix, True, "")
            self._replace(prefix, result)
            return result.revision
        changes = await self.source.read_changes(prefix, revision, WATCH_WAIT_S)
        self._note(prefix, True, "")
        self._apply(changes)
        if changes.items or changes.deleted:
            await trio.sleep(self.gather_s())
        return max(revision, changes.revision)

    def _replace(self, prefix: str, result: keyvalue.RangeResult) -> None:
        present = {item.key: item for item in result.items}
        gone = {key for key in self.items if key.startswith(prefix)} - present.keys()
        changed = {key for key, item in present.items() if self.items.get(key) != item}
        for key in gone:
            del self.items[key]
        self.items.update(present)
        self.revision = max(self.revision, result.revision)
        self._tell(gone | changed)

    def _apply(self, changes: Changes) -> None:
        touched = set(changes.deleted) | {item.key for item in changes.items}
        for key in changes.deleted:
            self.items.pop(key, None)
        self.items.update({item.key: item for item in changes.items})
        self.revision = max(self.revision, changes.revision)
        self._tell(touched)

    def _tell(self, keys: set[str]) -> None:
        for prefix, listener in self._listeners:
            concerned = frozenset(key for key in keys if key.startswith(prefix))
            if concerned:
                listener(concerned)

    def _note(self, prefix: str, answering: bool, reason: str) -> None:
        if not answering:
            self._last_failure = clock.read()
        if answering != self._answering.get(prefix, False):
            event = events.Event.PLATFORM_BACK if answering else events.Event.PLATFORM_LOST
            events.log(LOGGER, event, prefix=prefix, reason=reason, revision=self.revision)
        self._answering[prefix] = answering
