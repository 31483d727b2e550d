"""Tests of entries that lose their links to all backend servers."""

import unittest

import trio

from tests.platform import entry_links

NAMES = ("entry-a1", "entry-b1", "entry-a2", "entry-b2")
# Time from a cut until the rules compare the callers of entries with and without servers.
CONTACT_S = 3.0
REQUESTS = 12
# How the links are cut, and of how many entries.
CASES = (("silent", 1), ("silent", 3), ("reset", 3), ("refuse", 3))
INTERVAL_S = 0.05
TIMEOUT_S = 60


class EntryLinksTest(unittest.TestCase):
    def test_callers_of_entries_without_servers_are_served(self):
        """Guards against entries that refuse all callers while other entries reach servers."""
        for number, (how, count) in enumerate(CASES):
            with self.subTest(how, count=count):
                trio.run(self._serve_during_cut, f"91.{number}", how, NAMES[:count])

    async def _serve_during_cut(self, subnet, how, cut):
        with trio.fail_after(TIMEOUT_S):
            async with entry_links.running(subnet, NAMES) as site:
                for name in cut:
                    site.links.cut(name, how)
                await self._send_all(site, cut, "first", [])
                await trio.sleep(CONTACT_S)
                for kind in ("stream", "order", "lookup"):
                    results = []
                    await self._send_all(site, cut, kind, results)
                    served = [result for result in results if result[2] == 200]
                    self.assertEqual(len(results), len(served), (kind, results))
                    for attempt, name, _, _, body in results:
                        self.assertEqual(1, site.runs(attempt), (name, attempt))
                        if kind == "stream":
                            self.assertEqual(entry_links.STREAM_BODY, body)

    async def _send_all(self, site, names, prefix, results):
        async def send(name, number):
            kind = prefix if prefix != "first" else "lookup"
            attempt = f"{prefix}-{name}-{number}"
            status, took_s, body = await site.send(name, kind, attempt)
            results.append((attempt, name, status, round(took_s, 3), body))

        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                for name in names:
                    nursery.start_soon(send, name, number)
                await trio.sleep(INTERVAL_S)
