"""Spreading holds among entries, and making them durable as soon as any entry can."""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import events
from toucanhold.configuration import holder, holds, store
from toucanhold.coordination import keyvalue
from toucanhold.peers import exchange, messages

# The entry that the operator asked goes first; the others step in when it cannot.
OTHERS_WAIT_S = 2.0
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0

LOGGER = logging.getLogger(__name__)

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[object]]


@attrs.define(eq=False)
class HoldBroadcaster:
    """Passes holds on to every peer, and to the key-value service.

    :ivar own: this entry's name
    :ivar refresh: reads the accepted configuration
    """

    own: str
    exchange: exchange.Exchange
    configuration: holder.ConfigurationHolder
    store: store.ConfigurationStore
    refresh: Refresh
    rng: random.Random

    def __attrs_post_init__(self) -> None:
        """Subscribe to what peers send."""
        self.exchange.subscribe(messages.HoldNews, self._take)
        # A peer that was away, or has just started, gets all holds before its first heartbeat:
        # so an entry knows them by the time it believes itself up to date.
        self.exchange.subscribe_connected(self._tell_all)

    def add_hold(self, hold: holds.Hold) -> None:
        """Put a hold in force here and tell all peers."""
        self.configuration.add_hold(hold, "operator")
        self.exchange.broadcast(messages.HoldNews((hold,)))

    async def run(self) -> None:
        """Make holds durable until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not self.configuration.holds():
                backoff_s = FIRST_BACKOFF_S
                await self.configuration.wait_changed()
                continue
            if not any(hold.made_by == self.own for hold in self.configuration.holds()):
                await trio.sleep(OTHERS_WAIT_S * self.rng.uniform(0.8, 1.6))
            await self._make_durable()
            if self.configuration.holds():
                # Also after a success, when this entry cannot read the configuration that settles
                # them: asking again at once would use up the service's calls.
                await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _make_durable(self) -> None:
        waiting = self.configuration.holds()
        if not waiting:
            return
        try:
            await self.store.make_durable(waiting)
            await self.refresh()
        except (store.StoreError, keyvalue.KeyValueError) as error:
            names = [hold.hold for hold in waiting]
            events.log(LOGGER, events.Event.HOLD_NOT_DURABLE, holds=names, reason=str(error))

    def _take(self, peer: str, message: messages.HoldNews) -> None:
        fresh = [
            hold for hold in message.holds if self.configuration.add_hold(hold, f"peer {peer}")
        ]
        if fresh:
            # Passed on, since the sender may be cut off from some of this entry's peers.
            self.exchange.broadcast(messages.HoldNews(tuple(fresh)))

    def _tell_all(self, peer: str) -> None:
        known = self.configuration.holds()
        if known:
            self.exchange.send(peer, messages.HoldNews(known))
