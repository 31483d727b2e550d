"""Servers that send bytes without end which are no answer, before entries as processes."""

import contextlib
import functools
import tempfile
import unittest

import attrs
import trio

from standins import gateways
from tests import endless_site
from tests.platform import endless, endless_answers
from toucanhold.backends import client, http
from toucanhold.platform import servers

REQUESTS = 30


class EndlessAnswersTest(unittest.TestCase):
    def _check(self, outcome, delay_matters=False):
        outcome = attrs.evolve(outcome, delay_s=outcome.delay_s if delay_matters else 0.0)
        self.assertEqual([], outcome.violations())

    async def _play(self, place, speed, subnet, has_tunnels=False):
        with tempfile.TemporaryDirectory() as folder:
            async with endless_answers.running(place, speed, folder, subnet, has_tunnels) as site:
                return await endless_answers.play(site, requests=REQUESTS)

    def test_bodies_without_end_take_little_memory(self):
        """Guards against an entry that ends for want of memory when servers are in trouble."""
        self._check(trio.run(self._play, "unframed body", "fast", "202.1"))

    def test_streams_go_on_elsewhere_when_an_event_does_not_end(self):
        """Guards against streams that stop while their server sends byte after byte."""
        self._check(trio.run(self._play, "event after others", "slow", "202.2"))

    def test_comments_do_not_show_that_a_server_answers(self):
        """Guards against comments of a silent server that win over another one's events."""
        self._check(trio.run(self._play, "comments", "slow", "202.3"))

    def test_answers_through_another_entry_are_bounded_too(self):
        """Guards against an entry that passes on bytes without end, or collects them."""
        self._check(trio.run(self._play, "chunks", "fast", "202.4", True))

    def test_answers_of_the_products_own_interface_are_bounded_too(self):
        """Guards against heads and bodies that are read until the caller's deadline."""
        for place, speed in (("unframed body", "fast"), ("long length", "slow")):
            with self.subTest(place=place, speed=speed):
                self._check(trio.run(endless_site.play, place, speed, REQUESTS))


class EndlessReportTest(unittest.TestCase):
    def test_reports_without_end_are_missing_reports(self):
        """Guards against a planner or poller that reads a report until its memory is full."""
        for place in sorted(endless.PLACES):
            for is_fast in (True, False):
                with self.subTest(place=place, is_fast=is_fast):
                    trio.run(self._read_reports, place, is_fast)

    async def _read_reports(self, place, is_fast):
        server = endless.EndlessServer(place, is_fast, is_report=True)
        async with trio.open_nursery() as nursery:
            serve = functools.partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
            listeners = await nursery.start(serve)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            registered = attrs.evolve(gateways.new_servers(1)["b0"], address=address)
            platform_client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter)
            with trio.fail_after(2):
                self.assertIsNone(await platform_client.probe(registered, lambda: None))
                with self.assertRaises(client.BackendError):
                    await http.HttpBackendClient().read_report(address, 0.4)
            nursery.cancel_scope.cancel()
        with contextlib.suppress(ValueError):
            # What the sockets of the kernel hold is part of it.
            self.assertLess(max(server.sent_bytes), 8 * 1024 * 1024)
