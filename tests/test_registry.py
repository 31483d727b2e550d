"""Registered backend servers as the registry and its mirror of the key-value store show them."""

import random
import unittest

import attrs
import trio

from standins import memory, replicas
from tests import clocked
from toucanhold import clock
from toucanhold.coordination import keyvalue, mirror, outages, watching
from toucanhold.registry import registry


@attrs.define(eq=False, slots=False)
class RegistryFixture:
    """A registry that is fed from an in-memory key-value store."""

    def __attrs_post_init__(self):
        self.platform = memory.MemoryPlatform()
        self.writer = self.platform.client("writer")
        client = self.platform.change_source("entry-1")
        prefix = replicas.REGISTRATIONS_PREFIX
        self.kv_mirror = mirror.Mirror()
        self.watch = watching.ServiceWatch(client, self.kv_mirror, lambda: 0.05, random.Random(1))
        self.server_registry = registry.Registry(
            self.kv_mirror, prefix, replicas.decode_registration
        )

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch.run)
            nursery.start_soon(self.server_registry.run)

    async def write(self, name, value):
        key = replicas.REGISTRATIONS_PREFIX + name
        await self.writer.commit([], [keyvalue.Write(key, value)])

    async def register(self, nursery, *names):
        fleet = replicas.MemoryServers(self.writer, replicas.new_engine(), nursery)
        for name in names:
            await fleet.add(name, "d0")


class RegistryTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_servers_that_register_at_once_are_logged_by_number(self):
        """Guards against a log line for each server at each entry when a whole site starts."""
        async with trio.open_nursery() as nursery:
            fixture = RegistryFixture()
            await fixture.register(nursery, *(f"s{number}" for number in range(50)))
            with self.assertLogs("toucanhold.registry.registry", "INFO") as logged:
                nursery.start_soon(fixture.run)
                await trio.sleep(0.2)
            self.assertEqual(50, len(fixture.server_registry.servers))
            self.assertEqual(registry.MAX_LOGGED_REGISTRATIONS + 1, len(logged.records))
            self.assertEqual(46, logged.records[-1].fields["not_named"])
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_servers_appear_when_registered_and_disappear_when_deleted(self):
        async with trio.open_nursery() as nursery:
            fixture = RegistryFixture()
            nursery.start_soon(fixture.run)
            await fixture.register(nursery, "s1", "s2")
            await trio.sleep(0.2)
            self.assertEqual({"s1", "s2"}, set(fixture.server_registry.servers))
            await trio.sleep(5)
            await fixture.write("s1", None)
            await trio.sleep(0.2)
            self.assertEqual({"s2"}, set(fixture.server_registry.servers))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_registrations_that_lapse_in_an_outage_are_given_time_to_return(self):
        """Guards against removing all servers when the key-value store returns from an outage."""
        async with trio.open_nursery() as nursery:
            fixture = RegistryFixture()
            nursery.start_soon(fixture.run)
            await fixture.register(nursery, "s1", "s2")
            await trio.sleep(5)
            fixture.platform.set_mode("down", "entry-1")
            await trio.sleep(3)
            await fixture.write("s1", None)
            await fixture.write("s2", None)
            fixture.platform.set_mode("up", "entry-1")
            await trio.sleep(1)
            self.assertEqual({"s1", "s2"}, set(fixture.server_registry.servers))
            await fixture.register(nursery, "s1")
            await trio.sleep(2)
            self.assertEqual({"s1"}, set(fixture.server_registry.servers))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_unreadable_registration_is_ignored_and_does_not_affect_other_servers(self):
        async with trio.open_nursery() as nursery:
            fixture = RegistryFixture()
            nursery.start_soon(fixture.run)
            await fixture.register(nursery, "s1", "s2")
            await fixture.write("s2", b"\xff\x00")
            await fixture.write("s3", b"[]")
            await trio.sleep(0.3)
            self.assertEqual({"s1"}, set(fixture.server_registry.servers))
            nursery.cancel_scope.cancel()


class MirrorTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_mirror_is_reloaded_after_the_store_compacted_its_history(self):
        """Guards against keeping keys whose deletion is no longer in the store's history."""
        async with trio.open_nursery() as nursery:
            fixture = RegistryFixture()
            nursery.start_soon(fixture.run)
            await fixture.register(nursery, "s1", "s2")
            await trio.sleep(5)
            fixture.platform.set_mode("down", "entry-1")
            await trio.sleep(1)
            await fixture.write("s1", None)
            fixture.platform.store.history_revisions = 1
            await fixture.register(nursery, "s3")
            fixture.platform.set_mode("up", "entry-1")
            await trio.sleep(4)
            self.assertEqual({"s2", "s3"}, set(fixture.server_registry.servers))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_changes_are_batched_before_the_next_watch(self):
        """Guards against one paid watch call per change when many changes arrive together."""
        async with trio.open_nursery() as nursery:
            fixture = RegistryFixture()
            nursery.start_soon(fixture.run)
            await trio.sleep(1)
            before = fixture.platform.calls["entry-1", "watch"]
            for number in range(20):
                await fixture.register(nursery, f"s{number}")
                await trio.sleep(0.01)
            await trio.sleep(0.3)
            self.assertEqual(20, len(fixture.server_registry.servers))
            # The stand-in's watch is itself counted within each of its returns.
            self.assertLess(fixture.platform.calls["entry-1", "watch"] - before, 20)
            nursery.cancel_scope.cancel()


