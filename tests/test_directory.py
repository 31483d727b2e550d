"""Which entries the directory names, in which order, and to whom."""

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
        self.connected = set()
        self.ready = True

    def hear(self, *members, configuration=1):
        for member in members:
            self.roster.update_from_peer(member)
            self.facts.merge(facts.EntryFact(member, 1, configuration=configuration), member.entry)
            self.connected.add(member.entry)

    def answers(self, *callers, zone="", wait_s=0.0):
        found = directory.Directory(
            self.roster,
            self.facts,
            4.0,
            lambda: frozenset(self.connected),
            lambda: self.ready,
            random.Random(1),
        )

        async def ask():
            found.answer()
            await trio.sleep(wait_s)
            return [found.answer(caller, zone) for caller in callers or ("caller",)]

        return trio.run(ask, clock=trio.testing.MockClock(autojump_threshold=0))

    def names(self, **options):
        addresses = self.answers(**options)[0]["addresses"]
        return {each["address"].removeprefix("address-of-") for each in addresses}

    def test_entries_that_stop_or_are_not_ready_are_left_out(self):
        self.hear(new_member("good"), new_member("bad", state=roster.EntryState.STOPPING))
        self.hear(new_member("new"), configuration=0)
        self.assertEqual({"own", "good"}, self.names())
        self.ready = False
        self.assertEqual({"good"}, self.names())
        self.ready = True
        self.roster.set_own_state(roster.EntryState.STOPPING)
        self.assertEqual({"good"}, self.names())

    def test_entry_that_fell_silent_is_left_out_also_while_the_platform_is_out(self):
        # Entry "dead" was killed in an outage of the platform, whose last list names it for ever.
        # Callers would be sent to it until the outage ends.
        self.hear(new_member("good"), new_member("dead"))
        self.connected.discard("dead")
        self.assertEqual({"own", "good", "dead"}, self.names())
        self.assertEqual({"own", "good"}, self.names(wait_s=directory.SILENT_S))

    def test_entry_that_is_cut_off_judges_nobody(self):
        self.hear(new_member("one"), new_member("two"))
        self.connected.clear()
        self.assertEqual({"own", "one", "two"}, self.names(wait_s=60))

    def test_callers_zone_comes_first_and_callers_spread(self):
        self.hear(*(new_member(f"a-{number}") for number in range(3)))
        self.hear(*(new_member(f"b-{number}", "zone-b") for number in range(3)))
        callers = [f"caller-{number}" for number in range(300)]
        answers = self.answers(*callers, zone="zone-b")
        firsts = collections.Counter(answer["addresses"][0]["address"] for answer in answers)
        self.assertEqual({f"address-of-b-{number}" for number in range(3)}, set(firsts))
        self.assertGreater(min(firsts.values()), 60)
        zones = [each["availability_zone"] for each in answers[0]["addresses"]]
        self.assertEqual(["zone-b"] * 3 + ["zone-a"] * 4, zones)

    def test_answer_is_bounded_and_its_time_varies_below_the_limit(self):
        self.hear(*(new_member(f"entry-{number}") for number in range(389)))
        answers = self.answers(*(f"caller-{number}" for number in range(50)))
        self.assertEqual({directory.MAX_ADDRESSES}, {len(each["addresses"]) for each in answers})
        times = {answer["keep_s"] for answer in answers}
        self.assertGreater(len(times), 25)
        self.assertLessEqual(max(times), 4.0)
        self.assertGreaterEqual(min(times), 3.0)
