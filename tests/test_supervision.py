"""Unexpected errors in the work for one item, which must not end that for others."""

import collections
import random
import unittest

import trio

from tests import clocked
from toucanhold import supervision
from toucanhold.backends import client
from toucanhold.configuration import holder, inventory, snapshot
from toucanhold.coordination import keyvalue, mirror
from toucanhold.observing import poller, view


class SupervisionTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_task_runs_again_after_an_unexpected_error(self):
        """Guards against an error in one task that ends the process with all its requests."""
        starts = []

        async def fail_twice():
            starts.append(trio.current_time())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep, 0)
                if len(starts) < 3:
                    raise KeyError("i-1")

        with self.assertLogs(supervision.LOGGER, "ERROR") as logged:
            await supervision.keep_running(fail_twice)
        self.assertEqual(3, len(starts))
        self.assertIn("KeyError", logged.records[0].fields["reason"])
        self.assertIn("fail_twice", logged.records[0].fields["traceback"])

    @clocked.on_test_clock
    async def test_a_cancellation_is_not_taken_for_an_error(self):
        """Guards against tasks that go on after their application has stopped."""

        async def fail_when_cancelled():
            try:
                await trio.sleep_forever()
            finally:
                raise KeyError("late")

        with trio.move_on_after(1) as scope, self.assertLogs(supervision.LOGGER, "ERROR"):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervision.keep_running, fail_when_cancelled)
        self.assertTrue(scope.cancel_called)

    @clocked.on_test_clock
    async def test_an_error_of_one_listener_or_key_hides_no_others(self):
        """Guards against one item that keeps all others of a batch from those who listen."""
        kv_mirror, heard, later = mirror.Mirror(), set(), set()

        def listen(keys):
            for key in sorted(keys):
                if key == "a/1":
                    raise OverflowError(key)
                heard.add(key)

        kv_mirror.add_listener("a/", listen)
        kv_mirror.add_listener("a/", later.update)
        items = tuple(keyvalue.Item(f"a/{number}", b"", 1, 1) for number in range(4))
        with self.assertLogs(supervision.LOGGER, "ERROR"):
            kv_mirror.replace(keyvalue.RangeResult(1, items))
        self.assertEqual({"a/0", "a/2", "a/3"}, heard)
        self.assertEqual({"a/0", "a/1", "a/2", "a/3"}, later)


class PollerTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_report_that_meets_an_error_is_asked_for_again(self):
        """Guards against one server's report that ends the polling of all servers."""
        vms = tuple(inventory.Vm(f"vm-{n}", "127.0.0.1:1", "zone-a") for n in range(2))
        configuration = holder.ConfigurationHolder(
            snapshot.Configuration(1, inventory.Inventory(vms))
        )
        asked = collections.Counter()

        class Backends:
            async def read_report(self, address, timeout_s):
                asked["all"] += 1
                if asked["all"] < 6:
                    raise OverflowError("a number out of range")
                return client.Report("vm-0", "b1")

        observed = view.BackendView()
        poll = poller.Poller(configuration, Backends(), observed, random.Random(1))
        with trio.move_on_after(8), self.assertLogs(supervision.LOGGER, "ERROR"):
            await poll.run()
        self.assertIsNotNone(observed.observation("vm-0"))
        self.assertGreater(asked["all"], 15)
