"""Tests of how an entry tells dead servers from a cut of its own links."""

import unittest

import trio

from tests import clocked
from toucanhold.gateway import server_links


class ServerLinksTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_several_failures_without_a_success_point_to_the_own_links(self):
        """Load: 57 servers, of which all, some or one by one fail for this entry."""
        entry_links = server_links.ServerLinks()
        for number in range(2):
            entry_links.record_failed(f"s{number}")
        self.assertFalse(entry_links.are_cut)
        with self.assertLogs("toucanhold.gateway.server_links", "WARNING") as logged:
            for number in range(57):
                entry_links.record_failed(f"s{number}")
        self.assertEqual(1, len(logged.records))
        self.assertTrue(entry_links.are_cut)
        self.assertTrue(entry_links.is_failing("never tried"))
        entry_links.record_opened("s3")
        self.assertFalse(entry_links.are_cut)
        self.assertFalse(entry_links.is_failing("s3"))
        self.assertTrue(entry_links.is_failing("s4"))
        entry_links.retain(lambda name: name == "s4")
        self.assertEqual(1, entry_links.failing_count())

    @clocked.on_test_clock
    async def test_failures_expire(self):
        """Guards against an idle entry that takes its links for cut for ever."""
        entry_links = server_links.ServerLinks()
        for number in range(server_links.MIN_FAILED_SERVERS):
            entry_links.record_failed(f"s{number}")
        await trio.sleep(server_links.FAILURE_VALIDITY_S)
        self.assertFalse(entry_links.are_cut)

    @clocked.on_test_clock
    async def test_a_sign_of_another_server_shows_that_the_links_work(self):
        entry_links = server_links.ServerLinks()
        await trio.sleep(1)
        entry_links.record_sign("a")
        entry_links.record_sign("b")
        await trio.sleep(1)
        entry_links.record_sign("b")
        self.assertFalse(entry_links.has_sign_of_others("b", 1.5))
        self.assertTrue(entry_links.has_sign_of_others("b", 1.0))
        self.assertTrue(entry_links.has_sign_of_others("a", 1.5))
