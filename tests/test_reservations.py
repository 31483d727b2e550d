"""Tests that only one entry at a time uses a backend server for an isolated request."""

import unittest

import trio
import trio.testing

from toucanhold.peers import exchange, messages
from toucanhold.routing import reservations

VM = "vm-1"


def on_test_clock(check, *arguments):
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


class Entries:
    """Entries whose messages are delivered on request only."""

    def __init__(self, *names):
        self.exchanges = {name: exchange.Exchange() for name in names}
        self.tables = {
            name: reservations.ReservationTable(name, own) for name, own in self.exchanges.items()
        }
        self.outboxes = {}
        for name, own in self.exchanges.items():
            for other in names:
                if other != name:
                    self.outboxes[name, other] = exchange.Outbox()
                    own.attach(other, self.outboxes[name, other])

    async def deliver(self, source, target):
        with trio.move_on_after(0.001):
            for body in await self.outboxes[source, target].pop_all():
                self.exchanges[target].deliver(source, messages.decode(body))

    async def deliver_all(self):
        for _ in range(3):
            for source, target in self.outboxes:
                await self.deliver(source, target)


class ReservationTest(unittest.TestCase):
    def test_entries_that_reserve_at_the_same_moment(self):
        """Guards against two isolated requests on one server: a crash is blamed on both."""
        on_test_clock(self._reserve_at_once)

    async def _reserve_at_once(self):
        entries = Entries("a", "b", "c")
        first, second = entries.tables["a"], entries.tables["b"]
        first.begin(VM)
        second.begin(VM)
        self.assertIsNone(first.confirmed_at_s(VM))
        self.assertIsNone(second.confirmed_at_s(VM))
        await entries.deliver_all()
        self.assertIsNotNone(first.confirmed_at_s(VM))
        self.assertFalse(second.is_own(VM))
        for table in entries.tables.values():
            self.assertTrue(table.is_reserved(VM))
        first.end(VM)
        await entries.deliver_all()
        for table in entries.tables.values():
            self.assertFalse(table.is_reserved(VM))

    def test_server_is_used_only_after_all_peers_have_confirmed(self):
        """Guards against requests that a peer sends before it learns of the reservation."""
        on_test_clock(self._wait_for_peers)

    async def _wait_for_peers(self):
        entries = Entries("a", "b", "c")
        table = entries.tables["c"]
        table.begin(VM)
        await entries.deliver("c", "a")
        await entries.deliver("a", "c")
        self.assertIsNone(table.confirmed_at_s(VM))
        entries.exchanges["c"].detach("b", entries.outboxes["c", "b"])
        self.assertIsNotNone(table.confirmed_at_s(VM))

    def test_confirmed_reservation_is_not_taken_over(self):
        on_test_clock(self._reserve_later)

    async def _reserve_later(self):
        entries = Entries("a", "b")
        entries.tables["b"].begin(VM)
        await entries.deliver_all()
        self.assertIsNotNone(entries.tables["b"].confirmed_at_s(VM))
        entries.tables["a"].begin(VM)
        await entries.deliver_all()
        self.assertIsNone(entries.tables["a"].confirmed_at_s(VM))
        self.assertTrue(entries.tables["b"].is_own(VM))

    def test_peer_that_connects_later_learns_of_reservations(self):
        on_test_clock(self._connect_later)

    async def _connect_later(self):
        entries = Entries("a", "b")
        detached = entries.outboxes["a", "b"]
        entries.exchanges["a"].detach("b", detached)
        entries.tables["a"].begin(VM)
        self.assertIsNotNone(entries.tables["a"].confirmed_at_s(VM))
        entries.exchanges["a"].attach("b", detached)
        await entries.deliver_all()
        self.assertTrue(entries.tables["b"].is_reserved(VM))

    def test_peer_without_confirmations_delays_an_isolated_request_briefly(self):
        on_test_clock(self._time_out)

    async def _time_out(self):
        entries = Entries("a", "old")
        table = entries.tables["a"]
        table.begin(VM)
        await trio.sleep(reservations.CONFIRMATION_TIMEOUT_S)
        self.assertIsNotNone(table.confirmed_at_s(VM))
        await trio.sleep(reservations.MAX_ISOLATION_S)
        self.assertFalse(table.is_reserved(VM))
