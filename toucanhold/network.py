"""Streams that tell a lost connection from one that was closed in order."""

from __future__ import annotations

import abc

import attrs
import httpcore


@attrs.define(eq=False)
class ConnectionStream(httpcore.AsyncNetworkStream, abc.ABC):
    """A stream whose end is an error once a write has failed.

    A server may answer before it has read the whole request, so its answer is read even then. The
    kernel reports the error of a connection only once. If a write gets it, the next read finds an
    end like that of an orderly close, which would complete an answer without a length.
    """

    _write_error: httpcore.WriteError | None = attrs.field(default=None, init=False)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that have arrived; empty after an orderly close.

        :raises httpcore.ReadError: when the connection was lost
        """
        data = await self._receive(max_bytes, timeout)
        if not data and self._write_error is not None:
            raise httpcore.ReadError(str(self._write_error)) from self._write_error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes.

        :raises httpcore.WriteError: when the connection was lost
        """
        try:
            await self._send(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = error
            raise

    @abc.abstractmethod
    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        """Return the bytes that have arrived; empty at the end of the stream.

        :raises httpcore.ReadError: when the connection was lost
        """

    @abc.abstractmethod
    async def _send(self, buffer: bytes, timeout: float | None) -> None:
        """Send all bytes.

        :raises httpcore.WriteError: when the connection was lost
        """
