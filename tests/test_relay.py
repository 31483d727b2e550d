"""Tests of relaying changes of the key-value service between entries."""

import functools
import random
import unittest

import attrs
import trio

from standins import memory
from tests import clocked
from toucanhold.coordination import keyvalue, mirror, watching
from toucanhold.gateway import entries, hierarchy
from toucanhold.relay import following, messages, publishing

# Time from a server's state change in the service until no request may be sent to the server.
DRAIN_S = 2.0


@attrs.define(eq=False, slots=False)
class Node:
    """The components of one entry that keep its mirror up to date and publish it."""

    name: str
    site: "Site"
    sources: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        rng = random.Random(self.name)
        self.kv_mirror = mirror.Mirror()
        transport = self.site.network.transport(self.name)
        client = self.site.platform.change_source(self.name)
        watch = watching.ServiceWatch(client, self.kv_mirror, lambda: 0.1, rng)
        self.publisher = publishing.Publisher(self.kv_mirror, self.name, transport)
        self.follower = following.Follower(
            self.kv_mirror, watch, transport, lambda: self.sources, rng
        )
        self.scope = trio.CancelScope()

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.publisher.run)
                nursery.start_soon(self.follower.run)

    def calls(self):
        return sum(
            count for (name, _), count in self.site.platform.calls.items() if name == self.name
        )

    def has(self, key):
        return key in self.kv_mirror.items


@attrs.define(eq=False, slots=False)
class Site:
    """An in-memory store, one watching entry in each of two zones, and two followers of these."""

    nursery: trio.Nursery

    def __attrs_post_init__(self):
        self.platform = memory.MemoryPlatform()
        self.network = memory.MemoryNetwork()
        self.writer = self.platform.client("writer")
        self.nodes = {
            "r1": Node("r1", self),
            "r2": Node("r2", self),
            "f1": Node("f1", self, ["r1", "r2"]),
            "f2": Node("f2", self, ["r1", "r2"]),
        }

    def __getitem__(self, name):
        return self.nodes[name]

    async def start(self):
        for node in self.nodes.values():
            self.nursery.start_soon(node.run)
            # At first no entry has anything to publish; the followers retry after two seconds.
        await trio.sleep(4)

    async def write(self, key, value=b"x"):
        await self.writer.commit([], [keyvalue.Write(key, value)])

    async def seconds_until(self, condition, limit_s):
        begin_s = trio.current_time()
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(0.02)
        return trio.current_time() - begin_s


def with_site(function):
    """Run a test method with a started site, on the test clock."""

    @clocked.on_test_clock
    @functools.wraps(function)
    async def run(self):
        async with trio.open_nursery() as nursery:
            site = Site(nursery)
            await site.start()
            await function(self, site)
            nursery.cancel_scope.cancel()

    return run


