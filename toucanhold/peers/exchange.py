"""Sends messages to connected peers and delivers received ones to subscribers."""

import collections
import collections.abc
import functools
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.peers import messages

OUTBOX_LIMIT_MESSAGES = 1024
OUTBOX_LIMIT_BYTES = 32 * 1024 * 1024

LOGGER = logging.getLogger(__name__)

MessageHandler = collections.abc.Callable[[str, messages.Message], None]
ConnectedHandler = collections.abc.Callable[[str], None]


@attrs.define(eq=False)
class Outbox:
    """A bounded queue of frame bodies for one peer.

    :ivar overflowed: set when the queue is full; the peer's stream must then be closed
    """

    overflowed: trio.Event = attrs.field(factory=trio.Event)
    _bodies: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _size_bytes: int = 0
    _not_empty: trio.Event = attrs.field(factory=trio.Event)

    def put(self, body: bytes) -> bool:
        """Append a frame body; return false if the queue has overflowed."""
        if self.overflowed.is_set():
            return False
        is_full = len(self._bodies) >= OUTBOX_LIMIT_MESSAGES
        if is_full or self._size_bytes + len(body) > OUTBOX_LIMIT_BYTES:
            # With an unbounded queue, a peer that stops reading would exhaust memory; a blocking
            # queue would block broadcasts. Dropping single messages would leave an undetected
            # gap. A disconnected peer reconnects and receives the complete current state.
            self.overflowed.set()
            return False
        self._bodies.append(body)
        self._size_bytes += len(body)
        self._not_empty.set()
        return True

    async def pop_all(self) -> list[bytes]:
        """Wait until there are frame bodies; remove and return all of them."""
        while not self._bodies:
            self._not_empty = trio.Event()
            await self._not_empty.wait()
        bodies = list(self._bodies)
        self._bodies.clear()
        self._size_bytes = 0
        return bodies


@attrs.define(eq=False)
class Exchange:
    """Sends messages to connected peers and delivers theirs to subscribers; never blocks.

    Delivery is best effort: a message is lost if its stream ends before it is sent. Components
    that need more send their current state again in a handler of :meth:`subscribe_connected`.
    """

    _outboxes: dict[str, Outbox] = attrs.field(factory=dict, init=False)
    _handlers: dict[type, list[MessageHandler]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )
    _connected_handlers: list[ConnectedHandler] = attrs.field(factory=list, init=False)

    def broadcast(self, message: messages.Message) -> None:
        """Queue ``message`` for every connected peer.

        :raises messages.MessageError: when its class is not listed
        """
        body = messages.encode(message)
        for outbox in list(self._outboxes.values()):
            outbox.put(body)

    def send(self, entry: str, message: messages.Message) -> bool:
        """Queue ``message`` for one peer; return false if it is not connected or reads too slowly.

        :raises messages.MessageError: when its class is not listed
        """
        outbox = self._outboxes.get(entry)
        return outbox is not None and outbox.put(messages.encode(message))

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with the sender's name and the message for each message of ``kind``."""
        self._handlers[kind].append(handler)

    def subscribe_connected(self, handler: ConnectedHandler) -> None:
        """Call ``handler`` with the peer's name whenever a peer connects."""
        self._connected_handlers.append(handler)

    def connected(self) -> frozenset[str]:
        """Return the names of the connected peers."""
        return frozenset(self._outboxes)

    def attach(self, entry: str, outbox: Outbox) -> None:
        """Send to a peer through ``outbox`` from now on; called by the stream's owner."""
        self._outboxes[entry] = outbox
        for handler in self._connected_handlers:
            _call_handler("connected", entry, functools.partial(handler, entry))

    def detach(self, entry: str, outbox: Outbox) -> bool:
        """Stop sending through ``outbox``; return false if another outbox has replaced it."""
        if self._outboxes.get(entry) is not outbox:
            return False
        del self._outboxes[entry]
        return True

    def deliver(self, entry: str, message: messages.Message) -> None:
        """Deliver a peer's message to its subscribers; called by the stream's owner."""
        kind = type(message).__name__
        for handler in self._handlers[type(message)]:
            _call_handler(kind, entry, functools.partial(handler, entry, message))


def _call_handler(kind: str, entry: str, handler: collections.abc.Callable[[], None]) -> None:
    # A handler's error must not end the stream: the peer would send the same message again after
    # each reconnection, and no other message would get through.
    try:
        handler()
    except Exception as error:
        events.log(
            LOGGER, events.Event.PEER_MESSAGE_FAILED, peer=entry, kind=kind, reason=f"{error!r}"
        )
