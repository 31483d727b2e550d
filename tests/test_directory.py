"""Which entries the directory lists for a caller, and in which order."""

import collections
import random
import unittest

import trio
import trio.testing

from toucanhold.callers import directory
from toucanhold.membership import facts, roster


def new_member(name, zone="zone-a", state=roster.EntryState.SERVING):
    return roster.Member(name, zone, f"address-of-{name}", "", "", state, f"boot-of-{name}")


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        own = new_member("own")
        self.roster = roster.Roster(own)
        self.facts = facts.FactTable(facts.EntryFact(own, 1))
        self.connected_peers = set()
        self.is_ready = True

    def add_connected(self, *members, configuration=1):
        for member in members:
            self.roster.update_from_peer(member)
            self.facts.merge(facts.EntryFact(member, 1, configuration=configuration), member.entry)
            self.connected_peers.add(member.entry)

    def lookup(self, *callers, zone="", wait_s=0.0):
        entry_directory = directory.Directory(
            self.roster,
            self.facts,
            4.0,
            lambda: frozenset(self.connected_peers),
            lambda: self.is_ready,
            random.Random(1),
        )

        async def look_up():
            entry_directory.lookup()
            await trio.sleep(wait_s)
            return [entry_directory.lookup(caller, zone) for caller in callers or ("caller",)]

        return trio.run(look_up, clock=trio.testing.MockClock(autojump_threshold=0))

    def listed_entries(self, **options):
        addresses = self.lookup(**options)[0]["addresses"]
        return {item["address"].removeprefix("address-of-") for item in addresses}

    def test_stopping_and_unready_entries_are_left_out(self):
        self.add_connected(new_member("good"), new_member("bad", state=roster.EntryState.STOPPING))
        self.add_connected(new_member("new"), configuration=0)
        self.assertEqual({"own", "good"}, self.listed_entries())
        self.is_ready = False
        self.assertEqual({"good"}, self.listed_entries())
        self.is_ready = True
        self.roster.set_own_state(roster.EntryState.STOPPING)
        self.assertEqual({"good"}, self.listed_entries())

    def test_disconnected_entry_is_left_out_during_a_platform_outage(self):
        # Entry "dead" was killed during a platform outage, so its lease cannot expire and the last
        # list still names it. Callers would be sent to it until the outage ends.
        self.add_connected(new_member("good"), new_member("dead"))
        self.connected_peers.discard("dead")
        self.assertEqual({"own", "good", "dead"}, self.listed_entries())
        self.assertEqual({"own", "good"}, self.listed_entries(wait_s=directory.UNREACHABLE_AFTER_S))

    def test_partitioned_entry_leaves_no_entry_out(self):
        self.add_connected(new_member("one"), new_member("two"))
        self.connected_peers.clear()
        self.assertEqual({"own", "one", "two"}, self.listed_entries(wait_s=60))

    def test_callers_zone_comes_first_and_load_is_spread(self):
        self.add_connected(*(new_member(f"a-{number}") for number in range(3)))
        self.add_connected(*(new_member(f"b-{number}", "zone-b") for number in range(3)))
        callers = [f"caller-{number}" for number in range(300)]
        responses = self.lookup(*callers, zone="zone-b")
        first_addresses = collections.Counter(
            response["addresses"][0]["address"] for response in responses
        )
        self.assertEqual({f"address-of-b-{number}" for number in range(3)}, set(first_addresses))
        self.assertGreater(min(first_addresses.values()), 60)
        zones = [item["availability_zone"] for item in responses[0]["addresses"]]
        self.assertEqual(["zone-b"] * 3 + ["zone-a"] * 4, zones)

    def test_list_is_bounded_and_cache_time_has_jitter(self):
        self.add_connected(*(new_member(f"entry-{number}") for number in range(389)))
        responses = self.lookup(*(f"caller-{number}" for number in range(50)))
        self.assertEqual({directory.MAX_ADDRESSES}, {len(item["addresses"]) for item in responses})
        times = {response["keep_s"] for response in responses}
        self.assertGreater(len(times), 25)
        self.assertLessEqual(max(times), 4.0)
        self.assertGreaterEqual(min(times), 3.0)
