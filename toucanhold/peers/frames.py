"""Frames on a byte stream: four bytes of length, then the body."""

import collections.abc

import attrs
import trio

LENGTH_BYTES = 4
READ_SIZE_BYTES = 65536


class FrameError(Exception):
    """The stream ended, broke, or carries a frame beyond its limit."""


@attrs.define(eq=False)
class FrameStream:
    """Sends and receives frames.

    :ivar limit_bytes: largest body that is received; small until the peer has proved itself
    :ivar idle_timeout_s: longest time without a single byte
    """

    stream: trio.abc.Stream
    limit_bytes: int
    idle_timeout_s: float = float("inf")
    received_bytes: int = 0
    sent_bytes: int = 0
    _buffer: bytearray = attrs.field(factory=bytearray, init=False)

    async def send(self, bodies: collections.abc.Iterable[bytes]) -> None:
        """Send each body in a frame.

        :raises FrameError: when the stream is broken
        """
        data = b"".join(len(body).to_bytes(LENGTH_BYTES) + body for body in bodies)
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise FrameError(f"cannot send: {error!r}") from error
        self.sent_bytes += len(data)

    async def receive(self) -> bytes:
        """Return the next body.

        :raises FrameError: when the stream has ended or the frame is too large
        :raises trio.TooSlowError: when nothing comes in for too long
        """
        await self._fill(LENGTH_BYTES)
        size = int.from_bytes(self._buffer[:LENGTH_BYTES])
        if size > self.limit_bytes:
            raise FrameError(f"a frame of {size} bytes exceeds {self.limit_bytes}")
        await self._fill(LENGTH_BYTES + size)
        body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
        del self._buffer[: LENGTH_BYTES + size]
        return body

    async def _fill(self, size: int) -> None:
        while len(self._buffer) < size:
            try:
                with trio.fail_after(self.idle_timeout_s):
                    data = await self.stream.receive_some(READ_SIZE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise FrameError(f"cannot receive: {error!r}") from error
            if not data:
                raise FrameError("the peer closed the stream")
            self.received_bytes += len(data)
            self._buffer += data
