"""Opens connections to backend servers, directly or through another entry."""

from __future__ import annotations

import abc
import collections
import logging

import attrs
import httpcore
import trio

from toucanhold import connection_errors, events
from toucanhold.backends import pacing
from toucanhold.gateway import entries, server_links
from toucanhold.peers import frames, transport
from toucanhold.registry import servers
from toucanhold.tunnels import messages, relays, streams

# Servers accept connections within milliseconds. After this time, another entry is asked, and after
# the same time a further one.
HEAD_START_S = 0.1
# Time for another entry to connect over its own links.
RELAY_CONNECT_TIMEOUT_S = 0.2
# Busy entries answer late. To refuse the request instead would serve nobody.
RELAY_TIMEOUT_S = 1.0
# Entries that may be asked in all, and at the same time.
MAX_RELAYS = 6
MAX_PENDING_RELAYS = 3
MESSAGE_LIMIT_BYTES = 1024
# A timeout that is later than this shows that this process was paused, and nothing of the server.
MAX_TIMEOUT_DELAY_S = 0.04

STREAM_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException)

LOGGER = logging.getLogger(__name__)


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

    :ivar relay: name of the entry that passes the bytes on; empty for a direct connection
    """

    stream: httpcore.AsyncNetworkStream
    relay: str = ""


class ServerDialer(abc.ABC):
    """Opens connections to backend servers, directly or through another entry."""

    @abc.abstractmethod
    async def connect(self, server: servers.Server, timeout_s: float) -> Connection:
        """Open a connection; nothing of a request is sent before it is open.

        :raises DialError: when no connection is open within ``timeout_s``
        """


@attrs.define(eq=False)
class DirectDialer(ServerDialer):
    """Connects over this entry's own links.

    :ivar own_links: told of each outcome
    """

    own_links: server_links.ServerLinks = attrs.field(factory=server_links.ServerLinks)

    async def connect(self, server: servers.Server, timeout_s: float) -> Connection:
        """See :class:`ServerDialer`."""
        host, _, port = server.address.rpartition(":")
        late_s = trio.current_time() + timeout_s + MAX_TIMEOUT_DELAY_S
        try:
            stream = await pacing.connect(host, int(port), timeout_s, _no_pause)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            detail = f"{server.address}: cannot connect: {error!r}"
            is_timeout = isinstance(error, httpcore.ConnectTimeout)
            if is_timeout and trio.current_time() > late_s:
                raise DialError(detail, False) from error
            self.own_links.record_failed(server.server_id)
            is_gone = is_timeout or connection_errors.is_connection_refused(error)
            raise DialError(detail, is_gone) from error
        self.own_links.record_opened(server.server_id)
        return Connection(stream)


@attrs.define(eq=False)
class _Race:
    """Attempts at one connection, of which the first to succeed counts.

    :ivar deadline_s: trio clock time until which the server may accept a direct connection
    :ivar started_s: trio clock time
    :ivar has_server_failed: whether the direct connection was refused or timed out; other errors
        are local
    :ivar is_confirmed_gone: whether an entry that reaches other servers could not connect either
    :ivar relay_scope: bounds the time in which other entries may connect
    """

    server: servers.Server
    deadline_s: float
    started_s: float = attrs.field(factory=trio.current_time)
    winner: Connection | None = None
    has_server_failed: bool = False
    is_confirmed_gone: bool = False
    errors: list[str] = attrs.field(factory=list)
    relay_scope: trio.CancelScope = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.relay_scope = trio.CancelScope(deadline=self.started_s + RELAY_TIMEOUT_S)

    @property
    def remaining_s(self) -> float:
        return self.deadline_s - trio.current_time()

    def record_direct_error(self, error: DialError) -> None:
        """Record why the direct connection failed."""
        self.has_server_failed |= error.is_gone
        self.errors.append(str(error))

    def confirm_gone(self) -> None:
        """Record that another entry could not connect; give further ones no extra time."""
        self.is_confirmed_gone = True
        self.relay_scope.deadline = min(self.relay_scope.deadline, self.deadline_s)

    async def finish(self, connection: Connection, scope: trio.CancelScope) -> None:
        """Make a connection the winner and cancel ``scope``; close it if there is one already."""
        if self.winner is None:
            self.winner = connection
            scope.cancel()
        else:
            with trio.CancelScope(shield=True):
                await connection.stream.aclose()


@attrs.define(eq=False)
class RelayingDialer(ServerDialer):
    """Connects directly, or through another entry if that fails or takes long.

    Only the connection is attempted in several ways. A request is sent once, on the first that is
    open, so requests that may run only once are as safe as on a direct connection.

    :ivar direct: connects over this entry's own links
    :ivar relay_counts: number of connections that each other entry has opened
    """

    direct: DirectDialer
    relay_table: relays.RelayTable
    transport: transport.PeerTransport
    relay_counts: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _running_races: int = attrs.field(default=0, init=False)

    async def connect(self, server: servers.Server, timeout_s: float) -> Connection:
        """See :class:`ServerDialer`."""
        race = _Race(server, trio.current_time() + timeout_s)
        if not self.direct.own_links.is_failing(server.server_id):
            try:
                return await self.direct.connect(server, min(HEAD_START_S, timeout_s))
            except DialError as error:
                race.record_direct_error(error)
        elif self._is_known_to_fail():
            raise DialError("neither this entry nor another reaches servers", False)
        await self._run_race(race)
        if race.winner is None:
            raise DialError("; ".join(race.errors[-3:]), self._is_gone(race))
        if race.winner.relay:
            self._record_relayed(server, race.winner.relay)
        return race.winner

    async def _run_race(self, race: _Race) -> None:
        self._running_races += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._connect_directly, race, nursery.cancel_scope)
                nursery.start_soon(self._connect_by_relay, race, nursery.cancel_scope)
        finally:
            self._running_races -= 1

    def _is_known_to_fail(self) -> bool:
        """Return whether no entry reaches servers, and an attempt is being made already.

        Callers are refused at once, and told to come back, while one of them finds out if the links
        are back.
        """
        return (
            self._running_races > 0
            and self.direct.own_links.are_cut
            and self.relay_table.are_all_avoided()
        )

    def _record_relayed(self, server: servers.Server, relay: str) -> None:
        self.relay_counts[relay] += 1
        if self.direct.own_links.record_relayed(server.server_id):
            events.log(LOGGER, events.Event.SERVER_RELAYED, server=server.server_id, relay=relay)

    def _is_gone(self, race: _Race) -> bool:
        if not race.has_server_failed:
            return False
        if race.is_confirmed_gone or not self.relay_table.ranked(race.server):
            return True
        own_links = self.direct.own_links
        return own_links.has_sign_of_others(race.server.server_id, race.started_s)

    async def _connect_directly(self, race: _Race, scope: trio.CancelScope) -> None:
        # Without time left, as after a pause of this process, a timeout would mean nothing.
        if race.remaining_s <= 0:
            return
        try:
            connection = await self.direct.connect(race.server, race.remaining_s)
        except DialError as error:
            race.record_direct_error(error)
        else:
            await race.finish(connection, scope)

    async def _connect_by_relay(self, race: _Race, scope: trio.CancelScope) -> None:
        pending = trio.CapacityLimiter(MAX_PENDING_RELAYS)
        with race.relay_scope:
            async with trio.open_nursery() as nursery:
                for entry in self.relay_table.ranked(race.server)[:MAX_RELAYS]:
                    has_answered = trio.Event()
                    await pending.acquire_on_behalf_of(has_answered)
                    nursery.start_soon(self._ask_relay, race, entry, scope, pending, has_answered)
                    with trio.move_on_after(HEAD_START_S):
                        await has_answered.wait()

    async def _ask_relay(
        self,
        race: _Race,
        entry: entries.Entry,
        scope: trio.CancelScope,
        pending: trio.CapacityLimiter,
        has_answered: trio.Event,
    ) -> None:
        try:
            stream = await self._open_tunnel(race, entry)
        except DialError as error:
            race.errors.append(f"entry {entry.entry}: {error}")
            if error.is_gone:
                race.confirm_gone()
            # An entry that reaches other servers may still help with those.
            self.relay_table.record_failed(entry, race.server if error.is_gone else None)
        except trio.Cancelled:
            if trio.current_time() >= race.started_s + RELAY_TIMEOUT_S:
                self.relay_table.record_failed(entry, None)
            raise
        else:
            self.relay_table.record_opened(entry)
            await race.finish(Connection(stream, entry.entry), scope)
        finally:
            pending.release_on_behalf_of(has_answered)
            has_answered.set()

    async def _open_tunnel(self, race: _Race, entry: entries.Entry) -> streams.TunnelStream:
        """Open a connection through another entry.

        :raises DialError: if it cannot be opened; ``is_gone`` if the entry confirms that the server
            is the cause
        """
        stream: trio.abc.Stream | None = None
        has_opened = False
        try:
            stream = await self.transport.connect(entry.tunnel_address)
            frame_stream = frames.FrameStream(
                stream, MESSAGE_LIMIT_BYTES, read_size_bytes=streams.CHUNK_BYTES
            )
            request = messages.Open(
                race.server.server_id, race.server.born_ms, RELAY_CONNECT_TIMEOUT_S
            )
            await frame_stream.send([messages.encode(request)])
            answer = messages.decode(await frame_stream.receive())
            if isinstance(answer, messages.Failed):
                raise DialError(answer.reason, answer.is_confirmed)
            if not isinstance(answer, messages.Opened):
                raise DialError(f"expected Opened, got {type(answer).__name__}", False)
            frame_stream.max_body_bytes = streams.MAX_FRAME_BYTES
            has_opened = True
            return streams.TunnelStream(frame_stream)
        except (transport.TransportError, frames.FrameError, messages.MessageError) as error:
            raise DialError(str(error), False) from error
        finally:
            if stream is not None and not has_opened:
                await trio.aclose_forcefully(stream)


def _no_pause() -> float:
    return 0.0
