"""Opens and accepts byte streams between entries."""

import abc
import collections.abc
import math

import trio

from toucanhold import intake, parsing, supervision

# Streams accepted whose peers have sent nothing yet. Entries send at once.
MAX_SILENT_STREAMS = 64
SILENCE_TIMEOUT_S = 2.0


class TransportError(Exception):
    """A connection to a peer failed, or an address could not be bound."""


StreamHandler = collections.abc.Callable[[trio.abc.Stream], collections.abc.Awaitable[None]]


class PeerTransport(abc.ABC):
    """Opens and accepts streams; addresses are ``IP:port``."""

    @abc.abstractmethod
    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a stream to ``address``.

        :raises TransportError: when the connection fails
        """

    @abc.abstractmethod
    async def listen(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams until cancelled and run ``handler`` for each in a task of its own.

        :raises TransportError: when the address cannot be bound
        """


class TcpTransport(PeerTransport):
    """Opens and accepts streams over TCP."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """See :class:`PeerTransport`."""
        try:
            host, _, port = parsing.ip_address(address).rpartition(":")
            return await trio.open_tcp_stream(host.strip("[]"), int(port))
        except (OSError, parsing.ParseError) as error:
            raise TransportError(f"cannot connect to {address}: {error}") from error

    async def listen(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See :class:`PeerTransport`."""
        host, _, port = address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"))
        except OSError as error:
            raise TransportError(f"cannot listen on {address}: {error}") from error
        silent = intake.Intake(math.inf, MAX_SILENT_STREAMS)

        async def serve(stream: trio.SocketStream) -> None:
            if await _wait_for_data(stream, silent):
                # An error in the work for one stream must not end those of the others.
                await supervision.run(handler, stream)
            else:
                await trio.aclose_forcefully(stream)

        await trio.serve_listeners(serve, listeners, task_status=task_status)


async def _wait_for_data(stream: trio.SocketStream, silent: intake.Intake) -> bool:
    """Wait until the peer sends something; return False if it does not."""
    with trio.move_on_after(SILENCE_TIMEOUT_S) as scope:
        share = silent.open(scope.cancel)
        try:
            await trio.lowlevel.wait_readable(stream.socket)
            return True
        finally:
            silent.close(share)
    return False
