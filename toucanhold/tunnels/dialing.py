"""Opens connections to backend servers."""

from __future__ import annotations

import abc

import attrs
import httpcore

from toucanhold import connection_errors
from toucanhold.backends import pacing
from toucanhold.registry import servers
from toucanhold.tunnels import links


class DialError(Exception):
    """No connection to a backend server could be opened.

    :ivar is_gone: whether the server itself is the cause, and not the way to it
    """

    def __init__(self, detail: str, is_gone: bool) -> None:
        super().__init__(detail)
        self.is_gone = is_gone


@attrs.frozen
class Connection:
    """An open connection to a backend server.

    :ivar is_direct: whether no other entry passes the bytes on
    """

    stream: httpcore.AsyncNetworkStream
    is_direct: bool = True


class ServerDialer(abc.ABC):
    """Opens connections to backend servers."""

    @abc.abstractmethod
    async def connect(self, server: servers.Server, timeout_s: float) -> Connection:
        """Open a connection; nothing of a request is sent before it is open.

        :raises DialError: when no connection is open within ``timeout_s``
        """


@attrs.define(eq=False)
class DirectDialer(ServerDialer):
    """Connects over this entry's own links.

    :ivar server_links: told of each outcome
    """

    server_links: links.ServerLinks = attrs.field(factory=links.ServerLinks)

    async def connect(self, server: servers.Server, timeout_s: float) -> Connection:
        """See :class:`ServerDialer`."""
        host, _, port = server.address.rpartition(":")
        try:
            stream = await pacing.connect(host, int(port), timeout_s, _no_pause)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            self.server_links.record_failed(server.server_id)
            is_gone = connection_errors.is_connection_refused(error) or isinstance(
                error, httpcore.ConnectTimeout
            )
            detail = f"{server.address}: cannot connect: {error!r}"
            raise DialError(detail, is_gone) from error
        self.server_links.record_opened(server.server_id)
        return Connection(stream)


def _no_pause() -> float:
    return 0.0
