"""Whether this entry may give backend servers new work.

An entry that hears from nobody cannot know of an availability zone that was taken out, yet when
the platform is out for everyone, serving must go on. See docs/design/isolation.md.
"""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock, events
from toucanhold.configuration import holder, reading
from toucanhold.coordination import keyvalue
from toucanhold.membership import roster

TICK_INTERVAL_S = 0.2
# After a longer gap than this the process counts as paused: its peers may have given it up, and
# what lies in its sockets is old.
PAUSE_S = 1.5
# A read of the configuration counts for this long.
READ_COUNTS_S = 2.0
POLL_INTERVAL_S = 0.5
# Losing the majority is not yet being cut off: there is time for one read.
GRACE_S = 0.6
BEHIND_GRACE_S = 1.0

LOGGER = logging.getLogger(__name__)

Numbers = collections.abc.Callable[[], dict[str, int]]
Command = collections.abc.Callable[[], None]


@attrs.define(eq=False)
class WorkPermit:
    """Tells whether this entry's configuration is late enough to act on.

    :ivar heard_numbers: the configuration's number at each peer that is connected and has spoken
    :ivar drop_peers: ends all streams, so that only new handshakes count
    """

    configuration: holder.ConfigurationHolder
    reader: reading.ConfigurationReader
    roster: roster.Roster
    heard_numbers: Numbers
    drop_peers: Command
    rng: random.Random
    _ticked: clock.Instant = attrs.field(default=clock.LONG_AGO, init=False)
    _majority: clock.Instant = attrs.field(default=clock.LONG_AGO, init=False)
    _level: clock.Instant = attrs.field(default=clock.LONG_AGO, init=False)
    _stopped: str | None = attrs.field(default=None, init=False)
    _is_polling: bool = attrs.field(default=False, init=False)

    def refusal(self) -> str | None:
        """Return why no new work may start now, or None where it may."""
        if not self.configuration.current.number:
            return "no configuration yet"
        # Asked here and not only at the tick: after a pause a request may run before the tick.
        if self._ticked.age_s() > PAUSE_S:
            return "the entry was paused and has not checked its configuration since"
        if self.reader.confirmed.age_s() <= READ_COUNTS_S:
            return None
        if self._majority.age_s() > GRACE_S:
            return "neither the platform nor a majority of the entries can be reached"
        if self._level.age_s() > BEHIND_GRACE_S:
            return "peers have a later configuration"
        return None

    def may_start(self) -> bool:
        """Tell whether new work may start now."""
        return self.refusal() is None

    async def run(self) -> None:
        """Keep the facts up to date until cancelled."""
        self._ticked = clock.read()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_INTERVAL_S * self.rng.uniform(0.8, 1.2))
                self._tick()
                poll_s = POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2)
                if not self._has_majority() and self.reader.confirmed.age_s() > poll_s:
                    nursery.start_soon(self._poll)

    def _tick(self) -> None:
        gap_s = self._ticked.age_s()
        self._ticked = clock.read()
        if gap_s > PAUSE_S:
            self._distrust(gap_s)
        elif self._has_majority():
            self._majority = self._ticked
            if self._is_level():
                self._level = self._ticked
        self._note()

    def _distrust(self, gap_s: float) -> None:
        # Heartbeats sent before or during the pause are waiting in the sockets and would pass for
        # news. A new handshake answers a new challenge, so it is news.
        events.log(LOGGER, events.Event.ENTRY_PAUSED, gap_s=round(gap_s, 3))
        self.drop_peers()
        self.reader.confirmed = self._majority = self._level = clock.LONG_AGO

    def _has_majority(self) -> bool:
        counted = {
            member.entry
            for member in self.roster.others()
            if member.state is not roster.EntryState.STOPPING
        }
        reached = counted & self.heard_numbers().keys()
        return 2 * (len(reached) + 1) > len(counted) + 1

    def _is_level(self) -> bool:
        # A configuration that this version cannot read must not stop every entry at once while
        # they are replaced one by one by a later version; status shows who has what in force.
        own = max(self.configuration.current.number, self.reader.unreadable)
        return own >= max(self.heard_numbers().values(), default=0)

    async def _poll(self) -> None:
        if self._is_polling:
            return
        self._is_polling = True
        try:
            await self.reader.refresh()
        except keyvalue.KeyValueError as error:
            LOGGER.debug("configuration not confirmed: %s", error)
        finally:
            self._is_polling = False

    def _note(self) -> None:
        refusal = self.refusal()
        if refusal != self._stopped:
            if refusal is None:
                events.log(LOGGER, events.Event.NEW_WORK_ALLOWED)
            else:
                events.log(LOGGER, events.Event.NEW_WORK_STOPPED, reason=refusal)
        self._stopped = refusal
