"""Tests of the decision on requests to limited servers, under the loads that it answers."""

import collections
import random
import unittest

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import admission, calls, limits, rate_limiter
from toucanhold.registry import signals
from toucanhold.routes import table

SERVER = gateways.new_servers(1)["b0"]
SERVICE = table.Service("desk", 10.0)
STEP_S = 0.02
# Entries hear of each other's requests after this time.
NOTICE_DELAY_S = 0.5
MAX_QUEUE_TIME_S = 1.0
OVERAGE, SLACK, WINDOW_S = 1.5, 5, 4.0
# Time after a limit was first named from which it must be kept.
NOTICE_S = 3.0


def new_limit(rate_per_s, version=1):
    return limits.Limit(SERVER.server_id, SERVER.born_ms, version, rate_per_s)


@attrs.define(eq=False, slots=False)
class Site:
    """Limiters of several entries that exchange their counts with a delay."""

    entry_count: int
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))

    def __attrs_post_init__(self):
        entries = [gateways.new_entry(f"e{number}") for number in range(self.entry_count)]
        self.limiters = [
            rate_limiter.RateLimiter(
                limits.LimitTable(),
                gateways.FixedEntryList(own, [entry for entry in entries if entry is not own]),
                random.Random(number),
            )
            for number, own in enumerate(entries)
        ]
        self.waiting = collections.defaultdict(list)
        self.sent_s = []
        self.reports = collections.deque()

    def limit(self, rate_per_s):
        for limiter in self.limiters:
            limiter.limit_table.merge(new_limit(rate_per_s), "")

    async def play(self, demand_per_s, duration_s, active=None):
        """Let requests arrive at the first entries, or at all."""
        active = self.limiters[:active]
        for _ in range(round(duration_s / STEP_S)):
            expected = demand_per_s * STEP_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                limiter = self.rng.choice(active)
                limiter.record_demand(SERVICE, "")
                self.waiting[id(limiter)].append(trio.current_time())
            for limiter in active:
                self._dispatch(limiter)
            self._exchange()
            await trio.sleep(STEP_S)

    def _dispatch(self, limiter):
        now_s = trio.current_time()
        queue = self.waiting[id(limiter)]
        queue[:] = [arrived_s for arrived_s in queue if now_s - arrived_s < MAX_QUEUE_TIME_S]
        while queue and limiter.may_send(SERVER):
            queue.pop()
            limiter.record_request(SERVER)
            self.sent_s.append(now_s)

    def _exchange(self):
        now_s = trio.current_time()
        self.reports.append((now_s, [limiter.own_counts() for limiter in self.limiters]))
        while len(self.reports) > 1 and self.reports[1][0] <= now_s - NOTICE_DELAY_S:
            self.reports.popleft()
        reports = self.reports[0][1]
        total = sum(map(collections.Counter, reports), collections.Counter())
        for limiter, own in zip(self.limiters, reports, strict=True):
            limiter.counts.update_source("others", dict(total - collections.Counter(own)), 1.0)

    def largest_excess(self, rate_per_s, since_s):
        bound = OVERAGE * rate_per_s * WINDOW_S + SLACK
        counts = [
            sum(end_s - WINDOW_S < sent_s <= end_s for sent_s in self.sent_s)
            for end_s in self.sent_s
            if end_s >= since_s
        ]
        return max(counts, default=0) - bound


class RateLimiterTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_overload_at_all_entries(self):
        """Many callers at each of 1 to 195 entries; the limit is kept and used."""
        for entry_count, rate_per_s in ((1, 1.1), (7, 1.1), (7, 5.0), (60, 5.0), (195, 5.0)):
            with self.subTest(entries=entry_count, limit=rate_per_s):
                site = Site(entry_count)
                site.limit(rate_per_s)
                named_s = trio.current_time()
                await site.play(30 * rate_per_s, 30)
                self.assertLessEqual(site.largest_excess(rate_per_s, named_s + NOTICE_S), 0)
                later = sum(sent_s > named_s + 10 for sent_s in site.sent_s)
                self.assertGreaterEqual(later, 0.8 * rate_per_s * 20)

    @clocked.on_test_clock
    async def test_overload_that_sets_in_at_all_entries_at_once(self):
        """Callers that were away come back together while the limit holds."""
        for entry_count, rate_per_s in ((7, 1.1), (7, 5.0), (60, 1.1), (60, 5.0), (195, 5.0)):
            with self.subTest(entries=entry_count, limit=rate_per_s):
                site = Site(entry_count)
                site.limit(rate_per_s)
                await site.play(30 * rate_per_s, 6)
                await site.play(0, 6)
                since_s = trio.current_time()
                await site.play(30 * rate_per_s, 8)
                self.assertLessEqual(site.largest_excess(rate_per_s, since_s), 0)

    @clocked.on_test_clock
    async def test_callers_of_one_zone_only(self):
        """All callers at a third of the entries, or at one; their entries use the whole limit."""
        for entry_count, active in ((7, 2), (7, 1), (60, 20), (195, 1)):
            with self.subTest(entries=entry_count, active=active):
                site = Site(entry_count)
                site.limit(3.0)
                named_s = trio.current_time()
                await site.play(90, 30, active)
                self.assertLessEqual(site.largest_excess(3.0, named_s + NOTICE_S), 0)
                later = sum(sent_s > named_s + 10 for sent_s in site.sent_s)
                self.assertGreaterEqual(later, 0.8 * 3.0 * 20)

    @clocked.on_test_clock
    async def test_a_limit_of_zero_is_tried_now_and_then(self):
        """Guards against a server that is never asked again after a limit of zero."""
        site = Site(7)
        site.limit(0.0)
        await site.play(30, 30)
        self.assertGreaterEqual(len(site.sent_s), 2)
        self.assertLessEqual(site.largest_excess(0.0, 0.0), 0)

    @clocked.on_test_clock
    async def test_an_entry_that_hears_of_no_other_keeps_its_part(self):
        """Guards against entries that each use the whole limit while they are cut from others."""
        site = Site(7)
        site.limit(7.0)
        site._exchange = lambda: None
        await site.play(100, 20, 1)
        self.assertLessEqual(len(site.sent_s), 1.5 * (1 + 1.0 * 20))

    @clocked.on_test_clock
    async def test_an_unreadable_limit_changes_nothing(self):
        limiter = Site(1).limiters[0]
        limiter.observe(SERVER, signals.Signals(1.5), trio.current_time())
        limiter.observe(SERVER, signals.Signals(None, True), trio.current_time())
        self.assertEqual(1.5, limiter.limit_table.rate_per_s(SERVER))
        limiter.observe(SERVER, signals.Signals(), trio.current_time())
        self.assertIsNone(limiter.limit_table.rate_per_s(SERVER))

    @clocked.on_test_clock
    async def test_orders_and_probes_count(self):
        """Guards against probes that reach a limited server beside its full share of requests."""
        site = Site(1)
        site.limit(1.0)
        for _ in range(10):
            site.limiters[0].record_control_call(SERVER)
        await site.play(30, 4)
        self.assertLessEqual(len(site.sent_s), 2)

    @clocked.on_test_clock
    async def test_servers_that_are_gone_are_forgotten(self):
        limiter = Site(1).limiters[0]
        limiter.observe(SERVER, signals.Signals(1.5), trio.current_time())
        limiter.record_request(SERVER)
        await trio.sleep(10)
        limiter.retain(lambda incarnation: False)
        self.assertEqual({}, limiter.own_counts())
        self.assertTrue(limiter.may_send(SERVER))


class RefusalTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_requests_beyond_all_limits_are_refused_at_once(self):
        """Guards against callers that wait in a queue that limits keep from being served."""
        scene = gateways.GatewayFixture()
        named = signals.Signals(0.5)
        for name, server in scene.registered_servers.items():
            scene.server_client.behaviours[name].signals = named
            scene.rate_limiter.observe(server, named, trio.current_time())
        refused = []
        async with scene.running() as nursery:
            for number in range(60):
                nursery.start_soon(self._send, scene, number, refused)
                await trio.sleep(0.05)
        self.assertGreater(len(refused), 40)
        for _, error in refused:
            self.assertIs(calls.RefusalReason.NO_CAPACITY, error.reason)
            self.assertFalse(error.may_have_run)
            self.assertGreaterEqual(error.retry_after_s, admission.RETRY_AFTER_S)
        at_once = sum(waited_s < 0.01 for waited_s, _ in refused)
        self.assertGreater(at_once, 0.8 * len(refused))

    async def _send(self, scene, number, refused):
        began_s = trio.current_time()
        _, error = await scene.send(gateways.new_call("/lookups/1", body=str(number).encode()))
        if error is not None:
            refused.append((trio.current_time() - began_s, error))


class NewEntryTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_an_entry_that_the_others_do_not_know_sends_nothing_to_a_limited_server(self):
        """Guards against entries that start together and each take the limit by their size."""
        entry_list = gateways.FixedEntryList(gateways.new_entry("e0"), may_use_parts=False)
        limiter = rate_limiter.RateLimiter(limits.LimitTable(), entry_list, random.Random(1))
        limiter.limit_table.merge(new_limit(20.0), "")
        for _ in range(10):
            await trio.sleep(0.2)
            self.assertFalse(limiter.may_send(SERVER))
        entry_list.may_use_parts = True
        await trio.sleep(0.5)
        self.assertTrue(limiter.may_send(SERVER))