class RelayTest(unittest.TestCase):
    @with_site
    async def test_followers_receive_changes_without_calls_to_the_service(self, site):
        calls_before = site["f1"].calls(), site["r1"].calls()
        for number in range(20):
            await site.write(f"things/{number}")
            await trio.sleep(0.3)
        await site.write("things/3", None)
        await site.seconds_until(lambda: not site["f1"].has("things/3"), 0.5)
        self.assertEqual(site["r1"].kv_mirror.items, site["f1"].kv_mirror.items)
        self.assertEqual(calls_before[0], site["f1"].calls())
        self.assertLess(calls_before[1] + 20, site["r1"].calls())
        self.assertTrue(site["f1"].kv_mirror.is_answering)

    @with_site
    async def test_source_that_lost_the_service_is_left_in_time(self, site):
        """Guards against requests to a server that left while the source had lost the service."""
        site.platform.set_mode("silent", "r1")
        await site.write("things/leaving")
        elapsed_s = await site.seconds_until(lambda: site["f1"].has("things/leaving"), DRAIN_S)
        self.assertLess(elapsed_s, DRAIN_S - 0.3)
        self.assertFalse(site["f1"].follower.is_watching)

    @with_site
    async def test_partition_between_entries_is_detected_by_a_timeout(self, site):
        """Guards against a stale mirror when packets from the source are dropped silently."""
        site.network.partition("f1", "r1")
        await site.write("things/new")
        elapsed_s = await site.seconds_until(lambda: site["f1"].has("things/new"), DRAIN_S)
        self.assertLess(elapsed_s, 1.2)

    @with_site
    async def test_entry_that_reaches_no_source_watches_the_service(self, site):
        """Guards against a stale mirror although the service answers."""
        site.network.isolate("f1", site.nodes)
        await site.write("things/new")
        await site.seconds_until(lambda: site["f1"].has("things/new"), DRAIN_S)
        self.assertTrue(site["f1"].follower.is_watching)
        site.network.heal()
        await site.seconds_until(lambda: not site["f1"].follower.is_watching, 4)
        await site.write("things/newer")
        await site.seconds_until(lambda: site["f1"].has("things/newer"), 0.5)

    @with_site
    async def test_followers_learn_of_an_outage_and_of_its_end(self, site):
        """Guards against followers that remove servers whose registrations expired in an outage."""
        site.platform.set_mode("down")
        await site.seconds_until(lambda: not site["f2"].kv_mirror.is_answering, DRAIN_S)
        await trio.sleep(5)
        site.platform.set_mode("up")
        await site.seconds_until(lambda: site["f2"].kv_mirror.is_answering, 3)
        self.assertLess(site["f2"].kv_mirror.since_failure_s, 3)

    @with_site
    async def test_retries_of_sources_in_an_outage_leave_no_open_streams(self, site):
        """Guards against dozens of streams left open by attempts to find a source."""
        site.platform.set_mode("down")
        await trio.sleep(20)
        open_streams = sum(not stream.is_closed for stream in site.network.streams())
        # Both ends of at most two streams, for the attempt in progress at each of two followers.
        self.assertLessEqual(open_streams, 8)

    @with_site
    async def test_entry_behind_the_history_gets_a_snapshot(self, site):
        site["f1"].scope.cancel()
        for number in range(mirror.HISTORY_BATCHES + 5):
            await site.write("often", str(number).encode())
            await trio.sleep(0.15)
        await site.write("things/gone")
        await trio.sleep(0.3)
        late_node = Node("f3", site, ["r1"])
        # Its revision is older than the source's history.
        late_node.kv_mirror.replace(keyvalue.RangeResult(2, (keyvalue.Item("old", b"x", 1, 2),)))
        site.nursery.start_soon(late_node.run)
        await trio.sleep(0.5)
        self.assertEqual(site["r1"].kv_mirror.items, late_node.kv_mirror.items)

    @with_site
    async def test_invalid_message_ends_only_its_own_stream(self, site):
        stream = await site.network.transport("stranger").connect("r1")
        body = b"no message"
        await stream.send_all(len(body).to_bytes(4) + body)
        await trio.sleep(0.2)
        await site.write("things/new")
        await site.seconds_until(lambda: site["f1"].has("things/new"), 0.5)

    @with_site
    async def test_entry_that_becomes_first_of_its_zone_watches_the_service(self, site):
        site["r1"].scope.cancel()
        site["f1"].sources = []
        site["f2"].sources = ["f1", "r2"]
        await trio.sleep(3)
        self.assertTrue(site["f1"].follower.is_watching)
        await site.write("things/new")
        await site.seconds_until(lambda: site["f2"].has("things/new"), 0.5)


