"""TCP streams that limit the rate of reads when many responses are open."""

import collections.abc
import typing

import attrs
import httpcore
import trio

from toucanhold import network

# Up to this number of open responses, each token is forwarded as soon as it arrives.
UNPACED_RESPONSES = 16
INTERVAL_PER_RESPONSE_S = 0.0005
MAX_INTERVAL_S = 0.2
# A read of this size is more than a few tokens: it is part of a long body, which is not paced.
LONG_READ_BYTES = 4096

IntervalFunction = collections.abc.Callable[[], float]


def read_interval_s(open_responses: int) -> float:
    """Return the minimum time between two reads of one response, in seconds.

    :param open_responses: number of responses that are being read at the same time
    """
    # Forwarding a read costs about the same, however many tokens it holds. Tokens that arrive
    # between two reads are buffered by the kernel and read together.
    return min(MAX_INTERVAL_S, max(0, open_responses - UNPACED_RESPONSES) * INTERVAL_PER_RESPONSE_S)


@attrs.define(eq=False)
class PacedStream(network.ConnectionStream):
    """A TCP stream for httpcore.

    The ``timeout`` parameters are ignored: each request runs in a cancel scope with a deadline, and
    a scope for each read would cost as much as the read itself.

    :ivar read_interval: returns the minimum time between two reads, in seconds
    """

    stream: trio.SocketStream
    read_interval: IntervalFunction
    _last_read_s: float = float("-inf")

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        """See :class:`network.ConnectionStream`."""
        wait_s = self.read_interval()
        if wait_s:
            wait_s += self._last_read_s - trio.current_time()
            if wait_s > 0:
                await trio.sleep(wait_s)
        try:
            data = await self.stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        if len(data) < LONG_READ_BYTES:
            self._last_read_s = trio.current_time()
        return bytes(data)

    async def _send(self, buffer: bytes, timeout: float | None) -> None:
        """See :class:`network.ConnectionStream`."""
        if not buffer:
            return
        try:
            await self.stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:
        """Return whether data can be read, for ``is_readable``; None for all other names."""
        if info == "is_readable":
            return self.stream.socket.is_readable()
        return None


async def connect(
    host: str, port: int, timeout_s: float, read_interval: IntervalFunction
) -> PacedStream:
    """Open a TCP connection.

    :param read_interval: returns the minimum time between two reads, in seconds
    :raises httpcore.ConnectError: when the connection cannot be opened
    :raises httpcore.ConnectTimeout: when it is not open within ``timeout_s``
    """
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(host, port)
    except trio.TooSlowError as error:
        raise httpcore.ConnectTimeout(f"no connection within {timeout_s} s") from error
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    return PacedStream(stream, read_interval)
