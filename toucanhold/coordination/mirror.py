"""In-memory mirror of the key-value service's items, and the changes that are applied to it."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs

from toucanhold import clock, events, notifier, supervision
from toucanhold.coordination import keyvalue

# Batches of changes kept for entries that follow this mirror. At most about ten batches arrive per
# second; a follower that was disconnected for longer than half a minute gets a snapshot.
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

    :ivar after: revision before the first change, exclusive
    :ivar revision: revision up to which changes are included
    :ivar items: latest state of each key that was written
    :ivar deleted: keys that were deleted and do not exist at ``revision``
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
class _Batch:
    """Changes that were applied at once.

    :ivar is_difference: whether they were found by comparing two full reads, so that keys written
        and deleted in between are missing
    """

    changes: Changes
    is_difference: bool = False


@attrs.frozen
class SyncStatus:
    """How current a mirror is, and whether the service answers.

    :ivar confirmed_at: when the mirror last certainly held all items of the service
    :ivar is_answering: whether the service answers calls, here or at the entry that this mirror
        follows; one failed call alone does not change that
    :ivar last_failure_at: when the service was last known to be away; see
        :class:`outages.OutageDetector`
    """

    confirmed_at: clock.Instant = clock.DISTANT_PAST
    is_answering: bool = False
    last_failure_at: clock.Instant = clock.DISTANT_PAST


@attrs.define(eq=False)
class Mirror:
    """All items of the service, and listeners that are called after changes.

    :ivar items: key to item
    :ivar revision: revision up to which all changes are applied
    :ivar sync_status: how current this mirror is
    :ivar changed: wakes its waiters after each change of the items or of ``is_answering``
    """

    items: dict[str, keyvalue.Item] = attrs.field(factory=dict, init=False)
    revision: int = attrs.field(default=0, init=False)
    sync_status: SyncStatus = attrs.field(factory=SyncStatus, init=False)
    changed: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    _history: collections.deque[_Batch] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY_BATCHES), init=False
    )
    _listeners: list[tuple[str, Listener]] = attrs.field(factory=list, init=False)

    @property
    def is_answering(self) -> bool:
        """Whether the service answers calls."""
        return self.sync_status.is_answering

    @property
    def since_failure_s(self) -> float:
        """Seconds since the service was last known to be away."""
        return self.sync_status.last_failure_at.age_s()

    def items_under(self, prefix: str) -> list[keyvalue.Item]:
        """Return the items whose keys begin with ``prefix``."""
        return [item for key, item in self.items.items() if key.startswith(prefix)]

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with the changed keys under ``prefix`` after each batch."""
        self._listeners.append((prefix, listener))

    def changes_since(self, revision: int) -> Changes | None:
        """Return the changes after a revision, or None where the history does not reach back."""
        if revision >= self.revision:
            return Changes(revision, revision)
        if not self._history or self._history[0].changes.after > revision:
            return None
        items: dict[str, keyvalue.Item] = {}
        deleted: dict[str, Deletion] = {}
        for batch in self._history:
            changes = batch.changes
            if batch.is_difference and changes.after < revision < changes.revision:
                return None
            for deletion in changes.deleted:
                if deletion.revision > revision:
                    deleted[deletion.key] = deletion
                    items.pop(deletion.key, None)
            for item in changes.items:
                if item.mod_revision > revision:
                    items[item.key] = item
                    deleted.pop(item.key, None)
        return Changes(revision, self.revision, tuple(items.values()), tuple(deleted.values()))

    def replace(self, result: keyvalue.RangeResult) -> None:
        """Replace all items by those of one revision; ignored if older than the mirror's."""
        if result.revision < self.revision:
            return
        new_items = {item.key: item for item in result.items}
        removed = self.items.keys() - new_items.keys()
        changed = {key for key, item in new_items.items() if self.items.get(key) != item}
        if self.revision and self.revision < result.revision:
            # A snapshot would cost each follower as much as its start, and there are many of them.
            difference = Changes(
                self.revision,
                result.revision,
                tuple(new_items[key] for key in sorted(changed)),
                tuple(Deletion(key, result.revision) for key in sorted(removed)),
            )
            self._history.append(_Batch(difference, is_difference=True))
        elif removed or changed:
            self._history.clear()
        self.items = new_items
        self.revision = result.revision
        self._notify(removed | changed)

    def apply(self, changes: Changes) -> None:
        """Apply changes; ignored if outdated, or after a gap in the revisions."""
        if changes.after > self.revision or changes.revision <= self.revision:
            return
        changed_keys = {deletion.key for deletion in changes.deleted if self._delete(deletion)}
        changed_keys |= {item.key for item in changes.items if self._put(item)}
        self.revision = changes.revision
        self._history.append(_Batch(changes))
        self._notify(changed_keys)

    def update_sync_status(self, sync_status: SyncStatus, source: str, reason: str = "") -> None:
        """Set the sync status, and log when the service stops or starts to answer.

        :param source: address or name of where the status comes from, for the log
        :param reason: why the service does not answer, for the log
        """
        was_answering = self.sync_status.is_answering
        self.sync_status = sync_status
        if sync_status.is_answering == was_answering:
            return
        event = (
            events.Event.PLATFORM_BACK if sync_status.is_answering else events.Event.PLATFORM_LOST
        )
        events.log(LOGGER, event, source=source, reason=reason, revision=self.revision)
        self.changed.notify_all()

    def _put(self, item: keyvalue.Item) -> bool:
        # Later pages of a full read may include changes after the read's revision. The changes that
        # follow repeat these, and contain older ones of the same keys.
        current = self.items.get(item.key)
        if current is not None and current.mod_revision >= item.mod_revision:
            return False
        self.items[item.key] = item
        return True

    def _delete(self, deletion: Deletion) -> bool:
        current = self.items.get(deletion.key)
        if current is None or current.mod_revision > deletion.revision:
            return False
        del self.items[deletion.key]
        return True

    def _notify(self, keys: set[str]) -> None:
        for prefix, listener in self._listeners:
            matching_keys = frozenset(key for key in keys if key.startswith(prefix))
            if matching_keys and not supervision.call(listener, matching_keys):
                # The error hid the other items of the batch. Listeners read the current items, so
                # they may be called for a key again.
                for key in matching_keys if len(matching_keys) > 1 else ():
                    supervision.call(listener, frozenset((key,)))
        self.changed.notify_all()
