"""Distributes holds among entries and stores them as soon as any entry can."""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import events
from toucanhold.configuration import holder, holds, store
from toucanhold.coordination import keyvalue
from toucanhold.peers import exchange, messages

# The entry that received the operator's request stores the hold; the others wait this long before
# they do it in its place.
FALLBACK_DELAY_S = 2.0
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0

LOGGER = logging.getLogger(__name__)

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[object]]


@attrs.define(eq=False)
class HoldBroadcaster:
    """Sends holds to every peer and stores them in the key-value service.

    :ivar own: name of this entry
    :ivar refresh: reads the accepted configuration from the key-value service
    """

    own: str
    exchange: exchange.Exchange
    configuration: holder.ConfigurationHolder
    store: store.ConfigurationStore
    refresh: Refresh
    rng: random.Random

    def __attrs_post_init__(self) -> None:
        """Subscribe to the holds of peers and to new connections."""
        self.exchange.subscribe(messages.HoldNews, self._receive_holds)
        # A peer that reconnects or has just started receives all holds before the first heartbeat,
        # so it has them by the time it considers itself up to date.
        self.exchange.subscribe_connected(self._send_holds)

    def add_hold(self, hold: holds.Hold) -> None:
        """Put a hold in force on this entry and send it to all peers."""
        self.configuration.add_hold(hold, "operator")
        self.exchange.broadcast(messages.HoldNews((hold,)))

    async def run(self) -> None:
        """Store holds in the key-value service until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            if not self.configuration.holds():
                backoff_s = FIRST_BACKOFF_S
                await self.configuration.wait_changed()
                continue
            if not any(hold.made_by == self.own for hold in self.configuration.holds()):
                await trio.sleep(FALLBACK_DELAY_S * self.rng.uniform(0.8, 1.6))
            await self._make_durable()
            if self.configuration.holds():
                # This back-off also applies after a success if this entry could not read the
                # configuration that resolves the holds: retrying at once would use up the call
                # rate of the service.
                await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _make_durable(self) -> None:
        pending = self.configuration.holds()
        if not pending:
            return
        try:
            await self.store.make_durable(pending)
            await self.refresh()
        except (store.StoreError, keyvalue.KeyValueError) as error:
            names = [hold.hold for hold in pending]
            events.log(LOGGER, events.Event.HOLD_NOT_DURABLE, holds=names, reason=str(error))

    def _receive_holds(self, peer: str, message: messages.HoldNews) -> None:
        new_holds = [
            hold for hold in message.holds if self.configuration.add_hold(hold, f"peer {peer}")
        ]
        if new_holds:
            # The holds are forwarded since the sender may not reach all of this entry's peers.
            self.exchange.broadcast(messages.HoldNews(tuple(new_holds)))

    def _send_holds(self, peer: str) -> None:
        current_holds = self.configuration.holds()
        if current_holds:
            self.exchange.send(peer, messages.HoldNews(current_holds))
