"""What is believed of backend servers that register themselves."""

import random
import unittest

import attrs
import trio

from standins import memory, replicas
from tests import clocked
from toucanhold.coordination import keyvalue, mirror, watching
from toucanhold.registry import registry


@attrs.define(eq=False, slots=False)
class Watched:
    """A registry that follows a store in memory."""

    def __attrs_post_init__(self):
        self.platform = memory.MemoryPlatform()
        self.writer = self.platform.client("writer")
        client = self.platform.mirrored("entry-1")
        prefix = replicas.REGISTRATIONS_PREFIX
        self.mirror = mirror.Mirror()
        self.watch = watching.ServiceWatch(client, self.mirror, lambda: 0.05, random.Random(1))
        self.registry = registry.Registry(self.mirror, prefix, replicas.decode)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch.run)
            nursery.start_soon(self.registry.run)

    async def write(self, name, value):
        key = replicas.REGISTRATIONS_PREFIX + name
        await self.writer.commit([], [keyvalue.Write(key, value)])

    async def register(self, nursery, *names):
        fleet = replicas.MemoryServers(self.writer, replicas.new_engine(), nursery)
        for name in names:
            await fleet.add(name, "d0")


class RegistryTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_servers_come_and_go(self):
        async with trio.open_nursery() as nursery:
            watched = Watched()
            nursery.start_soon(watched.run)
            await watched.register(nursery, "s1", "s2")
            await trio.sleep(0.2)
            self.assertEqual({"s1", "s2"}, set(watched.registry.servers))
            await trio.sleep(5)
            await watched.write("s1", None)
            await trio.sleep(0.2)
            self.assertEqual({"s2"}, set(watched.registry.servers))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_registrations_that_lapse_in_an_outage_are_given_time_to_return(self):
        """Guards against all servers taken out of service when the store returns."""
        async with trio.open_nursery() as nursery:
            watched = Watched()
            nursery.start_soon(watched.run)
            await watched.register(nursery, "s1", "s2")
            await trio.sleep(5)
            watched.platform.set_mode("down", "entry-1")
            await trio.sleep(3)
            await watched.write("s1", None)
            await watched.write("s2", None)
            watched.platform.set_mode("up", "entry-1")
            await trio.sleep(1)
            self.assertEqual({"s1", "s2"}, set(watched.registry.servers))
            await watched.register(nursery, "s1")
            await trio.sleep(2)
            self.assertEqual({"s1"}, set(watched.registry.servers))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_unreadable_registration_names_no_server_and_harms_no_other(self):
        async with trio.open_nursery() as nursery:
            watched = Watched()
            nursery.start_soon(watched.run)
            await watched.register(nursery, "s1", "s2")
            await watched.write("s2", b"\xff\x00")
            await watched.write("s3", b"[]")
            await trio.sleep(0.3)
            self.assertEqual({"s1"}, set(watched.registry.servers))
            nursery.cancel_scope.cancel()


class MirrorTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_history_that_is_gone_is_read_anew(self):
        """Guards against keys that were deleted while no watch could tell."""
        async with trio.open_nursery() as nursery:
            watched = Watched()
            nursery.start_soon(watched.run)
            await watched.register(nursery, "s1", "s2")
            await trio.sleep(5)
            watched.platform.set_mode("down", "entry-1")
            await trio.sleep(1)
            await watched.write("s1", None)
            watched.platform.store.history_revisions = 1
            await watched.register(nursery, "s3")
            watched.platform.set_mode("up", "entry-1")
            await trio.sleep(4)
            self.assertEqual({"s2", "s3"}, set(watched.registry.servers))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_changes_gather_before_the_next_watch(self):
        """Each return of a watch is a call that is paid for; twenty changes need not be twenty."""
        async with trio.open_nursery() as nursery:
            watched = Watched()
            nursery.start_soon(watched.run)
            await trio.sleep(1)
            before = watched.platform.calls["entry-1", "watch"]
            for number in range(20):
                await watched.register(nursery, f"s{number}")
                await trio.sleep(0.01)
            await trio.sleep(0.3)
            self.assertEqual(20, len(watched.registry.servers))
            # The stand-in's watch is itself counted within each of its returns.
            self.assertLess(watched.platform.calls["entry-1", "watch"] - before, 20)
            nursery.cancel_scope.cancel()