class MirrorTest(unittest.TestCase):
    def setUp(self):
        self.kv_mirror = mirror.Mirror()
        items = (keyvalue.Item("a", b"1", 1, 1), keyvalue.Item("b", b"1", 2, 5))
        self.kv_mirror.replace(keyvalue.RangeResult(4, items))

    def test_overlapping_changes_do_not_restore_old_values(self):
        newer = mirror.Changes(4, 9, (keyvalue.Item("a", b"2", 1, 9),))
        self.kv_mirror.apply(newer)
        older = mirror.Changes(3, 8, (keyvalue.Item("a", b"1", 1, 8),))
        self.kv_mirror.apply(older)
        self.assertEqual(b"2", self.kv_mirror.items["a"].value)

    def test_changes_after_a_gap_are_ignored(self):
        self.kv_mirror.apply(mirror.Changes(7, 9, (keyvalue.Item("a", b"2", 1, 9),)))
        self.assertEqual((4, b"1"), (self.kv_mirror.revision, self.kv_mirror.items["a"].value))

    def test_old_deletion_does_not_remove_a_newer_item(self):
        self.kv_mirror.apply(mirror.Changes(4, 6, (), (mirror.Deletion("b", 4),)))
        self.assertIn("b", self.kv_mirror.items)

    def test_changes_since_a_revision_are_merged(self):
        self.kv_mirror.apply(mirror.Changes(4, 6, (keyvalue.Item("c", b"1", 6, 6),)))
        self.kv_mirror.apply(mirror.Changes(6, 7, (), (mirror.Deletion("c", 7),)))
        self.kv_mirror.apply(mirror.Changes(7, 8, (keyvalue.Item("a", b"2", 1, 8),)))
        changes = self.kv_mirror.changes_since(5)
        self.assertEqual((5, 8), (changes.after, changes.revision))
        self.assertEqual(["a"], [item.key for item in changes.items])
        self.assertEqual(["c"], [deletion.key for deletion in changes.deleted])
        self.assertIsNone(self.kv_mirror.changes_since(3))

    def test_followers_get_only_the_difference_after_a_full_read(self):
        """Guards against snapshots to all entries each time that the store compacts its history."""
        items = (keyvalue.Item("a", b"2", 1, 8), keyvalue.Item("d", b"1", 7, 7))
        self.kv_mirror.replace(keyvalue.RangeResult(9, items))
        self.kv_mirror.apply(mirror.Changes(9, 10, (keyvalue.Item("e", b"1", 10, 10),)))
        changes = self.kv_mirror.changes_since(4)
        self.assertEqual(["a", "d", "e"], [item.key for item in changes.items])
        self.assertEqual(["b"], [deletion.key for deletion in changes.deleted])

    def test_followers_within_the_gap_of_a_full_read_get_a_snapshot(self):
        """Guards against keys that stay at a follower which saw them written in the gap."""
        self.kv_mirror.replace(keyvalue.RangeResult(9, ()))
        self.assertIsNone(self.kv_mirror.changes_since(6))
        self.assertTrue(self.kv_mirror.changes_since(9).is_empty)


class PlannerWatchTest(unittest.TestCase):
    """Availability zones that follow the planner, which alone watches the service."""

    def _chain(self, site):
        site["r2"].sources[:] = ["r1"]
        site["f2"].sources[:] = ["r2", "r1"]

    @with_site
    async def test_zones_that_follow_the_planner_make_no_calls_to_the_service(self, site):
        """Guards against a number of calls per change that grows with the availability zones."""
        self._chain(site)
        await trio.sleep(5)
        calls_before = site["r2"].calls(), site["f2"].calls()
        for number in range(10):
            await site.write(f"things/{number}")
            await trio.sleep(0.3)
        await site.seconds_until(lambda: site["f2"].has("things/9"), 0.5)
        self.assertEqual(calls_before, (site["r2"].calls(), site["f2"].calls()))

    @with_site
    async def test_planner_that_lost_the_service_is_left_in_time(self, site):
        """Guards against requests to a server that left while only the planner watched."""
        self._chain(site)
        await trio.sleep(5)
        site.platform.set_mode("silent", "r1")
        await site.write("things/leaving")
        elapsed_s = await site.seconds_until(lambda: site["f2"].has("things/leaving"), DRAIN_S)
        self.assertLess(elapsed_s, DRAIN_S - 0.3)

    @with_site
    async def test_planner_behind_a_partition_is_left_in_time(self, site):
        """Guards against a stale zone that cannot reach the planner's zone."""
        self._chain(site)
        await trio.sleep(5)
        site.network.partition("r1", "r2")
        await site.write("things/leaving")
        elapsed_s = await site.seconds_until(lambda: site["f2"].has("things/leaving"), DRAIN_S)
        self.assertLess(elapsed_s, DRAIN_S - 0.3)
        self.assertTrue(site["r2"].follower.is_watching)

    @clocked.on_test_clock
    async def test_entry_that_finds_a_source_makes_no_watch_call(self):
        """Guards against one more paid call per entry when all entries of a site start at once."""
        async with trio.open_nursery() as nursery:
            site = Site(nursery)
            await site.start()
            late_node = Node("late", site)
            site.nodes["late"] = late_node

            def add_source(keys):
                late_node.sources[:] = ["r1"]

            late_node.kv_mirror.add_listener("", add_source)
            await site.write("things/first")
            nursery.start_soon(late_node.run)
            await trio.sleep(3)
            self.assertEqual(1, late_node.calls())
            self.assertFalse(late_node.follower.is_watching)
            nursery.cancel_scope.cancel()


