"""Tests of the choice of a backend server and of the estimate of its load."""

import collections
import random
import unittest

import trio
import trio.testing

from standins import backends, routers
from toucanhold.backends import client
from toucanhold.configuration import inventory
from toucanhold.observing import view
from toucanhold.routing import affinity, candidates, capacity, choice, cold, router

RULES = routers.plain_rules()


def on_test_clock(check, *arguments):
    """Run an async check on trio's test clock."""
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def candidate_set(count, zones=("zone-a",)):
    """Return ``count`` warm candidates with eight slots each, in zones by turns."""
    options = tuple(
        candidates.Candidate(
            inventory.Vm(f"vm-{number}", "127.0.0.1:1", zones[number % len(zones)]),
            client.Report(f"vm-{number}", "boot", client.Warmth.WARM, slots=8),
        )
        for number in range(count)
    )
    return candidates.CandidateSet(options, {each.vm.vm: each for each in options}, 1)


class Request:
    """The attributes of a request that the policy reads."""

    def __init__(self, prefix=0, availability_zone=""):
        self.service = RULES.services[0]
        self.prefix = prefix
        self.availability_zone = availability_zone


def policy(in_flight, entries=1, seen=None):
    """Return the default policy."""
    limits = capacity.EstimatedCapacity(
        in_flight, cold.UnsharedLimit(), seen or view.BackendView(), lambda: entries
    )
    return choice.TwoChoices(limits, random.Random(1), "zone-a")


class TwoChoicesTest(unittest.TestCase):
    def test_prefix_stays_on_one_server_until_its_load_exceeds_the_others(self):
        in_flight, options = capacity.InFlightCounts(), candidate_set(10)
        chooser = policy(in_flight)
        chosen = {chooser.choose(Request(prefix=99), options).vm.vm for _ in range(50)}
        self.assertEqual(1, len(chosen))
        for _ in range(40):
            in_flight.add(chooser.choose(Request(prefix=99), options).vm.vm)
        counts = [in_flight.count(each.vm.vm) for each in options]
        self.assertEqual(40, sum(counts))
        self.assertLessEqual(max(counts), 8)

    def test_prefixes_spread_over_servers_and_stay_when_another_server_leaves(self):
        chooser, ten, nine = policy(capacity.InFlightCounts()), candidate_set(10), candidate_set(9)
        before = {key: chooser.choose(Request(prefix=key), ten).vm.vm for key in _keys()}
        smaller = candidates.CandidateSet(nine.options, nine.by_vm, 2)
        after = {key: chooser.choose(Request(prefix=key), smaller).vm.vm for key in _keys()}
        self.assertEqual(10, len(set(before.values())))
        moved = sum(before[key] != after[key] for key in before if before[key] != "vm-9")
        self.assertEqual(0, moved)

    def test_returns_none_when_all_servers_are_full(self):
        in_flight, options = capacity.InFlightCounts(), candidate_set(3)
        for each in options:
            for _ in range(8):
                in_flight.add(each.vm.vm)
        self.assertIsNone(policy(in_flight).choose(Request(), options))

    def test_own_zone_is_preferred_at_equal_load(self):
        options = candidate_set(30, ("zone-a", "zone-b", "zone-c"))
        chooser = policy(capacity.InFlightCounts())
        zones = collections.Counter(
            chooser.choose(Request(), options).vm.availability_zone for _ in range(600)
        )
        self.assertGreater(zones["zone-a"], 600 * 0.5)


class AdapterTest(unittest.TestCase):
    def test_request_goes_only_where_its_adapter_is_loaded(self):
        on_test_clock(self._adapter)

    async def _adapter(self):
        servers = [backends.Server("vm-0", is_warm=True), backends.Server("vm-1", is_warm=True)]
        servers[1].adapters = ("county",)
        async with routers.running(servers, entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            for _ in range(20):
                self.assertEqual("whole", await site.send_request(entry, adapter="county"))
            self.assertEqual("no-capacity", await site.send_request(entry, adapter="unknown"))
        self.assertEqual(0, servers[0].started_requests)


class EstimateTest(unittest.TestCase):
    def test_own_requests_are_not_counted_twice(self):
        # Four of the five requests in the report are this entry's own and still run.
        seen, in_flight = view.BackendView(), capacity.InFlightCounts()
        limits = capacity.EstimatedCapacity(in_flight, cold.UnsharedLimit(), seen, lambda: 1)
        for _ in range(4):
            in_flight.add("vm-0")
        report = client.Report("vm-0", "boot", client.Warmth.WARM, running=5, slots=8)
        seen.record_report("vm-0", report, 1.0)
        option = candidates.Candidate(inventory.Vm("vm-0", "a", "z"), report)
        self.assertAlmostEqual(5 / 8, limits.load(RULES.services[0], option))

    def test_seven_entries_do_not_fill_eight_slots_seven_times(self):
        # All entries see the same eight free slots in the same lagging report.
        full = on_test_clock(self._max_concurrent, router.build_default)
        self.assertLessEqual(full, 16)
        self.assertGreaterEqual(on_test_clock(self._max_concurrent, router.build_baseline), 40)

    async def _max_concurrent(self, build):
        server = backends.Server("vm-0", is_warm=True, slots=100, report_lag_s=0.5, first_token_s=5)
        most = 0
        async with routers.running([server], build=build) as site:
            server.slots = 8
            await trio.sleep(15)
            for entry in list(site.entries.values()):
                site.start_callers(entry, 10)
            for _ in range(20):
                await trio.sleep(0.05)
                most = max(most, server.running + server.waiting)
        return most


class PrefixKeyTest(unittest.TestCase):
    def test_common_leading_part_gives_one_key(self):
        system = {"role": "system", "content": "You explain county tables. " * 60}
        keys = {
            affinity.prefix_key({"messages": [system, {"role": "user", "content": str(number)}]})
            for number in range(5)
        }
        self.assertEqual(1, len(keys))
        self.assertNotIn(0, keys)

    def test_malformed_or_short_bodies_have_no_key(self):
        for body in ({}, {"messages": 3}, {"messages": [None, {"content": [1]}]}, {"prompt": "x"}):
            self.assertEqual(0, affinity.prefix_key(body))


def _keys():
    return [random.Random(number).getrandbits(32) for number in range(300)]
