"""Noticing heads whose streams have all fallen silent."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import health

LOOK_INTERVAL_S = 0.04
# A pass takes about 50 ms, and up to 120 ms while a long prompt is read between its steps.
BEGUN_SILENCE_S = 0.25
# Before the first event a request may also wait for its turn at the server.
UNBEGUN_SILENCE_S = 0.7

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class WatchedStream:
    """One stream at one server.

    :ivar scope: cancelled when the server has fallen silent
    """

    server_id: str
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    has_begun: bool = False
    last_sign_s: float = attrs.field(factory=trio.current_time)

    def note_event(self) -> None:
        """Take note that the server sent something."""
        self.has_begun = True
        self.last_sign_s = trio.current_time()


@attrs.define(eq=False)
class SilenceWatch:
    """Watches all streams of this entry.

    A group that has lost a member goes on accepting requests, and nothing moves. Its registration
    tells so seconds later; its streams tell it within a quarter of a second, for free.

    :ivar on_silent: told the server's name
    """

    health: health.Health
    on_silent: collections.abc.Callable[[str], None]
    _streams: dict[str, list[WatchedStream]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )

    def add(self, stream: WatchedStream) -> None:
        """Watch a stream."""
        self._streams[stream.server_id].append(stream)

    def remove(self, stream: WatchedStream) -> None:
        """Watch a stream no more."""
        streams = self._streams[stream.server_id]
        streams.remove(stream)
        if not streams:
            del self._streams[stream.server_id]

    async def run(self) -> None:
        """Watch until cancelled."""
        before_s = trio.current_time()
        while True:
            await trio.sleep(LOOK_INTERVAL_S)
            now_s = trio.current_time()
            # After a pause of this process, what servers sent meanwhile is still unread.
            if now_s - before_s < 3 * LOOK_INTERVAL_S:
                self._look(now_s)
            before_s = now_s

    def _look(self, now_s: float) -> None:
        for server_id, streams in list(self._streams.items()):
            has_begun = any(stream.has_begun for stream in streams)
            limit_s = BEGUN_SILENCE_S if has_begun else UNBEGUN_SILENCE_S
            silent_s = now_s - max(stream.last_sign_s for stream in streams)
            if silent_s > limit_s:
                self._abandon(server_id, streams, silent_s)

    def _abandon(self, server_id: str, streams: list[WatchedStream], silent_s: float) -> None:
        events.log(
            LOGGER,
            events.Event.HEAD_SILENT,
            server=server_id,
            streams=len(streams),
            silent_s=round(silent_s, 3),
        )
        self.health.avoid(server_id, "all its streams are silent")
        self.on_silent(server_id)
        for stream in streams:
            stream.scope.cancel()
