"""Maintains one authenticated stream to each peer and monitors it with heartbeats."""

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
# Two lost heartbeats and a short pause of the peer are tolerated; an entry that is cut off must
# detect it within three seconds.
HEARTBEAT_TIMEOUT_S = 2.0
# Sending a complete configuration over a slow connection takes longer than a heartbeat interval;
# the receiver's idle timeout does not expire while bytes arrive.
SEND_TIMEOUT_S = 15.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
DIAL_CHECK_INTERVAL_S = 0.25

LOGGER = logging.getLogger(__name__)

GetAddresses = collections.abc.Callable[[], collections.abc.Collection[str]]
ComposeHeartbeat = collections.abc.Callable[[str], messages.Message]


@attrs.define(eq=False)
class _Link:
    """An authenticated stream to a peer.

    :ivar is_dialler: whether this entry opened the stream
    :ivar scope: cancelled to close the stream
    """

    peer: handshake.Identity
    is_dialler: bool
    frames: frames.FrameStream
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    outbox: exchange.Outbox = attrs.field(factory=exchange.Outbox)


@attrs.define(eq=False)
class PeerStreams:
    """Maintains one stream to each peer.

    :ivar own: identity of this entry and its process
    :ivar address: ``IP:port`` to listen on
    :ivar keys: secrets shared by the entries; a peer must prove that it has one of them
    :ivar get_addresses: returns the ``IP:port`` of each peer to dial; called repeatedly
    :ivar compose_heartbeat: returns the next heartbeat for the peer of the given name
    :ivar sent_bytes: number of bytes sent over authenticated streams
    """

    own: handshake.Identity
    address: str
    keys: keyring.KeyRing
    transport: transport.PeerTransport
    exchange: exchange.Exchange
    get_addresses: GetAddresses
    compose_heartbeat: ComposeHeartbeat
    rng: random.Random
    sent_bytes: int = 0
    _links: dict[str, _Link] = attrs.field(factory=dict, init=False)
    _entry_by_address: dict[str, str] = attrs.field(factory=dict, init=False)
    _dialling: set[str] = attrs.field(factory=set, init=False)
    _handshake_count: int = attrs.field(default=0, init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Listen and dial until cancelled.

        :raises transport.TransportError: when the address cannot be bound
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self.transport.listen, self.address, self._accept)
            task_status.started()
            while True:
                for address in set(self.get_addresses()) - self._dialling - {self.address}:
                    self._dialling.add(address)
                    nursery.start_soon(self._dial, address)
                await trio.sleep(DIAL_CHECK_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    def disconnect_all(self) -> None:
        """Close all streams; peers are dialled again."""
        for link in list(self._links.values()):
            link.scope.cancel()
            self._remove(link)

    async def _dial(self, address: str) -> None:
        # Both entries of a pair dial, since connections may be possible in one direction only.
        backoff_s = FIRST_BACKOFF_S
        while address in self.get_addresses():
            if not self._is_connected(address):
                if await self._dial_once(address):
                    backoff_s = FIRST_BACKOFF_S
                else:
                    backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            await trio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
        self._dialling.discard(address)

    def _is_connected(self, address: str) -> bool:
        entry = self._entry_by_address.get(address)
        return entry is not None and (entry == self.own.entry or entry in self._links)

    async def _dial_once(self, address: str) -> bool:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                stream = await self.transport.connect(address)
        except (transport.TransportError, trio.TooSlowError) as error:
            LOGGER.debug("cannot connect to the peer at %s: %s", address, error)
            return False
        async with stream:
            link = await self._authenticate(stream, handshake.run_as_dialler, is_dialler=True)
            if link is None:
                return False
            self._entry_by_address[address] = link.peer.entry
            return await self._run_link(link)

    async def _accept(self, stream: trio.abc.Stream) -> None:
        async with stream:
            # Unauthenticated clients that connect and send nothing must not exhaust memory.
            if self._handshake_count >= MAX_HANDSHAKES:
                return
            self._handshake_count += 1
            try:
                link = await self._authenticate(stream, handshake.run_as_listener, is_dialler=False)
            finally:
                self._handshake_count -= 1
            if link is not None:
                await self._run_link(link)

    async def _authenticate(
        self, stream: trio.abc.Stream, run_handshake, is_dialler: bool
    ) -> _Link | None:
        frame_stream = frames.FrameStream(stream, handshake.HANDSHAKE_FRAME_LIMIT_BYTES)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer = await run_handshake(frame_stream, self.own, self.keys)
        except handshake.HandshakeError as error:
            events.log(LOGGER, events.Event.PEER_REFUSED, reason=str(error), dialled=is_dialler)
            return None
        except (frames.FrameError, trio.TooSlowError) as error:
            LOGGER.debug("the handshake with a peer failed: %r", error)
            return None
        frame_stream.max_body_bytes = FRAME_LIMIT_BYTES
        frame_stream.idle_timeout_s = HEARTBEAT_TIMEOUT_S
        return _Link(peer, is_dialler, frame_stream)

    async def _run_link(self, link: _Link) -> bool:
        """Run a stream until it ends; return false if an existing stream is kept instead."""
        peer_name = link.peer.entry
        existing = self._links.get(peer_name)
        if peer_name == self.own.entry or (
            existing is not None and not self._should_replace(link, existing)
        ):
            return peer_name == self.own.entry
        if existing is not None:
            existing.scope.cancel()
        self._links[peer_name] = link
        events.log(LOGGER, events.Event.PEER_CONNECTED, peer=peer_name, dialled=link.is_dialler)
        try:
            reason = await self._run_tasks(link)
        finally:
            self._remove(link)
        events.log(LOGGER, events.Event.PEER_LOST, peer=peer_name, reason=reason)
        return True

    def _remove(self, link: _Link) -> None:
        if self._links.get(link.peer.entry) is link:
            del self._links[link.peer.entry]
        self.exchange.detach(link.peer.entry, link.outbox)

    def _should_replace(self, link: _Link, existing: _Link) -> bool:
        # When both entries dial at once, each sees the two streams in a different order. Keeping
        # the first or the last would make each entry close the stream that the other keeps. Both
        # know who dialled, so both keep the stream dialled by the entry with the smaller name. A
        # new process of the peer, or a second dial by the same entry, means that the existing
        # stream is dead.
        if link.peer.boot != existing.peer.boot or link.is_dialler == existing.is_dialler:
            return True
        return link.is_dialler == (self.own.entry < link.peer.entry)

    async def _run_tasks(self, link: _Link) -> str:
        end_reasons: list[str] = []
        with link.scope:
            async with trio.open_nursery() as nursery:
                for task in (
                    self._receive_messages,
                    self._send_messages,
                    self._send_heartbeats,
                    self._watch_overflow,
                ):
                    nursery.start_soon(
                        self._run_until_end, task, link, end_reasons, nursery.cancel_scope
                    )
                self.exchange.attach(link.peer.entry, link.outbox)
        return end_reasons[0] if end_reasons else "replaced by another stream to the same peer"

    async def _run_until_end(
        self,
        task: collections.abc.Callable[[_Link], collections.abc.Awaitable[None]],
        link: _Link,
        end_reasons: list[str],
        scope: trio.CancelScope,
    ) -> None:
        try:
            await task(link)
        except (frames.FrameError, messages.MessageError) as error:
            end_reasons.append(str(error))
        except trio.TooSlowError:
            end_reasons.append("timed out: the peer sent no heartbeat or does not read")
        scope.cancel()

    async def _receive_messages(self, link: _Link) -> None:
        while True:
            body = await link.frames.receive()
            try:
                message = messages.decode(body)
            except messages.UnknownKindError as error:
                # The peer runs a newer version, which will soon replace this one as well.
                LOGGER.debug("peer %s: %s", link.peer.entry, error)
                continue
            self.exchange.deliver(link.peer.entry, message)
            # A peer that sends many messages must not starve the other tasks.
            await trio.lowlevel.checkpoint()

    async def _send_messages(self, link: _Link) -> None:
        while True:
            bodies = await link.outbox.pop_all()
            before_bytes = link.frames.sent_bytes
            with trio.fail_after(SEND_TIMEOUT_S):
                await link.frames.send(bodies)
            self.sent_bytes += link.frames.sent_bytes - before_bytes

    async def _send_heartbeats(self, link: _Link) -> None:
        while True:
            link.outbox.put(messages.encode(self.compose_heartbeat(link.peer.entry)))
            await trio.sleep(HEARTBEAT_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def _watch_overflow(self, link: _Link) -> None:
        await link.outbox.overflowed.wait()
        events.log(LOGGER, events.Event.PEER_CUT, peer=link.peer.entry)
        raise frames.FrameError("the outbox overflowed: the peer reads too slowly")