@attrs.define(eq=False)
class CutWatches(watching.ChangeSource):
    """Cuts each watch that waits, after a given time; all other calls are answered.

    :ivar cut_after_s: time after which a waiting watch ends; None to cut none
    """

    delegate: memory.MemoryChangeSource
    cut_after_s: float | None = None

    async def read_all(self, may_be_stale):
        return await self.delegate.read_all(may_be_stale)

    async def read_changes(self, after_revision, wait_s):
        if self.cut_after_s is None or not wait_s:
            return await self.delegate.read_changes(after_revision, wait_s)
        with trio.move_on_after(self.cut_after_s):
            return await self.delegate.read_changes(after_revision, wait_s)
        raise keyvalue.IndeterminateError("the watch was cut")


class CutWatchTest(unittest.TestCase):
    async def _fixture(self, nursery):
        fixture = RegistryFixture()
        fixture.watch.source = CutWatches(fixture.watch.source)
        nursery.start_soon(fixture.run)
        await fixture.register(nursery, "s1", "s2")
        await trio.sleep(5)
        return fixture

    async def _time_in_use_s(self, fixture, name):
        """Return for how long a server stays in use after its registration is removed."""
        await fixture.write(name, None)
        removed_s = trio.current_time()
        while name in fixture.server_registry.servers:
            await trio.sleep(0.02)
        return trio.current_time() - removed_s

    @clocked.on_test_clock
    async def test_a_server_removed_after_a_cut_watch_is_dropped_at_once(self):
        """Guards against requests to a removed server while a cut watch is held for an outage."""
        async with trio.open_nursery() as nursery:
            fixture = await self._fixture(nursery)
            fixture.watch.source.cut_after_s = 0.3
            await trio.sleep(0.4)
            fixture.watch.source.cut_after_s = None
            await trio.sleep(0.3)
            self.assertTrue(fixture.kv_mirror.is_answering)
            self.assertLess(await self._time_in_use_s(fixture, "s1"), 0.3)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_watches_that_are_cut_again_and_again_hide_no_removal(self):
        """Guards against removed servers in use for as long as the store cuts watches."""
        for cut_after_s in (0.0, 0.02, 0.3, 0.9):
            with self.subTest(cut_after_s=cut_after_s):
                async with trio.open_nursery() as nursery:
                    fixture = await self._fixture(nursery)
                    fixture.watch.source.cut_after_s = cut_after_s
                    await trio.sleep(10)
                    self.assertTrue(fixture.kv_mirror.is_answering)
                    calls = fixture.platform.calls["entry-1", "watch"]
                    self.assertLess(await self._time_in_use_s(fixture, "s1"), 1.5)
                    await trio.sleep(10)
                    # Each of the stand-in's watches is counted twice.
                    calls = fixture.platform.calls["entry-1", "watch"] - calls
                    self.assertLess(calls, 2 * 10 * 10)
                    nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_outages_of_any_length_leave_registrations_time_to_return(self):
        """Guards against removing all servers after an outage that no longer counts as one."""
        for mode in ("down", "silent"):
            for outage_s in (2.4, 3.0, 8.0):
                with self.subTest(mode=mode, outage_s=outage_s):
                    async with trio.open_nursery() as nursery:
                        fixture = await self._fixture(nursery)
                        fixture.platform.set_mode(mode, "entry-1")
                        await trio.sleep(outage_s)
                        await fixture.write("s1", None)
                        fixture.platform.set_mode("up", "entry-1")
                        await trio.sleep(1.9)
                        self.assertIn("s1", fixture.server_registry.servers)
                        await trio.sleep(2.5)
                        self.assertNotIn("s1", fixture.server_registry.servers)
                        nursery.cancel_scope.cancel()


class OutageTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_any_answered_call_shows_that_the_service_is_there(self):
        """Guards against one kind of call that stands for the whole service."""
        detector = outages.OutageDetector()
        await trio.sleep(5)
        detector.record_answer()
        await trio.sleep(5)
        for _ in range(20):
            detector.record_failure(clock.now())
            await trio.sleep(0.3)
            detector.record_answer()
            self.assertFalse(detector.is_away)
        self.assertGreater(detector.away_at.age_s(), 5)

    @clocked.on_test_clock
    async def test_a_late_answer_counts_from_when_it_was_due(self):
        """Guards against a short silence of the service that is taken for a cut watch."""
        detector = outages.OutageDetector()
        detector.record_answer()
        due_at = clock.now()
        await trio.sleep(0.6)
        detector.record_failure(due_at)
        detector.record_answer()
        self.assertAlmostEqual(0, detector.away_at.age_s(), places=3)
