"""Messages between entries: who is connected, what goes out, who hears what comes in."""

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
    """The bounded queue of frame bodies to one peer.

    :ivar overflowed: set when the peer does not keep up; its stream must be cut
    """

    overflowed: trio.Event = attrs.field(factory=trio.Event)
    _bodies: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _size_bytes: int = 0
    _filled: trio.Event = attrs.field(factory=trio.Event)

    def put(self, body: bytes) -> bool:
        """Add a frame body; false where the peer is not served any more."""
        if self.overflowed.is_set():
            return False
        too_many = len(self._bodies) >= OUTBOX_LIMIT_MESSAGES
        if too_many or self._size_bytes + len(body) > OUTBOX_LIMIT_BYTES:
            # A peer that stops reading would make this entry's memory grow, or block whoever
            # broadcasts. Leaving out single messages would leave it with a gap that nobody sees;
            # a peer that was cut reconnects and gets the present state whole.
            self.overflowed.set()
            return False
        self._bodies.append(body)
        self._size_bytes += len(body)
        self._filled.set()
        return True

    async def pop_all(self) -> list[bytes]:
        """Wait for frame bodies and return all."""
        while not self._bodies:
            self._filled = trio.Event()
            await self._filled.wait()
        taken = list(self._bodies)
        self._bodies.clear()
        self._size_bytes = 0
        return taken


@attrs.define(eq=False)
class Exchange:
    """Sends messages to connected peers and hands theirs to subscribers; never blocks.

    Delivery is best effort: a message is lost when its stream ends first. Whoever needs more
    sends its present state again from a handler of :meth:`subscribe_connected`.
    """

    _outboxes: dict[str, Outbox] = attrs.field(factory=dict, init=False)
    _handlers: dict[type, list[MessageHandler]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )
    _connected_handlers: list[ConnectedHandler] = attrs.field(factory=list, init=False)

    def broadcast(self, message: messages.Message) -> None:
        """Send ``message`` to every connected peer."""
        body = messages.encode(message)
        for outbox in list(self._outboxes.values()):
            outbox.put(body)

    def send(self, entry: str, message: messages.Message) -> bool:
        """Send ``message`` to one peer; false where it is not connected."""
        outbox = self._outboxes.get(entry)
        return outbox is not None and outbox.put(messages.encode(message))

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with the sender's name and each message of ``kind``."""
        self._handlers[kind].append(handler)

    def subscribe_connected(self, handler: ConnectedHandler) -> None:
        """Call ``handler`` with a peer's name whenever a stream to it is up."""
        self._connected_handlers.append(handler)

    def connected(self) -> frozenset[str]:
        """Return the names of connected peers."""
        return frozenset(self._outboxes)

    def attach(self, entry: str, outbox: Outbox) -> None:
        """Send through ``outbox`` from now on; for the owner of a stream."""
        self._outboxes[entry] = outbox
        for handler in self._connected_handlers:
            _guarded("connected", entry, functools.partial(handler, entry))

    def detach(self, entry: str, outbox: Outbox) -> bool:
        """End sending through ``outbox``; false where another has taken its place."""
        if self._outboxes.get(entry) is not outbox:
            return False
        del self._outboxes[entry]
        return True

    def deliver(self, entry: str, message: messages.Message) -> None:
        """Hand a peer's message to the subscribers; for the owner of a stream."""
        kind = type(message).__name__
        for handler in self._handlers[type(message)]:
            _guarded(kind, entry, functools.partial(handler, entry, message))


def _guarded(kind: str, entry: str, handler: collections.abc.Callable[[], None]) -> None:
    # One message that a handler cannot digest must not end the stream: the peer would send it
    # again after each reconnection and nothing else would get through.
    try:
        handler()
    except Exception as error:
        events.log(
            LOGGER, events.Event.PEER_MESSAGE_FAILED, peer=entry, kind=kind, reason=f"{error!r}"
        )
