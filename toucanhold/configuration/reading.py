"""Reading of the accepted configuration from the key-value service."""

import logging

import attrs

from toucanhold import clock, events
from toucanhold.configuration import holder, snapshot, store

SOURCE = "platform"

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class ConfigurationReader:
    """Reads the changes since the last read and puts them in force.

    :ivar confirmed_at: when the latest answered read was sent; the configuration in force on this
        entry was the accepted one at that moment, or a later one
    :ivar highest_unreadable: highest number of a configuration that this version of the program
        could not decode; 0 for none
    """

    store: store.ConfigurationStore
    configuration: holder.ConfigurationHolder
    confirmed_at: clock.Instant = clock.DISTANT_PAST
    highest_unreadable: int = 0
    _known_revision: int = attrs.field(default=0, init=False)
    _last_logged_error: str = attrs.field(default="", init=False)

    async def refresh(self) -> int:
        """Put the accepted configuration in force; return the store revision that was read.

        A configuration that cannot be decoded is logged, and the previous one stays in force.

        :raises keyvalue.KeyValueError: when the key-value service does not answer
        """
        sent_at, known_revision = clock.now(), self._known_revision
        try:
            delta, revision = await self.store.read_delta(
                self.configuration.accepted.number, known_revision
            )
            self.configuration.apply(delta, SOURCE)
        except snapshot.SnapshotError as error:
            # An unreadable configuration must neither end the entry nor replace the one in force.
            self.record_unreadable(SOURCE, error)
            self.confirmed_at = sent_at
            return known_revision
        # A key-value service that was restored from a backup continues from an earlier revision.
        # Reading from the known revision on would then return nothing for a long time.
        is_restored = revision < known_revision
        self._known_revision = 0 if is_restored else max(revision, self._known_revision)
        self.confirmed_at = sent_at
        return revision

    def record_unreadable(self, source: str, error: snapshot.SnapshotError) -> None:
        """Log a configuration that could not be decoded; repeated errors are logged once.

        :param source: where the configuration came from
        """
        self.highest_unreadable = max(self.highest_unreadable, error.number)
        if str(error) != self._last_logged_error:
            self._last_logged_error = str(error)
            events.log(
                LOGGER,
                events.Event.CONFIGURATION_UNREADABLE,
                source=source,
                configuration=error.number,
                reason=str(error),
            )
