"""Tests of load totals with hundreds of entries that select among the same servers."""

import functools
import timeit
import unittest

import trio

from tests import clocked
from toucanhold.gateway import load

HEADS = [f"s{n}" for n in range(75)]


def new_tracker(sources):
    tracker = load.LoadTracker()
    for number in range(sources):
        tracker.update_source(
            f"e{number}", {head: 1 for head in HEADS[number % 60 : number % 60 + 9]}, 60.0
        )
    return tracker


def estimate_all(tracker):
    return [tracker.estimate(head) for head in HEADS]


class LoadTrackerTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_new_report_replaces_the_old_one(self):
        tracker = load.LoadTracker()
        tracker.update_source("e1", {"s1": 3, "s2": 1}, 1.0)
        tracker.update_source("e2", {"s1": 1}, 1.0)
        tracker.update_source("e1", {"s1": 2}, 1.0)
        tracker.add("s1")
        self.assertEqual([4, 0], [tracker.estimate("s1"), tracker.estimate("s2")])

    @clocked.on_test_clock
    async def test_the_counts_of_a_dead_entry_expire(self):
        """Guards against servers that appear busy with requests of a killed entry."""

        tracker = load.LoadTracker()
        tracker.update_source("e1", {"s1": 5}, 1.0)
        tracker.update_source("e2", {"s1": 2}, 3.0)
        await trio.sleep(2.0)
        self.assertEqual(2, tracker.estimate("s1"))
        await trio.sleep(2.0)
        self.assertEqual(0, tracker.estimate("s1"))

    @clocked.on_test_clock
    async def test_a_digest_excludes_the_counts_of_its_receiver(self):
        tracker = load.LoadTracker()
        tracker.update_source("e1", {"s1": 5, "s2": 1}, 1.0, is_local=True)
        tracker.update_source("zone b", {"s1": 2}, 1.0)
        tracker.add("s3")
        self.assertEqual({"s1": 2, "s3": 1}, tracker.counts_without("e1"))
        self.assertEqual({"s1": 5, "s2": 1, "s3": 1}, tracker.local_counts())

    def test_removing_a_request_twice_does_not_make_counts_negative(self):
        tracker = load.LoadTracker()
        tracker.add("s1")
        tracker.remove("s1")
        tracker.remove("s1")
        tracker.add("s1")
        self.assertEqual(1, tracker.own_counts["s1"])

    @clocked.on_test_clock
    async def test_an_estimate_costs_the_same_among_hundreds_of_entries(self):
        """Guards against estimates whose time grows with the number of entries."""

        durations_s = []
        for sources in (6, 194):
            tracker = new_tracker(sources)
            durations_s.append(
                min(timeit.repeat(functools.partial(estimate_all, tracker), number=5))
            )
        self.assertLess(durations_s[1], 2 * durations_s[0])

    @clocked.on_test_clock
    async def test_the_first_request_in_flight_is_told_at_once(self):
        """Guards against heads that others fill before an idle entry's next report."""
        tracker = load.LoadTracker()
        calls = []
        tracker.on_busy = lambda: calls.append(tracker.local_counts())
        for server_id in ("s1", "s1", "s2"):
            tracker.add(server_id)
        self.assertEqual(1, len(calls))
        for server_id in ("s1", "s1", "s2"):
            tracker.remove(server_id)
        tracker.add("s2")
        self.assertEqual(2, len(calls))
