"""Keeps this entry's mirror up to date from another entry, or from the service itself."""

from __future__ import annotations

import collections.abc
import contextlib
import logging
import random

import attrs
import trio

from toucanhold import clock, events
from toucanhold.coordination import keyvalue, mirror, watching
from toucanhold.peers import frames, transport
from toucanhold.relay import messages, publishing

# Within a region a connection takes some milliseconds; the VM of a killed entry refuses at once.
CONNECT_TIMEOUT_S = 0.3
SILENCE_TIMEOUT_S = 2.4 * publishing.HEARTBEAT_INTERVAL_S
# A watch without changes returns after its longest wait, and half a second later from a slow
# service. A mirror confirmed longer ago comes from a cycle of followers or from a paused entry.
MAX_CONFIRMED_AGE_S = watching.WATCH_WAIT_S + 1.0
# Interval at which an entry that watches the service itself retries its sources.
SOURCE_RETRY_INTERVAL_S = 2.0
# Time for which an entry follows a source other than its first before it tries the first again.
FALLBACK_SOURCE_LIFETIME_S = 4.0
FRAME_LIMIT_BYTES = 64 * 1024 * 1024

LOGGER = logging.getLogger(__name__)

Sources = collections.abc.Callable[[], collections.abc.Sequence[str]]


class SourceLostError(Exception):
    """The entry followed closed its stream, timed out, or no longer gets answers of the service."""


@attrs.define(eq=False)
class _SourceStream:
    """A stream from an entry that is followed.

    :ivar opened_s: time of trio's clock at which the stream was opened
    """

    address: str
    frame_stream: frames.FrameStream
    opened_s: float = attrs.field(factory=trio.current_time)


@attrs.define(eq=False)
class Follower:
    """Follows another entry if one is available, and otherwise watches the service itself.

    :ivar service_watch: keeps the mirror up to date from the service
    :ivar sources: returns the addresses of entries to follow, in order of preference; empty if this
        entry is to watch the service
    :ivar is_watching: whether this entry watches the service now
    """

    kv_mirror: mirror.Mirror
    service_watch: watching.ServiceWatch
    transport: transport.PeerTransport
    sources: Sources
    rng: random.Random
    is_watching: bool = attrs.field(default=False, init=False)

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled."""
        while True:
            if not self.sources():
                await self._watch_until(self._wait_for_sources)
                continue
            async with contextlib.AsyncExitStack() as streams:
                source = await self._open_first_available(streams)
                if source is None:
                    await self._watch_until(self._retry_sources, streams)
                else:
                    await self._follow(source)

    async def _watch_until(
        self, wait: collections.abc.Callable[..., collections.abc.Awaitable], *arguments
    ) -> None:
        self.is_watching = True
        self.service_watch.max_backoff_s = (
            watching.MAX_BACKOFF_WITH_SOURCES_S if self.sources() else watching.MAX_BACKOFF_S
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.service_watch.run)
                await wait(*arguments)
                nursery.cancel_scope.cancel()
        finally:
            self.is_watching = False

    async def _wait_for_sources(self) -> None:
        while not self.sources():
            await self.kv_mirror.changed.wait(SOURCE_RETRY_INTERVAL_S)

    async def _retry_sources(self, streams: contextlib.AsyncExitStack) -> None:
        # The sources may have lost the service as well. Each attempt costs them little, and each
        # entry that finds a source saves the service one call per second.
        while True:
            await trio.sleep(SOURCE_RETRY_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            source = await self._open_first_available(streams)
            if source is not None or not self.sources():
                return

    async def _open_first_available(
        self, streams: contextlib.AsyncExitStack
    ) -> _SourceStream | None:
        for address in self.sources():
            try:
                return await self._open(address, streams)
            except (SourceLostError, transport.TransportError) as error:
                LOGGER.debug("cannot follow %s: %s", address, error)
        return None

    async def _open(self, address: str, streams: contextlib.AsyncExitStack) -> _SourceStream:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self.transport.connect(address)
        except trio.TooSlowError as error:
            raise SourceLostError(f"not connected within {CONNECT_TIMEOUT_S} s") from error
        async with contextlib.AsyncExitStack() as opened:
            await opened.enter_async_context(stream)
            frame_stream = frames.FrameStream(stream, FRAME_LIMIT_BYTES, SILENCE_TIMEOUT_S)
            source = _SourceStream(address, frame_stream)
            with _translated_errors():
                await frame_stream.send(
                    [messages.encode(messages.Subscribe(self.kv_mirror.revision))]
                )
            # The first status shows whether the service answers the source. If not, its
            # stream is closed here; otherwise streams of repeated attempts would accumulate during
            # an outage.
            await self._receive_until_status(source)
            streams.push_async_exit(opened.pop_all())
            return source

    async def _follow(self, source: _SourceStream) -> None:
        events.log(LOGGER, events.Event.SOURCE_FOLLOWED, source=source.address)
        try:
            while self._is_still_preferred(source):
                await self._receive_until_status(source)
        except SourceLostError as error:
            events.log(
                LOGGER,
                events.Event.SOURCE_LOST,
                source=source.address,
                reason=str(error),
                revision=self.kv_mirror.revision,
                confirmed_s=round(self.kv_mirror.sync_status.confirmed_at.age_s(), 3),
            )

    def _is_still_preferred(self, source: _SourceStream) -> bool:
        addresses = self.sources()
        if source.address in addresses[:1]:
            return True
        return (
            source.address in addresses
            and trio.current_time() - source.opened_s < FALLBACK_SOURCE_LIFETIME_S
        )

    async def _receive_until_status(self, source: _SourceStream) -> None:
        """Apply messages up to and including the next status.

        :raises SourceLostError: when the stream fails, or the source lags behind the service
        """
        while True:
            with _translated_errors():
                message = messages.decode(await source.frame_stream.receive())
            match message:
                case messages.Snapshot():
                    result = keyvalue.RangeResult(message.revision, message.items)
                    self.kv_mirror.replace(result)
                case messages.Update():
                    self.kv_mirror.apply(message.changes)
                case messages.Status():
                    self._apply_status(source, message)
                    return

    def _apply_status(self, source: _SourceStream, status: messages.Status) -> None:
        now = clock.now()
        sync_status = mirror.SyncStatus(
            _instant_before(now, status.confirmed_s),
            status.is_answering,
            _instant_before(now, status.failed_s),
        )
        if not status.is_answering or status.confirmed_s > MAX_CONFIRMED_AGE_S:
            raise SourceLostError(
                f"source lost the service; last up to date {status.confirmed_s:.2f} s ago"
            )
        self.kv_mirror.update_sync_status(sync_status, source.address)


def _instant_before(now: clock.Instant, age_s: float) -> clock.Instant:
    return clock.Instant(now.monotonic_s - age_s, now.suspended_s)


@contextlib.contextmanager
def _translated_errors() -> collections.abc.Iterator[None]:
    try:
        yield
    except (frames.FrameError, messages.MessageError) as error:
        raise SourceLostError(str(error)) from error
    except trio.TooSlowError as error:
        raise SourceLostError(f"no message within {SILENCE_TIMEOUT_S} s") from error
