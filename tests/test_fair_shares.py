"""Tests of the order among workspaces, under a burst of one of them at several entries."""

import collections
import functools
import random
import unittest

import attrs
import trio
import trio.testing

from standins import gateways
from tests import clocked
from toucanhold.gateway import (
    admission,
    calls,
    fair_shares,
    limits,
    notices,
    queueing,
    shared_counts,
)
from toucanhold.routes import table

SERVICE = table.Service("desk", 10.0)
ENTRIES, SERVERS, SLOTS, HOLD_S = 4, 4, 3, 0.5
WORKSPACES = ("large", *(f"w{number}" for number in range(23)))
RATE_PER_S = 2.5
LARGE_FACTOR = 5
BURST_FACTOR = 10
NOTICE_INTERVAL_S, NOTICE_DELAY_S = 0.1, 0.2
ON_TIME_S = 0.3


def new_request(workspace, priority=1, latest_start_s=ON_TIME_S, max_wait_s=1.5):
    return queueing.PlacementRequest(
        SERVICE,
        "",
        priority,
        max_wait_s,
        trio.current_time() + latest_start_s,
        workspace=workspace,
    )


@attrs.define(eq=False, slots=False)
class Site:
    """Entries that place requests on servers and tell each other the use of workspaces."""

    has_policy: bool = True
    has_notices: bool = True
    entry_count: int = ENTRIES
    slots: int = SLOTS

    def __attrs_post_init__(self):
        # Each entry has slots of its own: dividing them among entries is another policy.
        servers = gateways.new_servers(SERVERS, slots=self.slots)
        self.fixtures = [gateways.GatewayFixture(servers) for _ in range(self.entry_count)]
        self.policies = [fair_shares.FairShares(each.rate_limiter.counts) for each in self.fixtures]
        self.admissions = [
            admission.Admission(
                fixture.gateway.admission.server_selector, [policy] if self.has_policy else []
            )
            for fixture, policy in zip(self.fixtures, self.policies, strict=True)
        ]
        self.waits_s = collections.defaultdict(list)
        self.rng = random.Random(1)

    async def play(self, burst_factor, duration_s=10):
        """Let requests of all workspaces arrive; the large one sends more by a factor."""
        factors = [LARGE_FACTOR * burst_factor, *[1] * (len(WORKSPACES) - 1)]
        async with trio.open_nursery() as background, trio.open_nursery() as nursery:
            for each in self.admissions:
                background.start_soon(each.run)
            background.start_soon(self._exchange)
            end_s = trio.current_time() + duration_s
            while trio.current_time() < end_s:
                await trio.sleep(self.rng.expovariate(sum(factors) * RATE_PER_S))
                workspace = self.rng.choices(WORKSPACES, factors)[0]
                hold_s = HOLD_S * self.rng.uniform(0.5, 1.5)
                nursery.start_soon(self.send, self.rng.choice(self.admissions), workspace, hold_s)
            nursery.start_soon(trio.sleep, 2)
            while len(nursery.child_tasks):
                await trio.sleep(0.1)
            background.cancel_scope.cancel()

    async def send(self, entry, workspace, hold_s, **fields):
        arrived_s = trio.current_time()
        try:
            async with entry.place(new_request(workspace, **fields)):
                self.waits_s[workspace].append(trio.current_time() - arrived_s)
                await trio.sleep(hold_s)
        except calls.CallError:
            self.waits_s[workspace].append(float("inf"))

    async def _exchange(self):
        reports = collections.deque()
        while self.has_notices:
            await trio.sleep(NOTICE_INTERVAL_S)
            reports.append([policy.own_counts() for policy in self.policies])
            if len(reports) * NOTICE_INTERVAL_S > NOTICE_DELAY_S:
                uses = reports.popleft()
                for number, policy in enumerate(self.policies):
                    others = uses[:number] + uses[number + 1 :]
                    total = sum(map(collections.Counter, others), collections.Counter())
                    policy.counts.update_source("others", dict(total), 1.0)

    def on_time_share(self):
        """Return the share of requests of the small workspaces that started in time."""
        waits_s = [wait_s for name in WORKSPACES[1:] for wait_s in self.waits_s[name]]
        return sum(wait_s <= ON_TIME_S for wait_s in waits_s) / len(waits_s)


class BurstTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_burst_costs_others_at_most_a_twentieth(self):
        """Guards against one workspace that fills the queues and makes all others late."""
        usual, burst, unordered = Site(), Site(), Site(has_policy=False)
        await usual.play(1)
        await burst.play(BURST_FACTOR)
        await unordered.play(BURST_FACTOR)
        self.assertGreater(burst.on_time_share(), 0.95 * usual.on_time_share())
        self.assertLess(unordered.on_time_share(), 0.8 * usual.on_time_share())
        # The burst gets the slots that others leave.
        served = sum(wait_s < float("inf") for wait_s in burst.waits_s["large"])
        unordered_served = sum(wait_s < float("inf") for wait_s in unordered.waits_s["large"])
        self.assertGreater(served, 0.6 * unordered_served)

    @clocked.on_test_clock
    async def test_shares_hold_within_entries_without_notices(self):
        """Guards against a burst that is charged to nobody while all notices are lost."""
        site = Site(has_notices=False)
        await site.play(BURST_FACTOR)
        self.assertGreater(site.on_time_share(), 0.9)


class OrderTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_burst_that_has_just_started_goes_last(self):
        """Guards against streams that count as no use until they end, at this or another entry."""
        first, second = (fair_shares.FairShares(shared_counts.SharedCounts()) for _ in range(2))
        quiet, busy = new_request("quiet"), new_request("busy")
        for _ in range(20):
            first.record_started(new_request("busy"), None)
        first.record_queued(busy)
        now_s = trio.current_time()
        self.assertLess(first.order_key(quiet, now_s), first.order_key(busy, now_s))
        second.counts.update_source("first", first.own_counts(), 1.0)
        self.assertLess(second.order_key(quiet, now_s), second.order_key(busy, now_s))
        await trio.sleep(1.1)
        now_s = trio.current_time()
        self.assertEqual(second.order_key(quiet, now_s), second.order_key(busy, now_s))

    @clocked.on_test_clock
    async def test_priority_and_lateness_go_before_use(self):
        """Guards against urgent or timely requests that wait because their workspace is large."""
        site = Site(entry_count=1, slots=1)
        entry = site.admissions[0]
        started = []

        async def send(name, workspace, **fields):
            async with entry.place(new_request(workspace, **fields)):
                started.append(name)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            for number in range(SERVERS):
                nursery.start_soon(site.send, entry, "large", 0.1 * (number + 1))
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(functools.partial(send, "late", "small", latest_start_s=-1))
            nursery.start_soon(functools.partial(send, "patient", "small", priority=2))
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(functools.partial(send, "used", "large", latest_start_s=2))
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(functools.partial(send, "first", "small", latest_start_s=2))
        self.assertEqual(["first", "used", "late", "patient"], started)

    @clocked.on_test_clock
    async def test_a_queue_at_limited_servers_refuses_only_its_workspace(self):
        """Guards against requests refused because of a queue that they would go before."""
        site = Site(entry_count=1)
        for name in site.fixtures[0].registered_servers:
            site.fixtures[0].limit_table.merge(limits.Limit(name, 1, 1, 2.0), "")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.admissions[0].run)
            for _ in range(60):
                nursery.start_soon(site.send, site.admissions[0], "large", 0.1)
            await trio.testing.wait_all_tasks_blocked()
            await site.send(site.admissions[0], "small", 0.1)
            nursery.cancel_scope.cancel()
        self.assertIn(float("inf"), site.waits_s["large"])
        self.assertLess(site.waits_s["small"][0], 1)

    @clocked.on_test_clock
    async def test_counts_of_hundreds_of_workspaces_are_bounded(self):
        """Guards against notices in which small workspaces displace the counts of other parts."""
        policy = fair_shares.FairShares(shared_counts.SharedCounts())
        for number in range(500):
            policy.record_started(new_request(f"{number}" * 100), None)
        self.assertEqual({}, policy.own_counts())
        policy.record_queued(new_request("waiting"))
        await trio.sleep(fair_shares.COUNTS_VALID_S)
        self.assertLessEqual(len(policy.own_counts()), 65)
        self.assertLess(max(map(len, policy.own_counts())), 16)


class NoticeTest(unittest.TestCase):
    def test_other_counts_are_sent_before_the_use_of_workspaces(self):
        """Guards against small counts, such as trials, that are lost beside many large ones."""
        cells = {f"use/{row}.{cell}": 1000 for row in range(2) for cell in range(32)}
        others = {f"sent/s{number}": 1 for number in range(notices.MAX_RECENT_COUNTS - 10)}
        notice = notices.Notice(notices.Kind.REPORT, "e1", "b1", {}, {}, [], recent=cells | others)
        decoded = notices.decode(notices.encode(notice)).recent
        self.assertEqual(notices.MAX_RECENT_COUNTS, len(decoded))
        self.assertLessEqual(others.keys(), decoded.keys())
