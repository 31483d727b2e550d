"""Decides which clients' connections go when all of them hold too much, without I/O or a clock.

Each single limit of a request is not enough: thousands of requests that stop just short of their
end would exhaust the memory and descriptors of the process, with every one of them inside it.
"""

from __future__ import annotations

import collections
import collections.abc
import enum
import itertools
import logging

import attrs

from toucanhold import events

# Tasks, parser and buffers of a connection, without what its client has sent.
CONNECTION_BYTES = 32 * 1024
# Answers of which less waits are being read: each write waits for a turn of the event loop.
MIN_UNREAD_BYTES = 8 * 1024

LOGGER = logging.getLogger(__name__)


class Phase(enum.Enum):
    """What a connection waits for.

    ``IDLE``: the next request. ``RECEIVING``: the rest of a request. ``ANSWERING``: the answer to a
    request, which may have been sent to a backend server.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    ANSWERING = "answering"


@attrs.define(eq=False)
class Share:
    """What one connection holds.

    :ivar evict: closes the connection; called once at most, and may not call the intake
    :ivar request_bytes: bytes of the request that is being received or answered
    :ivar answer_bytes: bytes of an answer that the client has not read yet
    """

    evict: collections.abc.Callable[[], None]
    phase: Phase = attrs.field(default=Phase.IDLE, init=False)
    request_bytes: int = attrs.field(default=0, init=False)
    answer_bytes: int = attrs.field(default=0, init=False)

    @property
    def held_bytes(self) -> int:
        """Memory that is free once the connection is closed."""
        return CONNECTION_BYTES + self.request_bytes + self.answer_bytes


@attrs.define(eq=False)
class Intake:
    """Bounds what all connections of clients hold together.

    Only unfinished requests are given up, which no backend server has got, and connections whose
    clients read no answers. Among unfinished requests the largest goes, of the half that began
    first: a crowd of stalled requests goes before the younger requests of other callers, and small
    requests go last.

    :ivar limit_bytes: memory of all connections; a single unfinished request may exceed it
    :ivar max_connections: number of open connections
    :ivar held_bytes: memory of all connections now
    :ivar evicted_counts: number of connections closed for want of room, by what was wanting
    """

    limit_bytes: float
    max_connections: float
    held_bytes: int = attrs.field(default=0, init=False)
    evicted_counts: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    # Ordered by when each connection entered the phase.
    _by_phase: dict[Phase, dict[Share, None]] = attrs.field(
        factory=lambda: {phase: {} for phase in Phase}, init=False
    )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return sum(map(len, self._by_phase.values()))

    def open(self, evict: collections.abc.Callable[[], None]) -> Share:
        """Add a connection; for want of room, this or another one is closed."""
        share = Share(evict)
        self._by_phase[Phase.IDLE][share] = None
        self.held_bytes += share.held_bytes
        self._make_room(share)
        return share

    def close(self, share: Share) -> None:
        """Remove a connection that was closed."""
        if share in self._by_phase[share.phase]:
            del self._by_phase[share.phase][share]
            self.held_bytes -= share.held_bytes

    def receive(self, share: Share, size_bytes: int) -> None:
        """Add bytes of an unfinished request."""
        if share.phase is Phase.IDLE:
            self._move(share, Phase.RECEIVING)
        share.request_bytes += size_bytes
        self._add(share, size_bytes)

    def complete(self, share: Share) -> None:
        """Record that a request has arrived as a whole."""
        self._move(share, Phase.ANSWERING)

    def finish(self, share: Share) -> None:
        """Record that a request was answered."""
        self._add(share, -share.request_bytes)
        share.request_bytes = 0
        self._move(share, Phase.IDLE)

    def write(self, share: Share, size_bytes: int) -> None:
        """Add bytes that wait for the client to read, or subtract those that were read."""
        share.answer_bytes += size_bytes
        self._add(share, size_bytes)

    def _move(self, share: Share, phase: Phase) -> None:
        if share in self._by_phase[share.phase]:
            del self._by_phase[share.phase][share]
            self._by_phase[phase][share] = None
        share.phase = phase

    def _add(self, share: Share, size_bytes: int) -> None:
        if share in self._by_phase[share.phase]:
            self.held_bytes += size_bytes
            self._make_room()

    def _make_room(self, newest: Share | None = None) -> None:
        while self.connection_count > self.max_connections:
            victim = self._oldest_idle(newest) or self._largest_unfinished() or self._unread()
            if not self._evict(victim or newest, "connections"):
                return
        while self._counted_bytes() > self.limit_bytes:
            victim = self._largest_unfinished() or self._oldest_idle(newest) or self._unread()
            if not self._evict(victim or newest, "memory"):
                return

    def _counted_bytes(self) -> int:
        """Return the memory held without the request of an only unfinished one."""
        unfinished = self._by_phase[Phase.RECEIVING]
        if len(unfinished) != 1:
            return self.held_bytes
        return self.held_bytes - next(iter(unfinished)).request_bytes

    def _oldest_idle(self, newest: Share | None) -> Share | None:
        return next((share for share in self._by_phase[Phase.IDLE] if share is not newest), None)

    def _largest_unfinished(self) -> Share | None:
        unfinished = self._by_phase[Phase.RECEIVING]
        older_half = itertools.islice(unfinished, (len(unfinished) + 1) // 2)
        return max(older_half, key=lambda share: share.held_bytes, default=None)

    def _unread(self) -> Share | None:
        answering = self._by_phase[Phase.ANSWERING]
        largest = max(answering, key=lambda share: share.answer_bytes, default=None)
        is_unread = largest is not None and largest.answer_bytes >= MIN_UNREAD_BYTES
        return largest if is_unread else None

    def _evict(self, share: Share | None, reason: str) -> bool:
        """Close a connection; return False if there is none that may be closed."""
        if share is None or share not in self._by_phase[share.phase]:
            return False
        self.evicted_counts[reason] += 1
        events.log(
            LOGGER,
            events.Event.CLIENT_EVICTED,
            reason=reason,
            phase=share.phase.value,
            held_bytes=share.held_bytes,
            connections=self.connection_count,
            all_held_bytes=self.held_bytes,
        )
        self.close(share)
        share.evict()
        return True


def unlimited() -> Intake:
    """Return an intake that closes no connection."""
    return Intake(float("inf"), float("inf"))
