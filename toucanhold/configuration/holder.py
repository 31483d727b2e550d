"""The configuration in force on this entry."""

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.configuration import snapshot

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class ConfigurationHolder:
    """Holds the highest configuration that this entry has learnt."""

    current: snapshot.Configuration = attrs.field(factory=snapshot.Configuration)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def apply(self, delta: snapshot.Delta, source: str) -> bool:
        """Put ``delta`` in force; false where it is not newer.

        :raises snapshot.SnapshotError: when it leaves a gap or is malformed
        """
        # Watches, reads and peers all end here, late, doubled and in any order. A configuration
        # that went back to an older one would give a drained availability zone new work.
        if delta.number <= self.current.number:
            return False
        self.current = self.current.merged(delta)
        events.log(
            LOGGER,
            events.Event.CONFIGURATION_IN_FORCE,
            configuration=self.current.number,
            source=source,
            zones_out=sorted(self.current.zones_out),
        )
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_changed(self) -> None:
        """Return after the next change."""
        await self._changed.wait()