class MessagesTest(unittest.TestCase):
    def test_messages_survive_encoding_and_decoding(self):
        items = tuple(keyvalue.Item(f"k{n}", b"value" * 20, n, n, 7) for n in range(50))
        for message in (
            messages.Subscribe(7),
            messages.Snapshot(9, items),
            messages.Update(mirror.Changes(3, 9, items, (mirror.Deletion("k", 4),))),
            messages.Status(False, float("inf"), 1.5),
        ):
            self.assertEqual(message, messages.decode(messages.encode(message)))

    def test_invalid_bodies_are_refused(self):
        for body in (
            b"",
            b"z",
            b"znot compressed",
            b"p\xc1",
            messages.PLAIN_MARKER + b"\x92\xa1x\x80",
        ):
            with self.assertRaises(messages.MessageError):
                messages.decode(body)


class HierarchyTest(unittest.TestCase):
    """Each change costs calls only for the entries that watch the service, which must be few."""

    def _entries(self, count, zones):
        return [
            entries.Entry(f"e{n}", f"z{n % zones}", "r", f"c{n}", f"x{n}", "b", 0.5 + (n < 8))
            for n in range(count)
        ]

    def _sources(self, all_entries, planner=""):
        return {
            own.exchange_address: hierarchy.sources(
                own, [each for each in all_entries if each != own], planner
            )
            for own in all_entries
        }

    def test_one_entry_per_zone_watches_and_all_others_reach_it(self):
        for count, zones in ((1, 1), (7, 3), (60, 4), (390, 11)):
            sources_by_address = self._sources(self._entries(count, zones))
            watching_addresses = [
                address for address, sources in sources_by_address.items() if not sources
            ]
            self.assertEqual(zones, len(watching_addresses))
            for address in sources_by_address:
                depth = 0
                while sources_by_address[address]:
                    address = sources_by_address[address][0]
                    depth += 1
                self.assertLessEqual(depth, 2)

    def test_number_of_followers_per_entry_is_bounded(self):
        sources_by_address = self._sources(self._entries(390, 11))
        first = [sources[0] for sources in sources_by_address.values() if sources]
        self.assertLessEqual(max(map(first.count, first)), hierarchy.MAX_FOLLOWERS_PER_ENTRY)

    def test_planner_and_large_machines_watch(self):
        all_entries = self._entries(60, 4)
        sources_by_address = self._sources(all_entries, planner="e59")
        self.assertEqual([], sources_by_address["x59"])
        self.assertTrue(all(sources_by_address[f"x{n}"] for n in range(8, 59)))

    def test_with_a_planner_the_other_zones_follow_it(self):
        sources_by_address = self._sources(self._entries(195, 5), planner="e7")
        self.assertEqual(
            ["x7"], [address for address, sources in sources_by_address.items() if not sources]
        )
        self.assertEqual(4, sum(sources == ["x7"] for sources in sources_by_address.values()))

    def test_sources_in_the_own_zone_come_first(self):
        all_entries = self._entries(60, 4)
        zones = {entry.exchange_address: entry.zone for entry in all_entries}
        for own, sources in self._sources(all_entries).items():
            if sources:
                self.assertEqual(zones[own], zones[sources[0]])
                self.assertEqual(4, len({zones[address] for address in sources}))
