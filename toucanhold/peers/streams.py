"""One stream for each pair of entries: dialled, accepted, kept alive."""

import collections.abc
import logging
import random

import attrs
import trio

from toucanhold import events, keyring
from toucanhold.peers import exchange, frames, handshake, messages, transport

FRAME_LIMIT_BYTES = 64 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKES = 64
HEARTBEAT_INTERVAL_S = 0.5
# Two lost heartbeats and a busy moment are no failure; an entry that is cut off must know within
# three seconds.
HEARTBEAT_TIMEOUT_S = 2.0
# A whole configuration takes its time on a slow line; the reader sees it make progress.
SEND_TIMEOUT_S = 15.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
DIAL_CHECK_INTERVAL_S = 0.25

LOGGER = logging.getLogger(__name__)

Addresses = collections.abc.Callable[[], collections.abc.Collection[str]]
Composer = collections.abc.Callable[[str], messages.Message]


@attrs.define(eq=False)
class _Link:
    """An authenticated stream."""

    peer: handshake.Identity
    dialled: bool
    frames: frames.FrameStream
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    outbox: exchange.Outbox = attrs.field(factory=exchange.Outbox)


@attrs.define(eq=False)
class PeerStreams:
    """Keeps one stream to each peer.

    :ivar own: this entry and this process
    :ivar address: ``IP:port`` to listen on
    :ivar keys: what peers must prove that they have one of
    :ivar addresses: returns where peers may be dialled now
    :ivar heartbeat: composes what this entry tells a peer at an interval
    """

    own: handshake.Identity
    address: str
    keys: keyring.KeyRing
    transport: transport.PeerTransport
    exchange: exchange.Exchange
    addresses: Addresses
    heartbeat: Composer
    rng: random.Random
    sent_bytes: int = 0
    _links: dict[str, _Link] = attrs.field(factory=dict, init=False)
    _entry_at: dict[str, str] = attrs.field(factory=dict, init=False)
    _dialling: set[str] = attrs.field(factory=set, init=False)
    _handshakes: int = attrs.field(default=0, init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Listen and dial until cancelled.

        :raises transport.TransportError: when the address cannot be bound
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self.transport.listen, self.address, self._accept)
            task_status.started()
            while True:
                for address in set(self.addresses()) - self._dialling - {self.address}:
                    self._dialling.add(address)
                    nursery.start_soon(self._dial, address)
                await trio.sleep(DIAL_CHECK_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    def disconnect_all(self) -> None:
        """End all streams; peers are dialled anew."""
        for link in list(self._links.values()):
            link.scope.cancel()
            self._remove(link)

    async def _dial(self, address: str) -> None:
        # Both sides of a pair dial, since either may be unable to reach the other.
        backoff_s = FIRST_BACKOFF_S
        while address in self.addresses():
            if not self._is_connected(address):
                if await self._dial_once(address):
                    backoff_s = FIRST_BACKOFF_S
                else:
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
        self._dialling.discard(address)

    def _is_connected(self, address: str) -> bool:
        entry = self._entry_at.get(address)
        return entry is not None and (entry == self.own.entry or entry in self._links)

    async def _dial_once(self, address: str) -> bool:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                stream = await self.transport.connect(address)
        except (transport.TransportError, trio.TooSlowError) as error:
            LOGGER.debug("peer at %s: %s", address, error)
            return False
        async with stream:
            link = await self._authenticate(stream, handshake.as_dialler, dialled=True)
            if link is None:
                return False
            self._entry_at[address] = link.peer.entry
            return await self._serve(link)

    async def _accept(self, stream: trio.abc.Stream) -> None:
        async with stream:
            # Strangers who connect and stay silent must not use up this entry's memory.
            if self._handshakes >= MAX_HANDSHAKES:
                return
            self._handshakes += 1
            try:
                link = await self._authenticate(stream, handshake.as_listener, dialled=False)
            finally:
                self._handshakes -= 1
            if link is not None:
                await self._serve(link)

    async def _authenticate(self, stream: trio.abc.Stream, side, dialled: bool) -> _Link | None:
        framed = frames.FrameStream(stream, handshake.HANDSHAKE_FRAME_LIMIT_BYTES)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer = await side(framed, self.own, self.keys)
        except handshake.HandshakeError as error:
            events.log(LOGGER, events.Event.PEER_REFUSED, reason=str(error), dialled=dialled)
            return None
        except (frames.FrameError, trio.TooSlowError) as error:
            LOGGER.debug("handshake: %r", error)
            return None
        framed.limit_bytes = FRAME_LIMIT_BYTES
        framed.idle_timeout_s = HEARTBEAT_TIMEOUT_S
        return _Link(peer, dialled, framed)

    async def _serve(self, link: _Link) -> bool:
        """Run a stream until it ends; false where another one is kept instead."""
        name = link.peer.entry
        former = self._links.get(name)
        if name == self.own.entry or (former is not None and not self._replaces(link, former)):
            return name == self.own.entry
        if former is not None:
            former.scope.cancel()
        self._links[name] = link
        events.log(LOGGER, events.Event.PEER_CONNECTED, peer=name, dialled=link.dialled)
        try:
            reason = await self._exchange_frames(link)
        finally:
            self._remove(link)
        events.log(LOGGER, events.Event.PEER_LOST, peer=name, reason=reason)
        return True

    def _remove(self, link: _Link) -> None:
        if self._links.get(link.peer.entry) is link:
            del self._links[link.peer.entry]
        self.exchange.detach(link.peer.entry, link.outbox)

    def _replaces(self, link: _Link, former: _Link) -> bool:
        # When both sides dial at once, each sees the two streams in its own order. "The first
        # stays" or "the last stays" would let each close the one that the other keeps. Both know
        # who dialled which, so both keep the one that the smaller name dialled. A new process of
        # the peer, or a second dial by the same side, shows that the former one is dead.
        if link.peer.boot != former.peer.boot or link.dialled == former.dialled:
            return True
        return link.dialled == (self.own.entry < link.peer.entry)

    async def _exchange_frames(self, link: _Link) -> str:
        ended: list[str] = []
        with link.scope:
            async with trio.open_nursery() as nursery:
                for task in (self._receive, self._send, self._beat, self._watch_overflow):
                    nursery.start_soon(self._end_with, task, link, ended, nursery.cancel_scope)
                self.exchange.attach(link.peer.entry, link.outbox)
        return ended[0] if ended else "another stream took its place"

    async def _end_with(
        self,
        task: collections.abc.Callable[[_Link], collections.abc.Awaitable[None]],
        link: _Link,
        ended: list[str],
        scope: trio.CancelScope,
    ) -> None:
        try:
            await task(link)
        except (frames.FrameError, messages.MessageError) as error:
            ended.append(str(error))
        except trio.TooSlowError:
            ended.append("no heartbeat in time, or the peer does not read")
        scope.cancel()

    async def _receive(self, link: _Link) -> None:
        while True:
            body = await link.frames.receive()
            try:
                message = messages.decode(body)
            except messages.UnknownKindError as error:
                # A newer version's message; the entry is about to be replaced by that version.
                LOGGER.debug("peer %s: %s", link.peer.entry, error)
                continue
            self.exchange.deliver(link.peer.entry, message)
            # A peer with much to say must not keep the other tasks from running.
            await trio.lowlevel.checkpoint()

    async def _send(self, link: _Link) -> None:
        while True:
            bodies = await link.outbox.pop_all()
            before_bytes = link.frames.sent_bytes
            with trio.fail_after(SEND_TIMEOUT_S):
                await link.frames.send(bodies)
            self.sent_bytes += link.frames.sent_bytes - before_bytes

    async def _beat(self, link: _Link) -> None:
        while True:
            link.outbox.put(messages.encode(self.heartbeat(link.peer.entry)))
            await trio.sleep(HEARTBEAT_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def _watch_overflow(self, link: _Link) -> None:
        await link.outbox.overflowed.wait()
        events.log(LOGGER, events.Event.PEER_CUT, peer=link.peer.entry)
        raise frames.FrameError("the peer reads too slowly")
