"""Decides whether this entry may send new work to backend servers.

An isolated entry cannot know that an availability zone was taken out. Serving must nevertheless go
on if the platform is unavailable to all entries. See docs/design/isolation.md.
"""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import clock, events, supervision
from toucanhold.configuration import holder, reading
from toucanhold.coordination import keyvalue
from toucanhold.membership import roster

TICK_INTERVAL_S = 0.2
# After a longer gap between ticks the process counts as paused: its peers may consider it dead, and
# the data waiting in its sockets is outdated.
MAX_TICK_GAP_S = 1.5
# A read of the configuration confirms it for this long.
READ_VALID_S = 2.0
POLL_INTERVAL_S = 0.5
# Losing the majority does not yet mean isolation: this leaves time for one configuration read.
MAJORITY_GRACE_S = 0.6
BEHIND_GRACE_S = 1.0

LOGGER = logging.getLogger(__name__)

PeerNumbers = collections.abc.Callable[[], dict[str, int]]
Callback = collections.abc.Callable[[], None]


@attrs.define(eq=False)
class WorkPermit:
    """Decides whether this entry's configuration is recent enough to start new work.

    :ivar peer_numbers: returns the configuration number of each connected peer, by entry name, once
        the peer has sent one
    :ivar disconnect_peers: ends all streams, so that only peers with a new handshake count
    """

    configuration: holder.ConfigurationHolder
    reader: reading.ConfigurationReader
    roster: roster.Roster
    peer_numbers: PeerNumbers
    disconnect_peers: Callback
    rng: random.Random
    _last_tick: clock.Instant = attrs.field(default=clock.DISTANT_PAST, init=False)
    _last_majority: clock.Instant = attrs.field(default=clock.DISTANT_PAST, init=False)
    _last_up_to_date: clock.Instant = attrs.field(default=clock.DISTANT_PAST, init=False)
    _logged_refusal: str | None = attrs.field(default=None, init=False)
    _is_polling: bool = attrs.field(default=False, init=False)

    def refusal(self) -> str | None:
        """Return the reason why no new work may start now, or None if it may."""
        if not self.configuration.current.number:
            return "this entry has not received a configuration yet"
        # Checked here as well as at each tick, because after a pause a request may run before the
        # next tick.
        if self._last_tick.age_s() > MAX_TICK_GAP_S:
            return "this entry was paused and has not checked its configuration since"
        if self.reader.confirmed_at.age_s() <= READ_VALID_S:
            return None
        if self._last_majority.age_s() > MAJORITY_GRACE_S:
            return "neither the key-value service nor a majority of the entries can be reached"
        if self._last_up_to_date.age_s() > BEHIND_GRACE_S:
            return "other entries have a later configuration than this entry"
        return None

    def may_start(self) -> bool:
        """Return whether new work may start now."""
        return self.refusal() is None

    async def run(self) -> None:
        """Check peers and the configuration periodically until cancelled."""
        self._last_tick = clock.now()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_INTERVAL_S * self.rng.uniform(0.8, 1.2))
                self._tick()
                poll_s = POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2)
                if not self._has_majority() and self.reader.confirmed_at.age_s() > poll_s:
                    nursery.start_soon(supervision.run, self._poll)

    def _tick(self) -> None:
        gap_s = self._last_tick.age_s()
        self._last_tick = clock.now()
        if gap_s > MAX_TICK_GAP_S:
            self._invalidate_confirmations(gap_s)
        elif self._has_majority():
            self._last_majority = self._last_tick
            if self._is_up_to_date():
                self._last_up_to_date = self._last_tick
        self._log_change()

    def _invalidate_confirmations(self, gap_s: float) -> None:
        # Heartbeats sent before or during the pause are still in the sockets and would be mistaken
        # for current ones. A new handshake answers a new challenge, so it must be current.
        events.log(LOGGER, events.Event.ENTRY_PAUSED, gap_s=round(gap_s, 3))
        self.disconnect_peers()
        self.reader.confirmed_at = self._last_majority = self._last_up_to_date = clock.DISTANT_PAST

    def _has_majority(self) -> bool:
        expected_entries = {
            member.entry
            for member in self.roster.others()
            if member.state is not roster.EntryState.STOPPING
        }
        reached_entries = expected_entries & self.peer_numbers().keys()
        return 2 * (len(reached_entries) + 1) > len(expected_entries) + 1

    def _is_up_to_date(self) -> bool:
        # During a rolling upgrade a configuration that this version cannot read must not stop all
        # entries at once. The status shows which configuration is in force on which entry.
        own = max(self.configuration.current.number, self.reader.highest_unreadable)
        return own >= max(self.peer_numbers().values(), default=0)

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

    def _log_change(self) -> None:
        refusal = self.refusal()
        if refusal != self._logged_refusal:
            if refusal is None:
                events.log(LOGGER, events.Event.NEW_WORK_ALLOWED)
            else:
                events.log(LOGGER, events.Event.NEW_WORK_STOPPED, reason=refusal)
        self._logged_refusal = refusal
