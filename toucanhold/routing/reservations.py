"""Reserves backend servers for isolated requests, at most one entry's at a time."""

import collections

import attrs
import trio

from toucanhold.peers import exchange, messages

MAX_ISOLATION_S = 30.0
# A peer of an older version confirms nothing, and one that has failed stays connected for a while.
CONFIRMATION_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class _Reservation:
    """A reservation of this entry.

    :ivar unconfirmed: peers that may still send requests to the backend server
    :ivar confirmed_at_s: trio clock time at which the last of them stopped; None before
    """

    begun_at_s: float
    unconfirmed: set[str]
    confirmed_at_s: float | None = None

    @property
    def has_expired(self) -> bool:
        """Whether its time limit is over."""
        return trio.current_time() >= self.begun_at_s + MAX_ISOLATION_S

    def update(self, connected: frozenset[str]) -> None:
        """Confirm the reservation once no connected peer is left to wait for."""
        now_s = trio.current_time()
        has_timed_out = now_s >= self.begun_at_s + CONFIRMATION_TIMEOUT_S
        if self.confirmed_at_s is None and (has_timed_out or not self.unconfirmed & connected):
            self.confirmed_at_s = now_s


@attrs.define(eq=False)
class ReservationTable:
    """Backend servers that this entry or a peer reserves for one isolated request each.

    A reservation is valid once all connected peers have confirmed that they send no further
    requests to the backend server. If two entries reserve the same one at the same time, the entry
    whose name sorts first gets it; the other one gives way before it confirms.

    :ivar entry: name of this entry
    """

    entry: str
    exchange: exchange.Exchange
    _own: dict[str, _Reservation] = attrs.field(factory=dict, init=False)
    # Times at which the reservations of peers expire, by VM and peer.
    _peer_expiries_s: dict[str, dict[str, float]] = attrs.field(
        factory=lambda: collections.defaultdict(dict), init=False
    )

    def __attrs_post_init__(self) -> None:
        """Subscribe to the reservations of peers and to new connections."""
        self.exchange.subscribe(messages.IsolationNews, self._receive_reservation)
        self.exchange.subscribe(messages.IsolationConfirmed, self._receive_confirmation)
        self.exchange.subscribe_connected(self._send_own)

    def begin(self, vm: str) -> None:
        """Reserve a backend server for this entry."""
        self._own[vm] = _Reservation(trio.current_time(), set(self.exchange.connected()))
        self.exchange.broadcast(messages.IsolationNews(vm, MAX_ISOLATION_S))

    def end(self, vm: str) -> None:
        """Release a backend server that this entry may have reserved."""
        if self._own.pop(vm, None) is not None:
            self.exchange.broadcast(messages.IsolationNews(vm, 0.0))

    def is_reserved(self, vm: str) -> bool:
        """Return whether this entry or a peer has reserved a backend server."""
        return self.is_own(vm) or self._is_reserved_by_peer(vm)

    def is_own(self, vm: str) -> bool:
        """Return whether this entry has reserved a backend server and not given way."""
        reservation = self._own.get(vm)
        return reservation is not None and not reservation.has_expired

    def confirmed_at_s(self, vm: str) -> float | None:
        """Return since when peers send no requests to a backend server that this entry reserved.

        :return: trio clock time; None while a peer may still send some
        """
        if not self.is_own(vm):
            return None
        reservation = self._own[vm]
        reservation.update(self.exchange.connected())
        return reservation.confirmed_at_s

    def _is_reserved_by_peer(self, vm: str) -> bool:
        # The time limit ends reservations whose entry died.
        now_s = trio.current_time()
        return any(now_s < expiry_s for expiry_s in self._peer_expiries_s.get(vm, {}).values())

    def _receive_reservation(self, peer: str, message: messages.IsolationNews) -> None:
        vm = message.vm
        if message.for_s <= 0:
            self._peer_expiries_s[vm].pop(peer, None)
            return
        duration_s = min(message.for_s, MAX_ISOLATION_S)
        self._peer_expiries_s[vm][peer] = trio.current_time() + duration_s
        if self.is_own(vm):
            if self.confirmed_at_s(vm) is not None or self.entry < peer:
                return
            self.end(vm)
        self.exchange.send(peer, messages.IsolationConfirmed(vm))

    def _receive_confirmation(self, peer: str, message: messages.IsolationConfirmed) -> None:
        reservation = self._own.get(message.vm)
        if reservation is not None:
            reservation.unconfirmed.discard(peer)

    def _send_own(self, peer: str) -> None:
        for vm, reservation in self._own.items():
            if not reservation.has_expired:
                if reservation.confirmed_at_s is None:
                    reservation.unconfirmed.add(peer)
                remaining_s = reservation.begun_at_s + MAX_ISOLATION_S - trio.current_time()
                self.exchange.send(peer, messages.IsolationNews(vm, remaining_s))
