"""The configuration in force on this entry."""

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
    """Holds the highest configuration that this entry has learnt, and the holds on top of it.

    :ivar current: what is in force: the accepted configuration with the availability zones of
        all holds out; compare with ``is``, since a hold changes it under the same number
    :ivar accepted: the configuration as accepted by the key-value service
    """

    current: snapshot.Configuration = attrs.field(factory=snapshot.Configuration)
    accepted: snapshot.Configuration = attrs.field(init=False)
    _holds: dict[str, holds.Hold] = attrs.field(factory=dict, init=False)
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _former: collections.deque[snapshot.Configuration] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY_LENGTH), init=False
    )

    def __attrs_post_init__(self) -> None:
        """Start with no holds."""
        self.accepted = self.current

    def apply(self, delta: snapshot.Delta, source: str) -> bool:
        """Put ``delta`` in force; false where it is not newer.

        :raises snapshot.SnapshotError: when it leaves a gap or is malformed
        """
        # Watches, reads and peers all end here, late, doubled and in any order. A configuration
        # that went back to an older one would give a drained availability zone new work.
        if delta.number <= self.accepted.number:
            return False
        merged = self.accepted.merged(delta)
        self._former.append(self.accepted)
        self.accepted = merged
        for hold in self.holds():
            if hold.hold in self.accepted.resolved_holds:
                del self._holds[hold.hold]
                events.log(LOGGER, events.Event.HOLD_RESOLVED, **_fields(hold))
        self._renew()
        events.log(
            LOGGER,
            events.Event.CONFIGURATION_IN_FORCE,
            configuration=self.current.number,
            source=source,
            zones_out=sorted(self.current.zones_out),
        )
        return True

    def find_accepted(self, number: int) -> snapshot.Configuration | None:
        """Return an accepted configuration of the last few, the present one among them."""
        known = (*self._former, self.accepted)
        return next((each for each in known if each.number == number), None)

    def holds(self) -> tuple[holds.Hold, ...]:
        """Return the holds in force, in the order of their identifiers."""
        return tuple(self._holds[name] for name in sorted(self._holds))

    def add_hold(self, hold: holds.Hold, source: str) -> bool:
        """Put a hold in force; false where it is known or settled."""
        # A message that was under way while its availability zone was returned must not take the
        # zone out again: the configuration that returned it names the hold.
        if hold.hold in self._holds or hold.hold in self.accepted.resolved_holds:
            return False
        self._holds[hold.hold] = hold
        events.log(LOGGER, events.Event.HOLD_IN_FORCE, source=source, **_fields(hold))
        self._renew()
        return True

    async def wait_changed(self) -> None:
        """Return after the next change of the configuration or of the holds."""
        await self._changed.wait()

    def _renew(self) -> None:
        held = frozenset(hold.availability_zone for hold in self._holds.values())
        zones_out = self.accepted.zones_out | held
        self.current = attrs.evolve(self.accepted, zones_out=zones_out)
        self._changed.set()
        self._changed = trio.Event()


def _fields(hold: holds.Hold) -> dict[str, str]:
    return {
        "hold": hold.hold,
        "availability_zone": hold.availability_zone,
        "author": hold.author,
        "made_by": hold.made_by,
    }
