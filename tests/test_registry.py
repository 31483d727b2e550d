"""Registered backend servers as the registry and its mirror of the key-value store show them."""

import random
import unittest

import attrs
import trio

from standins import memory, replicas
from tests import clocked
from toucanhold.coordination import keyvalue, mirror, watching
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
