"""A copy of the key-value service's items, and what keeps it up to date."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs

from toucanhold import clock, events, waking
from toucanhold.coordination import keyvalue

# Changes that are kept for entries that follow this copy; some ten batches come in a second at
# most, and one that was away for longer than half a minute reads everything anew.
HISTORY_BATCHES = 300

LOGGER = logging.getLogger(__name__)

Listener = collections.abc.Callable[[frozenset[str]], None]


@attrs.frozen
class Deletion:
    """A key that no longer exists.

    :ivar revision: revision of its deletion
    """

    key: str
    revision: int


@attrs.frozen
class Changes:
    """All that changed between two revisions.

    :ivar after: the revision from which this tells everything
    :ivar revision: the revision up to which it does
    """

    after: int
    revision: int
    items: tuple[keyvalue.Item, ...] = ()
    deleted: tuple[Deletion, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not self.items and not self.deleted


@attrs.frozen
class Standing:
    """How far a copy can be relied on.

    :ivar confirmed: when it certainly held all that the service had
    :ivar is_answering: whether the last call to the service was answered, here or at the entry
        that this copy follows
    :ivar last_failure: when a call last failed
    """

    confirmed: clock.Instant = clock.LONG_AGO
    is_answering: bool = False
    last_failure: clock.Instant = clock.LONG_AGO


@attrs.define(eq=False)
class Mirror:
    """All items of the service, and the listeners to its changes.

    :ivar items: key to item
    :ivar revision: the revision up to which everything is known
    :ivar changed: wakes those that wait for news of any kind
    """

    items: dict[str, keyvalue.Item] = attrs.field(factory=dict, init=False)
    revision: int = attrs.field(default=0, init=False)
    standing: Standing = attrs.field(factory=Standing, init=False)
    changed: waking.Signal = attrs.field(factory=waking.Signal, init=False)
    _history: collections.deque[Changes] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY_BATCHES), init=False
    )
    _listeners: list[tuple[str, Listener]] = attrs.field(factory=list, init=False)

    @property
    def is_answering(self) -> bool:
        """Whether the service's last call was answered."""
        return self.standing.is_answering

    @property
    def since_failure_s(self) -> float:
        """Time since the last call that failed, in seconds."""
        return self.standing.last_failure.age_s()

    def under(self, prefix: str) -> list[keyvalue.Item]:
        """Return the items whose keys begin with ``prefix``."""
        return [item for key, item in self.items.items() if key.startswith(prefix)]

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with the changed keys under ``prefix`` after each batch."""
        self._listeners.append((prefix, listener))

    def changes_since(self, revision: int) -> Changes | None:
        """Return what changed after a revision, or None where that is no longer known."""
        if revision >= self.revision:
            return Changes(revision, revision)
        if not self._history or self._history[0].after > revision:
            return None
        items: dict[str, keyvalue.Item] = {}
        deleted: dict[str, Deletion] = {}
        for batch in self._history:
            for deletion in batch.deleted:
                if deletion.revision > revision:
                    deleted[deletion.key] = deletion
                    items.pop(deletion.key, None)
            for item in batch.items:
                if item.mod_revision > revision:
                    items[item.key] = item
                    deleted.pop(item.key, None)
        return Changes(revision, self.revision, tuple(items.values()), tuple(deleted.values()))

    def replace(self, result: keyvalue.RangeResult) -> None:
        """Take in all items as of one revision; older ones than this copy's are passed over."""
        if result.revision < self.revision:
            return
        present = {item.key: item for item in result.items}
        gone = self.items.keys() - present.keys()
        changed = {key for key, item in present.items() if self.items.get(key) != item}
        self.items = present
        self.revision = result.revision
        self._history.clear()
        self._notify(gone | changed)

    def apply(self, changes: Changes) -> None:
        """Take in changes that follow on this copy's revision, or overlap it."""
        if changes.after > self.revision or changes.revision <= self.revision:
            return
        touched = {deletion.key for deletion in changes.deleted if self._delete(deletion)}
        touched |= {item.key for item in changes.items if self._put(item)}
        self.revision = changes.revision
        self._history.append(changes)
        self._notify(touched)

    def note_standing(self, standing: Standing, source: str, reason: str = "") -> None:
        """Take note of how far this copy can be relied on.

        :param source: where it comes from
        :param reason: why the service does not answer
        """
        was_answering = self.standing.is_answering
        self.standing = standing
        if standing.is_answering == was_answering:
            return
        event = events.Event.PLATFORM_BACK if standing.is_answering else events.Event.PLATFORM_LOST
        events.log(LOGGER, event, source=source, reason=reason, revision=self.revision)
        self.changed.wake()

    def _put(self, item: keyvalue.Item) -> bool:
        # Pages of a first read may hold later changes than the revision that they begin at; the
        # changes that follow tell those once more, and older ones before them.
        known = self.items.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return False
        self.items[item.key] = item
        return True

    def _delete(self, deletion: Deletion) -> bool:
        known = self.items.get(deletion.key)
        if known is None or known.mod_revision > deletion.revision:
            return False
        del self.items[deletion.key]
        return True

    def _notify(self, keys: set[str]) -> None:
        for prefix, listener in self._listeners:
            concerned = frozenset(key for key in keys if key.startswith(prefix))
            if concerned:
                listener(concerned)
        self.changed.wake()
