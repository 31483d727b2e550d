"""Noticing heads whose streams have all fallen silent."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import health

CHECK_INTERVAL_S = 0.02
# Streams of sound heads pause for less, whatever the engine, unless long prompts are read between
# their steps.
STARTED_SILENCE_S = 0.2
# What the way to the entry may add to the longest pause of a sound head.
TRANSIT_DELAY_S = 0.03
# Groups that span domains, and slow servers, pause for longer between events. A head is silent
# only after several of its own usual pauses; else every long prompt before it would move all its
# streams, and with them the load that made it slow.
MEAN_PAUSE_FACTOR = 4.0
# Callers leave a stream after about twice this, also where an engine tells of longer pauses.
MAX_STARTED_SILENCE_S = 1.0
# Weight of the newest pause in what is usual: some ten events, about half a second of one stream.
EWMA_WEIGHT = 0.1
# Before the first event a request may also wait for its turn at the server.
FIRST_EVENT_SILENCE_S = 0.7
# What is enough once another entry has found the server silent. With sixty entries most have one
# stream or none at a head, not yet begun.
CONFIRMED_SILENCE_S = 0.15
# The same for heads that may pause for longer, as a part of their longest pause: with less, two
# entries that mistake one long pause for silence would confirm each other.
CONFIRMED_PAUSE_FRACTION = 0.7
# How long another entry's word counts, and the server is passed over for it.
CONFIRMATION_VALIDITY_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define
class _PauseEstimate:
    """The usual time between two events of a stream at one server."""

    mean_s: float = STARTED_SILENCE_S / MEAN_PAUSE_FACTOR

    def record(self, pause_s: float) -> None:
        self.mean_s += EWMA_WEIGHT * (pause_s - self.mean_s)

    def silence_limit_s(self, longest_pause_s: float) -> float:
        min_limit_s = max(STARTED_SILENCE_S, longest_pause_s + TRANSIT_DELAY_S)
        return min(MAX_STARTED_SILENCE_S, max(min_limit_s, MEAN_PAUSE_FACTOR * self.mean_s))


@attrs.define(eq=False)
class WatchedStream:
    """One stream at one server.

    :ivar may_fail_over: tells whether another server could go on with the stream now
    :ivar longest_pause_s: between two events of a sound head that reads long prompts meanwhile
    :ivar scope: cancelled when the server has fallen silent
    """

    server_id: str
    may_fail_over: collections.abc.Callable[[], bool]
    longest_pause_s: float = 0.0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    has_started: bool = False
    last_activity_s: float = attrs.field(factory=trio.current_time)
    _pause_estimate: _PauseEstimate | None = None

    def record_event(self) -> None:
        """Take note that the server sent something."""
        now_s = trio.current_time()
        if self.has_started and self._pause_estimate is not None:
            self._pause_estimate.record(now_s - self.last_activity_s)
        self.has_started = True
        self.last_activity_s = now_s

    def set_pause_estimate(self, pause_estimate: _PauseEstimate) -> None:
        """Let the stream's pauses count towards what is usual at its server."""
        self._pause_estimate = pause_estimate


@attrs.define(eq=False)
class SilenceDetector:
    """Watches all streams of this entry.

    A group that has lost a member goes on accepting requests, and nothing moves. Its registration
    tells so seconds later; its streams tell it within a third of a second, for free.

    A sound head must not be taken for silent: its streams begin anew on the other heads, which
    read their prompts once more, pause for longer themselves, and are taken for silent next.

    :ivar on_silent: told the server's name
    """

    health: health.Health
    on_silent: collections.abc.Callable[[str], None]
    _pause_estimates: dict[str, _PauseEstimate] = attrs.field(factory=dict, init=False)
    _confirmed_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _stream_added: trio.Event = attrs.field(factory=trio.Event, init=False)
    _streams: dict[str, list[WatchedStream]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )

    def add(self, stream: WatchedStream) -> None:
        """Watch a stream."""
        stream.set_pause_estimate(
            self._pause_estimates.setdefault(stream.server_id, _PauseEstimate())
        )
        self._streams[stream.server_id].append(stream)
        self._stream_added.set()

    def remove(self, stream: WatchedStream) -> None:
        """Watch a stream no more."""
        streams = self._streams[stream.server_id]
        streams.remove(stream)
        if not streams:
            del self._streams[stream.server_id]

    def confirm(self, server_id: str, entry: str) -> bool:
        """Take in that another entry found a server silent.

        :return: whether it is believed: streams here may show otherwise
        """
        now_s = trio.current_time()
        streams = self._streams.get(server_id, ())
        silence_limit_s = _confirmed_silence_limit_s(streams)
        if any(
            stream.has_started and now_s - stream.last_activity_s < silence_limit_s
            for stream in streams
        ):
            return False
        self.health.avoid(server_id, f"silent at {entry}", CONFIRMATION_VALIDITY_S)
        self._confirmed_until_s[server_id] = now_s + CONFIRMATION_VALIDITY_S
        return True

    async def run(self) -> None:
        """Watch until cancelled."""
        previous_check_s = trio.current_time()
        while True:
            if not self._streams:
                self._stream_added = trio.Event()
                await self._stream_added.wait()
                previous_check_s = trio.current_time()
            await trio.sleep(CHECK_INTERVAL_S)
            now_s = trio.current_time()
            # After a pause of this process, what servers sent meanwhile is still unread.
            if now_s - previous_check_s < 3 * CHECK_INTERVAL_S:
                self._check_streams(now_s)
            previous_check_s = now_s

    def _check_streams(self, now_s: float) -> None:
        for server_id, streams in list(self._streams.items()):
            silent_s = now_s - max(stream.last_activity_s for stream in streams)
            if silent_s > self._silence_limit_s(server_id, streams, now_s):
                self._handle_silent_server(server_id, streams, silent_s)

    def _silence_limit_s(self, server_id: str, streams: list[WatchedStream], now_s: float) -> float:
        if self._confirmed_until_s.get(server_id, 0.0) > now_s:
            return _confirmed_silence_limit_s(streams)
        if any(stream.has_started for stream in streams):
            return self._pause_estimates[server_id].silence_limit_s(_longest_pause_s(streams))
        return FIRST_EVENT_SILENCE_S

    def _handle_silent_server(
        self, server_id: str, streams: list[WatchedStream], silent_s: float
    ) -> None:
        if not self.health.is_avoided(server_id):
            events.log(
                LOGGER,
                events.Event.HEAD_SILENT,
                server=server_id,
                streams=len(streams),
                silent_s=round(silent_s, 3),
                usual_s=round(self._pause_estimates[server_id].mean_s, 3),
            )
            self.health.avoid(server_id, "all its streams are silent")
            self._confirmed_until_s.pop(server_id, None)
            self.on_silent(server_id)
        for stream in streams:
            # A stream that nobody else can go on with is better left: the head may yet speak.
            if stream.may_fail_over():
                stream.scope.cancel()


def _longest_pause_s(streams: collections.abc.Iterable[WatchedStream]) -> float:
    return max((stream.longest_pause_s for stream in streams), default=0.0)


def _confirmed_silence_limit_s(streams: collections.abc.Iterable[WatchedStream]) -> float:
    longest_s = min(MAX_STARTED_SILENCE_S, _longest_pause_s(streams))
    return max(CONFIRMED_SILENCE_S, CONFIRMED_PAUSE_FRACTION * longest_s)
