"""Splits a byte stream into frames, each a body after its length in four big-endian bytes."""

import collections.abc

import attrs
import trio

LENGTH_BYTES = 4
READ_SIZE_BYTES = 65536


class FrameError(Exception):
    """The stream has ended or is broken, or a frame exceeds the size limit."""


@attrs.define(eq=False)
class FrameStream:
    """Sends and receives frames on a byte stream.

    :ivar max_body_bytes: largest body accepted; small until the peer is authenticated
    :ivar idle_timeout_s: longest time to wait for the next bytes
    :ivar read_size_bytes: largest number of bytes to read at once
    :ivar received_bytes: total number of bytes received, lengths included
    :ivar sent_bytes: total number of bytes sent, lengths included
    """

    stream: trio.abc.Stream
    max_body_bytes: int
    idle_timeout_s: float = float("inf")
    read_size_bytes: int = READ_SIZE_BYTES
    received_bytes: int = 0
    sent_bytes: int = 0
    _buffer: bytearray = attrs.field(factory=bytearray, init=False)

    async def send(self, bodies: collections.abc.Iterable[bytes]) -> None:
        """Send each body as a frame.

        :raises FrameError: when the stream is broken
        """
        data = b"".join(len(body).to_bytes(LENGTH_BYTES) + body for body in bodies)
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise FrameError(f"cannot send: {error!r}") from error
        self.sent_bytes += len(data)

    async def receive(self) -> bytes:
        """Return the body of the next frame.

        :raises FrameError: when the stream has ended or is broken, or the frame is too large
        :raises trio.TooSlowError: when no byte arrives within ``idle_timeout_s``
        """
        await self._fill_buffer(LENGTH_BYTES)
        size_bytes = int.from_bytes(self._buffer[:LENGTH_BYTES])
        if size_bytes > self.max_body_bytes:
            raise FrameError(
                f"frame of {size_bytes} bytes exceeds the limit of {self.max_body_bytes} bytes"
            )
        await self._fill_buffer(LENGTH_BYTES + size_bytes)
        body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size_bytes])
        del self._buffer[: LENGTH_BYTES + size_bytes]
        return body

    async def _fill_buffer(self, size_bytes: int) -> None:
        while len(self._buffer) < size_bytes:
            try:
                with trio.fail_after(self.idle_timeout_s):
                    data = await self.stream.receive_some(self.read_size_bytes)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise FrameError(f"cannot receive: {error!r}") from error
            if not data:
                raise FrameError("the peer closed the stream")
            self.received_bytes += len(data)
            self._buffer += data
