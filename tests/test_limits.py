"""Tests of the knowledge of backend servers that limit the requests they take."""

import unittest

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import limits

SERVER = gateways.new_servers(1)["b0"]


def new_limit(version, rate_per_s):
    return limits.Limit(SERVER.server_id, SERVER.born_ms, version, rate_per_s)


class LimitTableTest(unittest.TestCase):
    def setUp(self):
        self.table = limits.LimitTable()

    def _observe(self, rate_per_s):
        self.table.observe(SERVER, rate_per_s, trio.current_time())

    @clocked.on_test_clock
    async def test_a_limit_holds_until_an_answer_names_none(self):
        self._observe(1.5)
        self.assertEqual(1.5, self.table.rate_per_s(SERVER))
        await trio.sleep(60)
        self.assertEqual(1.5, self.table.rate_per_s(SERVER))
        self._observe(2.0)
        self.assertEqual(2.0, self.table.rate_per_s(SERVER))
        self._observe(None)
        self.assertIsNone(self.table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_an_overtaken_answer_lifts_no_limit(self):
        """Guards against an answer from before the limit that arrives after it."""
        sent_s = trio.current_time()
        await trio.sleep(0.1)
        self.table.observe(SERVER, 1.5, sent_s)
        self.table.observe(SERVER, None, sent_s + 0.05)
        self.assertEqual(1.5, self.table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_a_restarted_server_has_no_limit(self):
        self._observe(1.5)
        self.assertIsNone(self.table.rate_per_s(attrs.evolve(SERVER, born_ms=2)))

    @clocked.on_test_clock
    async def test_entries_agree_on_the_latest_change(self):
        """Guards against a lifted limit that entries keep telling each other."""
        other = limits.LimitTable()
        self._observe(1.5)
        for limit in self.table.to_announce(False):
            other.merge(limit, "e1")
        self.assertEqual(1.5, other.rate_per_s(SERVER))
        other.observe(SERVER, None, trio.current_time())
        for limit in other.to_announce(False):
            self.table.merge(limit, "e2")
        for limit in self.table.to_announce(False) + [new_limit(1, 1.5)]:
            other.merge(limit, "e1")
        self.assertEqual([None, None], [each.rate_per_s(SERVER) for each in (self.table, other)])

    @clocked.on_test_clock
    async def test_of_two_changes_at_once_the_lower_limit_holds(self):
        for changes in ((2.0, None), (None, 2.0), (2.0, 3.0), (3.0, 2.0)):
            with self.subTest(changes):
                table = limits.LimitTable()
                for rate_per_s in changes:
                    table.merge(new_limit(4, rate_per_s), "e2")
                self.assertEqual(2.0, table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_old_limits_are_told_in_full_notices_only(self):
        """Guards against notices that grow with all limits of the past."""
        self._observe(1.5)
        await trio.sleep(limits.REPEAT_PERIOD_S + 0.1)
        self.assertEqual([], self.table.to_announce(False))
        self.assertEqual([new_limit(1, 1.5)], self.table.to_announce(True))
        self._observe(None)
        await trio.sleep(limits.REPEAT_PERIOD_S + 0.1)
        self.assertEqual([], self.table.to_announce(True))

    @clocked.on_test_clock
    async def test_servers_that_are_gone_are_forgotten(self):
        self._observe(1.5)
        self.table.retain(lambda incarnation: False)
        self.assertIsNone(self.table.rate_per_s(SERVER))
        self.assertEqual([], self.table.limited())
