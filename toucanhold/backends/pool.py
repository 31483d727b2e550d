"""A pool of idle connections to one backend server, each bound to one boot of the server."""

import collections

import attrs
import httpcore

from toucanhold.backends import bounded, pacing

KEEPALIVE_EXPIRY_S = 30.0
MAX_IDLE_CONNECTIONS = 64
CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Connection:
    """An HTTP/1.1 connection, which carries one request at a time.

    :ivar boot_id: boot of the server at its other end; empty until checked by a load report
    """

    http: bounded.BoundedConnection
    boot_id: str = ""

    def is_reusable(self) -> bool:
        """Return whether the last exchange ended cleanly and left no unread data."""
        # If a server answers a request twice, the second answer stays in the parser and would be
        # read as the answer to the next request. httpcore has no public interface for this state.
        state = getattr(self.http, "_h11_state", None)
        return self.http.is_idle() and state is not None and not state.trailing_data[0]

    def is_stale(self) -> bool:
        """Return whether an idle connection has expired or was closed by the server."""
        return self.http.is_closed() or self.http.has_expired()


@attrs.define(eq=False)
class Pool:
    """Idle connections to one address; whoever acquires a connection owns it until its release.

    :ivar address: ``IP:port``
    """

    address: str
    _idle: collections.deque[Connection] = attrs.field(factory=collections.deque, init=False)

    def acquire(self, boot_id: str) -> tuple[Connection | None, list[Connection]]:
        """Return an idle connection, or None, and unusable ones that the caller must close.

        :param boot_id: boot that the connection must lead to, unless it is still unchecked; empty
            for any
        """
        stale = []
        while self._idle:
            connection = self._idle.pop()
            is_other_boot = boot_id and connection.boot_id not in ("", boot_id)
            if not is_other_boot and not connection.is_stale():
                return connection, stale
            stale.append(connection)
        return None, stale

    def release(self, connection: Connection) -> bool:
        """Return a connection to the pool.

        :return: false if it cannot be kept and the caller must close it
        """
        if not connection.is_reusable() or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            return False
        self._idle.append(connection)
        return True

    def drain(self) -> list[Connection]:
        """Remove all idle connections and return them."""
        connections = list(self._idle)
        self._idle.clear()
        return connections


async def connect(
    origin: httpcore.Origin, timeout_s: float, read_interval: pacing.IntervalFunction
) -> Connection:
    """Open a connection.

    :param read_interval: returns the minimum time between two reads, in seconds
    :raises httpcore.ConnectError: when the connection cannot be opened
    :raises httpcore.ConnectTimeout: when it is not open in time
    """
    # An unreachable VM does not answer at all. Without a short limit of its own, the attempt to
    # connect would use up the time in which another backend server could serve the request.
    stream = await pacing.connect(
        origin.host.decode(), origin.port, min(timeout_s, CONNECT_TIMEOUT_S), read_interval
    )
    return Connection(bounded.BoundedConnection(origin, stream, KEEPALIVE_EXPIRY_S))
