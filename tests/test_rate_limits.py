"""Tests of backend servers that limit the requests that all entries together may send to them."""

import unittest

import attrs
import trio

from standins import gateways
from tests.platform import standins
from toucanhold.gateway import entries
from toucanhold.registry import signals

# What a limited server bears: in some 4 s, one and a half times its limit and five requests.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
# Time after a server first named its limit from which it must be kept.
NOTICE_S = 3.0
BEFORE_S = 2.0
AFTER_S = 9.0


@attrs.define(eq=False, slots=False)
class Site:
    """Entries that send requests to the same servers and exchange notices on loopback."""

    entry_count: int
    server_count: int = 3

    def __attrs_post_init__(self):
        self.servers = gateways.new_servers(self.server_count, slots=40)
        self.behaviours = {name: gateways.ServerBehaviour() for name in self.servers}
        self.scenes = []
        for number in range(self.entry_count):
            address = standins.free_address()
            zone = f"zone-{'abc'[number % 3]}"
            entry = entries.Entry(f"e{number}", zone, "r", address, address, "b1", 1.0)
            client = gateways.MemoryServerClient(self.behaviours)
            scene = gateways.GatewayFixture(self.servers, client, entry=entry)
            self.scenes.append(scene)
        for scene in self.scenes:
            scene.entry_list.other_entries += [
                other.entry for other in self.scenes if other is not scene
            ]

    def limit(self, rate_per_s, *names):
        for name in names:
            self.behaviours[name].signals = signals.Signals(rate_per_s)

    def arrivals(self, name):
        """Return the times at which requests reached a server, in order."""
        return sorted(
            time_s
            for scene in self.scenes
            for time_s, server, _ in scene.server_client.received_calls
            if server == name
        )

    async def send(self, rate_per_s, duration_s, scenes=None):
        """Send requests to the given entries in turn, at a fixed rate."""
        scenes = scenes or self.scenes
        async with trio.open_nursery() as nursery:
            for number in range(int(rate_per_s * duration_s)):
                scene = scenes[number % len(scenes)]
                call = gateways.new_call("/lookups/1", body=str(number).encode())
                nursery.start_soon(scene.send, call)
                await trio.sleep(1 / rate_per_s)

    async def run(self, script):
        async with trio.open_nursery() as nursery:
            for scene in self.scenes:
                nursery.start_soon(scene.gateway.admission.run)
                nursery.start_soon(scene.exchange.run)
            # Until the entries know each other's load.
            await trio.sleep(1.0)
            await script()
            nursery.cancel_scope.cancel()


def largest_excess(arrivals_s, rate_per_s, since_s):
    """Return by how many requests the worst window that ends after a time exceeds the bound."""
    bound = OVERAGE * rate_per_s * WINDOW_S + SLACK
    return max(
        (
            sum(end_s - WINDOW_S < time_s <= end_s for time_s in arrivals_s) - bound
            for end_s in arrivals_s
            if end_s >= since_s
        ),
        default=-bound,
    )


class LimitTest(unittest.TestCase):
    def _run(self, site, rate_per_s, limited, demand_per_s, scenes=None):
        """Limit some servers while requests arrive; return the time at which they name it."""
        named_s = []

        async def script():
            await site.send(demand_per_s, BEFORE_S, scenes)
            site.limit(rate_per_s, *limited)
            named_s.append(trio.current_time())
            await site.send(demand_per_s, AFTER_S, scenes)

        trio.run(site.run, script)
        return named_s[0]

    def test_seven_entries_together_keep_a_servers_limit(self):
        """Guards against a server in need that gets more than the limit it has named."""
        self._check_limit(Site(7))

    def test_sixty_entries_together_keep_a_servers_limit(self):
        """Guards against limits that hold only at sites of few entries."""
        self._check_limit(Site(60))

    def test_a_limit_is_used_though_one_entry_gets_all_requests(self):
        """Guards against parts of a limit that lie idle at entries without callers."""
        site = Site(7, server_count=1)
        named_s = self._run(site, 3.0, ["b0"], 30, site.scenes[:1])
        # The limit binds an entry that has been told, so earlier requests do not count.
        limited_s = [time_s for time_s in site.arrivals("b0") if time_s >= named_s]
        used = [time_s for time_s in limited_s if time_s >= named_s + NOTICE_S]
        self.assertGreaterEqual(len(used), 0.8 * 3.0 * (AFTER_S - NOTICE_S))
        self.assertLessEqual(largest_excess(limited_s, 3.0, named_s), 0)

    def test_requests_go_to_servers_without_a_limit(self):
        """Guards against callers that wait for a limited server while others have room."""
        site = Site(7)
        self._run(site, 1.5, ["b0"], 40)
        answered = sum(len(scene.server_client.executed_calls) for scene in site.scenes)
        self.assertEqual(int(40 * BEFORE_S) + int(40 * AFTER_S), answered)

    def test_a_lifted_limit_no_longer_binds_any_entry(self):
        """Guards against a server that stays nearly idle after it has recovered."""
        site = Site(7)

        async def script():
            site.limit(1.5, "b0")
            await site.send(40, 4.0)
            site.limit(None, "b0")
            await site.send(40, 6.0)

        trio.run(site.run, script)
        tables = [scene.limit_table for scene in site.scenes]
        self.assertEqual([0] * 7, [len(table.limited()) for table in tables])

    def _check_limit(self, site):
        named_s = self._run(site, 1.5, ["b0"], 40)
        excess = largest_excess(site.arrivals("b0"), 1.5, named_s + NOTICE_S)
        self.assertLessEqual(excess, 0)
