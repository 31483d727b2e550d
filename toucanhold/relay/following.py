"""Keeping this entry's copy up to date: by the service, or by another entry."""

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

# Within a region a connection takes some milliseconds; an entry that was killed refuses at once.
CONNECT_TIMEOUT_S = 0.3
SILENCE_TIMEOUT_S = 2.4 * publishing.HEARTBEAT_INTERVAL_S
# A watch tells nothing for up to its longest wait; a slow service answers it half a second
# later. A copy that is older has come in a circle, or by an entry that was paused.
STALE_S = watching.WATCH_WAIT_S + 1.0
# How often an entry that must watch for itself looks for one to follow.
LOOK_AGAIN_S = 2.0
# How long an entry stays with its second choice before it tries its first one again.
SECOND_CHOICE_S = 4.0
FRAME_LIMIT_BYTES = 64 * 1024 * 1024

LOGGER = logging.getLogger(__name__)

Sources = collections.abc.Callable[[], collections.abc.Sequence[str]]


class SourceLostError(Exception):
    """An entry that was followed ended its stream, fell silent, or has lost the service."""


@attrs.define(eq=False)
class _Source:
    """A stream from an entry that is followed."""

    address: str
    framed: frames.FrameStream
    opened_s: float = attrs.field(factory=trio.current_time)


@attrs.define(eq=False)
class Follower:
    """Follows another entry where it can, and else watches the service itself.

    :ivar sources: returns whom to follow, best first; nobody where this entry is to watch
    :ivar is_watching: whether it watches the service itself now
    """

    copy: mirror.Mirror
    watch: watching.ServiceWatch
    transport: transport.PeerTransport
    sources: Sources
    rng: random.Random
    is_watching: bool = attrs.field(default=False, init=False)

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        while True:
            if not self.sources():
                await self._watch_until(self._wait_for_sources)
                continue
            async with contextlib.AsyncExitStack() as streams:
                source = await self._open_one(streams)
                if source is None:
                    await self._watch_until(self._look_for_source, streams)
                else:
                    await self._follow(source)

    async def _watch_until(
        self, wait: collections.abc.Callable[..., collections.abc.Awaitable], *arguments
    ) -> None:
        self.is_watching = True
        self.watch.max_backoff_s = (
            watching.PATIENT_BACKOFF_S if self.sources() else watching.MAX_BACKOFF_S
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch.run)
                await wait(*arguments)
                nursery.cancel_scope.cancel()
        finally:
            self.is_watching = False

    async def _wait_for_sources(self) -> None:
        while not self.sources():
            await self.copy.changed.wait(LOOK_AGAIN_S)

    async def _look_for_source(self, streams: contextlib.AsyncExitStack) -> None:
        # Others may have lost the service as well; each look costs them little, and the service
        # one call less a second for each entry that finds one.
        while True:
            await trio.sleep(LOOK_AGAIN_S * self.rng.uniform(0.8, 1.2))
            source = await self._open_one(streams)
            if source is not None or not self.sources():
                return

    async def _open_one(self, streams: contextlib.AsyncExitStack) -> _Source | None:
        for address in self.sources():
            try:
                return await self._open(address, streams)
            except (SourceLostError, transport.TransportError) as error:
                LOGGER.debug("%s cannot be followed: %s", address, error)
        return None

    async def _open(self, address: str, streams: contextlib.AsyncExitStack) -> _Source:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self.transport.connect(address)
        except trio.TooSlowError as error:
            raise SourceLostError("no connection in time") from error
        async with contextlib.AsyncExitStack() as opened:
            await opened.enter_async_context(stream)
            framed = frames.FrameStream(stream, FRAME_LIMIT_BYTES, SILENCE_TIMEOUT_S)
            source = _Source(address, framed)
            with _translated_errors():
                await framed.send([messages.encode(messages.Subscribe(self.copy.revision))])
            # Its first word tells whether it has the service itself. If not, its stream is closed
            # here: through an outage it would otherwise go on beside those of later looks.
            await self._receive(source)
            streams.push_async_exit(opened.pop_all())
            return source

    async def _follow(self, source: _Source) -> None:
        events.log(LOGGER, events.Event.SOURCE_FOLLOWED, source=source.address)
        try:
            while self._is_wanted(source):
                await self._receive(source)
        except SourceLostError as error:
            events.log(
                LOGGER,
                events.Event.SOURCE_LOST,
                source=source.address,
                reason=str(error),
                revision=self.copy.revision,
                confirmed_s=round(self.copy.standing.confirmed.age_s(), 3),
            )

    def _is_wanted(self, source: _Source) -> bool:
        wanted = self.sources()
        if source.address in wanted[:1]:
            return True
        return source.address in wanted and trio.current_time() - source.opened_s < SECOND_CHOICE_S

    async def _receive(self, source: _Source) -> None:
        """Take in messages up to and with the next status."""
        while True:
            with _translated_errors():
                message = messages.decode(await source.framed.receive())
            match message:
                case messages.Snapshot():
                    result = keyvalue.RangeResult(message.revision, message.items)
                    self.copy.replace(result)
                case messages.Update():
                    self.copy.apply(message.changes)
                case messages.Status():
                    self._apply_status(source, message)
                    return

    def _apply_status(self, source: _Source, status: messages.Status) -> None:
        now = clock.read()
        standing = mirror.Standing(
            _before(now, status.confirmed_s), status.is_answering, _before(now, status.failed_s)
        )
        if not status.is_answering or status.confirmed_s > STALE_S:
            raise SourceLostError(
                f"it has had nothing from the service for {status.confirmed_s:.2f} s"
            )
        self.copy.note_standing(standing, source.address)


def _before(now: clock.Instant, age_s: float) -> clock.Instant:
    return clock.Instant(now.monotonic_s - age_s, now.suspended_s)


@contextlib.contextmanager
def _translated_errors() -> collections.abc.Iterator[None]:
    try:
        yield
    except (frames.FrameError, messages.MessageError) as error:
        raise SourceLostError(str(error)) from error
    except trio.TooSlowError as error:
        raise SourceLostError("it has fallen silent") from error
