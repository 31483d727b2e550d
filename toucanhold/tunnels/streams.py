"""The side of a tunnel that sends requests."""

from __future__ import annotations

import typing

import attrs
import httpcore
import trio

from toucanhold.peers import frames
from toucanhold.tunnels import messages

CHUNK_BYTES = 16 * 1024
# Earlier versions send longer frames.
MAX_FRAME_BYTES = 64 * 1024 + 1


class TunnelLostError(httpcore.NetworkError):
    """The tunnel was lost; the backend server may be unaffected."""


@attrs.define(eq=False)
class TunnelStream(httpcore.AsyncNetworkStream):
    """A connection to a backend server through another entry, for httpcore.

    The ``timeout`` parameters are ignored, as each request has a cancel scope with a deadline.
    """

    frame_stream: frames.FrameStream
    _received: bytearray = attrs.field(factory=bytearray, init=False)
    _has_ended: bool = attrs.field(default=False, init=False)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that have arrived; empty after the server has closed its connection.

        :raises TunnelLostError: when the tunnel was lost
        :raises httpcore.ReadError: when the server's connection was lost
        """
        if not self._received and not self._has_ended:
            try:
                body = await self.frame_stream.receive()
            except frames.FrameError as error:
                raise TunnelLostError(str(error)) from error
            if body[:1] == messages.LOST:
                raise httpcore.ReadError("the other entry lost the connection to the server")
            self._has_ended = body[:1] == messages.END
            self._received += body[1:]
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes.

        :raises TunnelLostError: when the tunnel was lost
        """
        starts = range(0, len(buffer), CHUNK_BYTES)
        try:
            await self.frame_stream.send(
                messages.DATA + buffer[start : start + CHUNK_BYTES] for start in starts
            )
        except frames.FrameError as error:
            raise TunnelLostError(str(error)) from error

    async def aclose(self) -> None:
        """Close the tunnel; the other entry then closes the server's connection."""
        await trio.aclose_forcefully(self.frame_stream.stream)

    def get_extra_info(self, info: str) -> typing.Any:
        """Return whether data can be read, for ``is_readable``; None for all other names."""
        if info == "is_readable":
            return bool(self._received) or self._has_ended
        return None
