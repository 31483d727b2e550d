"""Streams that tell a lost connection from one that was closed in order."""

from __future__ import annotations

import abc
import collections.abc
import ssl
import typing

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


@attrs.define(eq=False)
class PooledStream(ConnectionStream):
    """The stream of a connection in a pool of httpcore.

    :ivar stream: the stream that httpcore has opened
    """

    stream: httpcore.AsyncNetworkStream

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        """See :class:`ConnectionStream`."""
        return await self.stream.read(max_bytes, timeout)

    async def _send(self, buffer: bytes, timeout: float | None) -> None:
        """See :class:`ConnectionStream`."""
        await self.stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See :class:`httpcore.AsyncNetworkStream`."""
        return PooledStream(await self.stream.start_tls(ssl_context, server_hostname, timeout))

    def get_extra_info(self, info: str) -> typing.Any:
        """See :class:`httpcore.AsyncNetworkStream`."""
        return self.stream.get_extra_info(info)


class PoolBackend(httpcore.TrioBackend):
    """Opens the connections of a pool of httpcore."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: collections.abc.Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """See :class:`httpcore.AsyncNetworkBackend`."""
        return PooledStream(
            await super().connect_tcp(host, port, timeout, local_address, socket_options)
        )
