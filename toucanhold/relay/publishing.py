"""Publishing this entry's copy to the entries that follow it."""

from __future__ import annotations

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import mirror
from toucanhold.peers import frames, transport
from toucanhold.relay import messages

# Those that follow this entry leave it after two missed heartbeats and a busy moment: they are
# bound to know within two seconds of servers that leave.
HEARTBEAT_INTERVAL_S = 0.25
# A new stream says at once where it begins; one that does not is no entry's.
SUBSCRIBE_TIMEOUT_S = 1.0
# An entry that does not read for so long has left this stream already.
SEND_TIMEOUT_S = 2.0
SUBSCRIBE_LIMIT_BYTES = 1024

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Publisher:
    """Serves the streams of entries that follow this one.

    :ivar copy: what is passed on
    :ivar address: ``IP:port`` to listen on
    """

    copy: mirror.Mirror
    address: str
    transport: transport.PeerTransport
    _encoded: tuple[tuple[int, int], bytes] = attrs.field(default=((0, 0), b""), init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled.

        :raises transport.TransportError: when the address cannot be bound
        """
        await self.transport.listen(self.address, self._serve, task_status=task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        framed = frames.FrameStream(stream, SUBSCRIBE_LIMIT_BYTES, SUBSCRIBE_TIMEOUT_S)
        async with stream:
            try:
                await self._publish(framed)
            except (frames.FrameError, messages.MessageError, trio.TooSlowError) as error:
                events.log(LOGGER, events.Event.FOLLOWER_LOST, reason=repr(error))

    async def _publish(self, framed: frames.FrameStream) -> None:
        asked = messages.decode(await framed.receive())
        if not isinstance(asked, messages.Subscribe):
            raise messages.MessageError(f"{type(asked).__name__} instead of a subscription")
        revision = asked.revision
        while True:
            bodies = []
            if self.copy.revision > revision:
                bodies.append(self._changes_since(revision))
                revision = self.copy.revision
            bodies.append(messages.encode(self._status()))
            with trio.fail_after(SEND_TIMEOUT_S):
                await framed.send(bodies)
            if self.copy.revision <= revision:
                await self.copy.changed.wait(HEARTBEAT_INTERVAL_S)

    def _changes_since(self, revision: int) -> bytes:
        span = revision, self.copy.revision
        # Most followers are at the same revision: what one gets is encoded once for all of them.
        if self._encoded[0] != span:
            self._encoded = span, messages.encode(self._message_since(revision))
        return self._encoded[1]

    def _message_since(self, revision: int) -> messages.Message:
        changes = self.copy.changes_since(revision) if revision else None
        if changes is None:
            return messages.Snapshot(self.copy.revision, tuple(self.copy.items.values()))
        return messages.Update(changes)

    def _status(self) -> messages.Status:
        standing = self.copy.standing
        return messages.Status(
            standing.is_answering, standing.confirmed.age_s(), standing.last_failure.age_s()
        )
