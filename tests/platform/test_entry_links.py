"""Tests of entries that lose their links to all backend servers."""

import unittest

import trio
import trio.testing

from tests.platform import entry_links

NAMES = ("entry-a1", "entry-b1", "entry-a2", "entry-b2")
# Time from a cut until the rules compare the callers of entries with and without servers.
CONTACT_S = 3.0
REQUESTS = 12
# How the links are cut, and of how many entries.
CASES = (("silent", 1), ("silent", 3), ("reset", 3), ("refuse", 3))
INTERVAL_S = 0.05
# Callers give a request 3 s; a refusal must not use up much of it.
REFUSAL_S = 0.375
# Callers come back within this time after a refusal.
RETURN_S = 1.5
TIMEOUT_S = 60
# The test clock advances once nothing has happened for this long.
AUTOJUMP_S = 0.003


class EntryLinksTest(unittest.TestCase):
    def test_callers_of_entries_without_servers_are_served(self):
        """Guards against entries that refuse all callers while other entries reach servers."""
        for number, (how, count) in enumerate(CASES):
            with self.subTest(how, count=count):
                trio.run(self._serve_during_cut, f"91.{number}", how, NAMES[:count])

    def test_other_entries_use_servers_that_an_entry_without_links_found_silent(self):
        """Guards against one entry's cut links that make all entries avoid sound servers."""
        for number, how in enumerate(entry_links.CUTS):
            with self.subTest(how):
                # A pause of this process would stop the servers too, which are sound here.
                clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_S)
                trio.run(self._find_avoided_servers, f"92.{number}", how, clock=clock)

    async def _find_avoided_servers(self, subnet, how):
        avoided = set()

        async def watch(site):
            while True:
                for name in NAMES[1:]:
                    avoided.update((name, server) for server in site.entries[name].health.avoided())
                await trio.sleep(0.01)

        with trio.fail_after(TIMEOUT_S):
            async with entry_links.running(subnet, NAMES) as site, trio.open_nursery() as nursery:
                nursery.start_soon(watch, site)
                results = []
                nursery.start_soon(self._send_all, site, NAMES, "stream", results)
                await trio.sleep(REQUESTS * INTERVAL_S / 2)
                site.links.cut(NAMES[0], how)
                await trio.sleep(CONTACT_S)
                self.assertEqual([200] * REQUESTS * len(NAMES), [result[2] for result in results])
                self.assertEqual(set(), avoided)
                nursery.cancel_scope.cancel()

    async def _serve_during_cut(self, subnet, how, cut):
        with trio.fail_after(TIMEOUT_S):
            async with entry_links.running(subnet, NAMES) as site:
                for name in cut:
                    site.links.cut(name, how)
                await self._send_all(site, cut, "first", [])
                await trio.sleep(CONTACT_S)
                await self._probe_servers(site, cut)
                for kind in ("stream", "order", "lookup"):
                    results = []
                    await self._send_all(site, cut, kind, results)
                    served = [result for result in results if result[2] == 200]
                    self.assertEqual(len(results), len(served), (kind, results))
                    for attempt, name, _, _, body in results:
                        self.assertEqual(1, site.runs(attempt), (name, attempt))
                        if kind == "stream":
                            self.assertEqual(entry_links.stream_body(), body)

    def test_callers_are_refused_at_once_while_no_entry_reaches_servers(self):
        """Guards against callers that wait for servers which no entry reaches."""
        for number, how in enumerate(entry_links.CUTS):
            with self.subTest(how):
                # The durations are those of the program, whatever else the machine does.
                clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_S)
                trio.run(self._refuse_during_cut, f"93.{number}", how, clock=clock)

    async def _refuse_during_cut(self, subnet, how):
        with trio.fail_after(TIMEOUT_S):
            async with entry_links.running(subnet, NAMES) as site:
                for name in NAMES:
                    site.links.cut(name, how)
                await self._send_all(site, NAMES, "first", [])
                results = []
                await self._send_all(site, NAMES, "order", results)
                self.assertEqual({503}, {result[2] for result in results})
                late = [result for result in results if result[3] > REFUSAL_S]
                self.assertLess(len(late), len(results) / 4, late)
                self.assertEqual(0, sum(site.runs(result[0]) for result in results))
                site.links.cuts.clear()
                await trio.sleep(RETURN_S)
                results = []
                await self._send_all(site, NAMES, "order", results)
                self.assertEqual({200}, {result[2] for result in results})

    def test_a_stopping_entry_passes_on_what_has_begun(self):
        """Guards against answers that are cut because the entry that passes them on stops."""
        clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_S)
        trio.run(self._stop_relay, "94.0", clock=clock)

    async def _stop_relay(self, subnet):
        with trio.fail_after(TIMEOUT_S):
            async with entry_links.running(subnet, NAMES[:2]) as site:
                site.links.cut(NAMES[0], "refuse")
                results = []
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send, site, NAMES[0], "slow", 0, results)
                    while not site.runs(f"slow-{NAMES[0]}-0"):
                        await trio.sleep(0.01)
                    relay = site.entries[NAMES[1]]
                    self.assertEqual(1, relay.tunnel_server.open_count)
                    await relay.stop()
                    self.assertEqual(0, relay.tunnel_server.open_count)
                self.assertEqual([200], [result[2] for result in results])

    async def _probe_servers(self, site, names):
        # A planner without links must neither lose its groups nor stop planning.
        for name in names:
            running = site.entries[name]
            for server in running.server_registry.servers.values():
                report = await running.server_client.probe(server, lambda: None)
                self.assertIsNotNone(report, (name, server))

    async def _send_all(self, site, names, prefix, results):
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                for name in names:
                    nursery.start_soon(self._send, site, name, prefix, number, results)
                await trio.sleep(INTERVAL_S)

    async def _send(self, site, name, prefix, number, results):
        kind = prefix if prefix != "first" else "lookup"
        attempt = f"{prefix}-{name}-{number}"
        status, took_s, body = await site.send(name, kind, attempt)
        results.append((attempt, name, status, round(took_s, 3), body))
