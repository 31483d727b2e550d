"""Tests of the knowledge of backend servers that limit the requests they take."""

import unittest

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import limits
from toucanhold.registry import signals

SERVER = gateways.new_servers(1)["b0"]
NO_LIMIT = signals.Signals()


class LimitTableTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_limit_holds_until_an_answer_names_none(self):
        table = limits.LimitTable()
        table.observe(SERVER, signals.Signals(1.5), trio.current_time())
        self.assertEqual(1.5, table.rate_per_s(SERVER))
        await trio.sleep(60)
        self.assertEqual(1.5, table.rate_per_s(SERVER))
        table.observe(SERVER, signals.Signals(2.0), trio.current_time())
        self.assertEqual(2.0, table.rate_per_s(SERVER))
        table.observe(SERVER, NO_LIMIT, trio.current_time())
        self.assertIsNone(table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_an_overtaken_answer_lifts_no_limit(self):
        """Guards against an answer from before the limit that arrives after it."""
        table = limits.LimitTable()
        sent_s = trio.current_time()
        await trio.sleep(0.1)
        table.observe(SERVER, signals.Signals(1.5), sent_s)
        table.observe(SERVER, NO_LIMIT, sent_s + 0.05)
        self.assertEqual(1.5, table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_an_unreadable_limit_changes_nothing(self):
        table = limits.LimitTable()
        table.observe(SERVER, signals.Signals(1.5), trio.current_time())
        table.observe(SERVER, signals.Signals(None, True), trio.current_time())
        self.assertEqual(1.5, table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_a_restarted_server_has_no_limit(self):
        table = limits.LimitTable()
        table.observe(SERVER, signals.Signals(1.5), trio.current_time())
        self.assertIsNone(table.rate_per_s(attrs.evolve(SERVER, born_ms=2)))
