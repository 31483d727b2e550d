"""Idle connections to one backend server, each known to one of its boots."""

import collections

import attrs
import httpcore

from toucanhold.backends import pacing

KEEP_CONNECTION_S = 30.0
MAX_IDLE_CONNECTIONS = 64
CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Connection:
    """One HTTP/1.1 connection; it carries one request at a time.

    :ivar boot_id: the boot at its other end; empty until a load report came over it
    """

    http: httpcore.AsyncHTTP11Connection
    boot_id: str = ""

    def is_reusable(self) -> bool:
        """Tell whether the last exchange ended cleanly and left nothing behind."""
        # A server that answers twice leaves the second answer in the parser, where it would be
        # read as the answer to the next request. httpcore does not show it, hence the look inside.
        state = getattr(self.http, "_h11_state", None)
        return self.http.is_idle() and state is not None and not state.trailing_data[0]

    def is_stale(self) -> bool:
        """Tell whether an idle connection has expired or was closed at its other end."""
        return self.http.is_closed() or self.http.has_expired()


@attrs.define(eq=False)
class Pool:
    """Connections to one address; the caller owns those that it took.

    :ivar address: ``IP:port``
    """

    address: str
    _idle: collections.deque[Connection] = attrs.field(factory=collections.deque, init=False)

    def take(self, boot_id: str) -> tuple[Connection | None, list[Connection]]:
        """Return an idle connection to a boot, and stale ones that the caller must close.

        :param boot_id: the wanted boot; empty for any
        """
        stale = []
        while self._idle:
            connection = self._idle.pop()
            wrong_boot = boot_id and connection.boot_id not in ("", boot_id)
            if not wrong_boot and not connection.is_stale():
                return connection, stale
            stale.append(connection)
        return None, stale

    def give_back(self, connection: Connection) -> bool:
        """Keep a connection for later; false where the caller must close it."""
        if not connection.is_reusable() or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            return False
        self._idle.append(connection)
        return True

    def drain(self) -> list[Connection]:
        """Take all idle connections out."""
        connections = list(self._idle)
        self._idle.clear()
        return connections


async def connect(
    origin: httpcore.Origin, timeout_s: float, interval: pacing.Interval
) -> Connection:
    """Open a connection.

    :param interval: returns the least time between two reads, in seconds

    :raises httpcore.ConnectError: when it cannot be opened
    :raises httpcore.ConnectTimeout: when it is not open in time
    """
    # A dark VM answers nothing at all: without a short limit of its own, the attempt to connect
    # would use up the time in which another backend server could serve the request.
    stream = await pacing.connect(
        origin.host.decode(), origin.port, min(timeout_s, CONNECT_TIMEOUT_S), interval
    )
    return Connection(httpcore.AsyncHTTP11Connection(origin, stream, KEEP_CONNECTION_S))
