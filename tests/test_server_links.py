"""Tests of how an entry tells dead servers from a cut of its own links."""

import unittest

import trio

from tests import clocked
from toucanhold.tunnels import links


class ServerLinksTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_several_failures_without_a_success_point_to_the_own_links(self):
        """Load: 57 servers, of which all, some or one by one fail for this entry."""
        server_links = links.ServerLinks()
        for number in range(2):
            server_links.record_failed(f"s{number}")
        self.assertFalse(server_links.are_cut)
        with self.assertLogs("toucanhold.tunnels.links", "WARNING") as logged:
            for number in range(57):
                server_links.record_failed(f"s{number}")
        self.assertEqual(1, len(logged.records))
        self.assertTrue(server_links.are_cut)
        self.assertTrue(server_links.is_failing("never tried"))
        server_links.record_opened("s3")
        self.assertFalse(server_links.are_cut)
        self.assertFalse(server_links.is_failing("s3"))
        self.assertTrue(server_links.is_failing("s4"))
        server_links.retain(lambda name: name == "s4")
        self.assertEqual(1, server_links.failing_count())

    @clocked.on_test_clock
    async def test_failures_expire(self):
        """Guards against an idle entry that takes its links for cut for ever."""
        server_links = links.ServerLinks()
        for number in range(links.MIN_FAILED_SERVERS):
            server_links.record_failed(f"s{number}")
        await trio.sleep(links.FAILURE_VALIDITY_S)
        self.assertFalse(server_links.are_cut)

    @clocked.on_test_clock
    async def test_a_sign_of_another_server_shows_that_the_links_work(self):
        server_links = links.ServerLinks()
        await trio.sleep(1)
        server_links.record_sign("a")
        server_links.record_sign("b")
        await trio.sleep(1)
        server_links.record_sign("b")
        self.assertFalse(server_links.has_sign_of_others("b", 1.5))
        self.assertTrue(server_links.has_sign_of_others("b", 1.0))
        self.assertTrue(server_links.has_sign_of_others("a", 1.5))
