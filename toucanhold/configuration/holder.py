"""The configuration and the holds in force on this entry."""

from __future__ import annotations

import collections
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.configuration import holds, snapshot

HISTORY_LENGTH = 8

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class ConfigurationHolder:
    """Keeps the highest-numbered configuration that this entry has received, and all holds.

    :ivar current: the configuration in force: ``accepted``, without the availability zones of the
        holds; compare by identity, since a hold changes it without a new number
    :ivar accepted: the configuration as accepted by the key-value service
    """

    current: snapshot.Configuration = attrs.field(factory=snapshot.Configuration)
    accepted: snapshot.Configuration = attrs.field(init=False)
    _holds: dict[str, holds.Hold] = attrs.field(factory=dict, init=False)
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _history: collections.deque[snapshot.Configuration] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY_LENGTH), init=False
    )

    def __attrs_post_init__(self) -> None:
        """Set ``accepted``; without holds it equals ``current``."""
        self.accepted = self.current

    def apply(self, delta: snapshot.Delta, source: str) -> bool:
        """Put ``delta`` in force; return False if it is not newer than ``accepted``.

        :param source: where the delta came from, for the log
        :raises snapshot.SnapshotError: when it leaves a gap or is malformed
        """
        # Watches, reads and peers deliver deltas late, repeatedly and out of order. Going back to
        # an older configuration would give new work to a drained availability zone.
        if delta.number <= self.accepted.number:
            return False
        merged = self.accepted.merged(delta)
        self._history.append(self.accepted)
        self.accepted = merged
        for hold in self.holds():
            if hold.hold in self.accepted.resolved_holds:
                del self._holds[hold.hold]
                events.log(LOGGER, events.Event.HOLD_RESOLVED, **_log_fields(hold))
        self._update_current()
        events.log(
            LOGGER,
            events.Event.CONFIGURATION_IN_FORCE,
            configuration=self.current.number,
            source=source,
            zones_out=sorted(self.current.zones_out),
        )
        return True

    def find_accepted(self, number: int) -> snapshot.Configuration | None:
        """Return an accepted configuration by number, or None if it has left the history.

        The history has the current one and up to :data:`HISTORY_LENGTH` earlier ones.
        """
        recent = (*self._history, self.accepted)
        return next((accepted for accepted in recent if accepted.number == number), None)

    def holds(self) -> tuple[holds.Hold, ...]:
        """Return the holds in force, ordered by identifier."""
        return tuple(self._holds[hold_id] for hold_id in sorted(self._holds))

    def add_hold(self, hold: holds.Hold, source: str) -> bool:
        """Put a hold in force; return False if it is already in force or resolved.

        :param source: where the hold came from, for the log
        """
        # A message that was in transit while its availability zone was returned to service must
        # not take the zone out again. The configuration that returned the zone lists the hold.
        if hold.hold in self._holds or hold.hold in self.accepted.resolved_holds:
            return False
        self._holds[hold.hold] = hold
        events.log(LOGGER, events.Event.HOLD_IN_FORCE, source=source, **_log_fields(hold))
        self._update_current()
        return True

    async def wait_changed(self) -> None:
        """Wait for the next change of the configuration or of the holds."""
        await self._changed.wait()

    def _update_current(self) -> None:
        held_zones = frozenset(hold.availability_zone for hold in self._holds.values())
        zones_out = self.accepted.zones_out | held_zones
        self.current = attrs.evolve(self.accepted, zones_out=zones_out)
        self._changed.set()
        self._changed = trio.Event()


def _log_fields(hold: holds.Hold) -> dict[str, str]:
    return {
        "hold": hold.hold,
        "availability_zone": hold.availability_zone,
        "author": hold.author,
        "made_by": hold.made_by,
    }
