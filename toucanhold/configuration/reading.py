"""Reading the accepted configuration into the holder."""

import logging

import attrs

from toucanhold import clock, events
from toucanhold.configuration import holder, snapshot, store

SOURCE = "platform"

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class ConfigurationReader:
    """Reads what changed since it last read.

    :ivar confirmed_at: when the latest read that was answered had been sent: the configuration in
        force here is at least as late as this moment
    :ivar highest_unreadable: highest number that this version of the program could not read
    """

    store: store.ConfigurationStore
    configuration: holder.ConfigurationHolder
    confirmed_at: clock.Instant = clock.DISTANT_PAST
    highest_unreadable: int = 0
    _known_revision: int = attrs.field(default=0, init=False)
    _last_problem: str = attrs.field(default="", init=False)

    async def refresh(self) -> int:
        """Put the accepted configuration in force; return the service's revision.

        :raises keyvalue.KeyValueError: when the service does not answer
        """
        sent, known_revision = clock.now(), self._known_revision
        try:
            delta, revision = await self.store.read_delta(
                self.configuration.accepted.number, known_revision
            )
            self.configuration.apply(delta, SOURCE)
        except snapshot.SnapshotError as error:
            # What cannot be read must neither end the entry nor replace what is in force.
            self.record_unreadable(SOURCE, error)
            self.confirmed_at = sent
            return known_revision
        # A service that was restored from a copy counts from an earlier revision again; reading
        # on from the known one would return nothing for a long time.
        restored = revision < known_revision
        self._known_revision = 0 if restored else max(revision, self._known_revision)
        self.confirmed_at = sent
        return revision

    def record_unreadable(self, source: str, error: snapshot.SnapshotError) -> None:
        """Log a configuration that could not be read, once for each mistake."""
        self.highest_unreadable = max(self.highest_unreadable, error.number)
        if str(error) != self._last_problem:
            self._last_problem = str(error)
            events.log(
                LOGGER,
                events.Event.CONFIGURATION_UNREADABLE,
                source=source,
                configuration=error.number,
                reason=str(error),
            )
