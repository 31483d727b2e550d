"""Publishes this entry's mirror to the entries that follow it."""

from __future__ import annotations

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import mirror
from toucanhold.peers import frames, transport
from toucanhold.relay import messages

# Followers leave this entry after two missed heartbeats and some margin for a busy process, because
# they must learn of leaving servers within two seconds.
HEARTBEAT_INTERVAL_S = 0.25
# An entry subscribes right after it connects; a peer that does not is not an entry.
SUBSCRIBE_TIMEOUT_S = 1.0
# An entry that has not read for this long has already left the stream.
SEND_TIMEOUT_S = 2.0
SUBSCRIBE_LIMIT_BYTES = 1024

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Publisher:
    """Serves the streams of entries that follow this one.

    :ivar kv_mirror: items and changes to publish
    :ivar address: ``IP:port`` to listen on
    """

    kv_mirror: mirror.Mirror
    address: str
    transport: transport.PeerTransport
    _encoded_changes: tuple[tuple[int, int], bytes] = attrs.field(default=((0, 0), b""), init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled.

        :raises transport.TransportError: when the address cannot be bound
        """
        await self.transport.listen(self.address, self._serve, task_status=task_status)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        frame_stream = frames.FrameStream(stream, SUBSCRIBE_LIMIT_BYTES, SUBSCRIBE_TIMEOUT_S)
        async with stream:
            try:
                await self._publish(frame_stream)
            except (frames.FrameError, messages.MessageError, trio.TooSlowError) as error:
                events.log(LOGGER, events.Event.FOLLOWER_LOST, reason=repr(error))

    async def _publish(self, frame_stream: frames.FrameStream) -> None:
        subscription = messages.decode(await frame_stream.receive())
        if not isinstance(subscription, messages.Subscribe):
            raise messages.MessageError(f"expected Subscribe, got {type(subscription).__name__}")
        revision = subscription.revision
        while True:
            bodies = []
            if self.kv_mirror.revision > revision:
                bodies.append(self._changes_since(revision))
                revision = self.kv_mirror.revision
            bodies.append(messages.encode(self._status()))
            with trio.fail_after(SEND_TIMEOUT_S):
                await frame_stream.send(bodies)
            if self.kv_mirror.revision <= revision:
                await self.kv_mirror.changed.wait(HEARTBEAT_INTERVAL_S)

    def _changes_since(self, revision: int) -> bytes:
        revisions = revision, self.kv_mirror.revision
        # Most followers are at the same revision, so their message is encoded once for all of them.
        if self._encoded_changes[0] != revisions:
            self._encoded_changes = revisions, messages.encode(self._message_since(revision))
        return self._encoded_changes[1]

    def _message_since(self, revision: int) -> messages.Message:
        changes = self.kv_mirror.changes_since(revision) if revision else None
        if changes is None:
            return messages.Snapshot(self.kv_mirror.revision, tuple(self.kv_mirror.items.values()))
        return messages.Update(changes)

    def _status(self) -> messages.Status:
        sync_status = self.kv_mirror.sync_status
        return messages.Status(
            sync_status.is_answering,
            sync_status.confirmed_at.age_s(),
            sync_status.last_failure_at.age_s(),
        )
