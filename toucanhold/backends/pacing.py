"""Network streams that read less often, and more at once, while many are open."""

import collections.abc
import typing

import attrs
import httpcore
import trio

# Below this many open answers each token is passed on as it comes.
FREE_ANSWERS = 16
INTERVAL_PER_ANSWER_S = 0.0005
MAX_INTERVAL_S = 0.2
# A read that brought more than some tokens is part of a long body, which must not be slowed.
LONG_READ_BYTES = 4096

Interval = collections.abc.Callable[[], float]


def interval_s(open_answers: int) -> float:
    """Return the least time between two reads of one answer, in seconds."""
    # Each read that is passed on costs about the same, however many tokens it brings. What arrives
    # in the meantime is put together by the kernel.
    return min(MAX_INTERVAL_S, max(0, open_answers - FREE_ANSWERS) * INTERVAL_PER_ANSWER_S)


@attrs.define(eq=False)
class PacedStream(httpcore.AsyncNetworkStream):
    """A TCP stream for httpcore.

    Its timeouts are not used: every request as a whole runs in a scope with a deadline, and a
    scope for each read costs as much as the read.

    :ivar interval: returns the least time between two reads, in seconds
    """

    stream: trio.SocketStream
    interval: Interval
    _last_read_s: float = float("-inf")

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what has arrived; empty at the end.

        :raises httpcore.ReadError: when the connection broke
        """
        wait_s = self.interval()
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

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send everything.

        :raises httpcore.WriteError: when the connection broke
        """
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
        """Return whether an idle connection has something to read; nothing else is known."""
        if info == "is_readable":
            return self.stream.socket.is_readable()
        return None


async def connect(host: str, port: int, timeout_s: float, interval: Interval) -> PacedStream:
    """Open a connection.

    :raises httpcore.ConnectError: when it cannot be opened
    :raises httpcore.ConnectTimeout: when it is not open in time
    """
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(host, port)
    except trio.TooSlowError as error:
        raise httpcore.ConnectTimeout(f"no connection in {timeout_s} s") from error
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    return PacedStream(stream, interval)
