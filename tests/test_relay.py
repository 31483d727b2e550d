"""Changes of the key-value service, passed on from entry to entry."""

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

# Servers that leave are to get nothing later than this after the service has said so.
DRAIN_S = 2.0


@attrs.define(eq=False, slots=False)
class Node:
    """The half of one entry that follows the service."""

    name: str
    site: "Site"
    sources: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        rng = random.Random(self.name)
        self.copy = mirror.Mirror()
        transport = self.site.network.transport(self.name)
        client = self.site.platform.mirrored(self.name)
        watch = watching.ServiceWatch(client, self.copy, lambda: 0.1, rng)
        self.publisher = publishing.Publisher(self.copy, self.name, transport)
        self.follower = following.Follower(self.copy, watch, transport, lambda: self.sources, rng)
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
        return key in self.copy.items


@attrs.define(eq=False, slots=False)
class Site:
    """A store in memory, one entry that watches it in each of two zones, and two that follow."""

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
        # At first nobody has anything to pass on; they look for others after two seconds.
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
    """Run a test method with a site whose entries follow each other, on the test clock."""

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
    async def test_followers_hear_of_changes_without_calls_of_their_own(self, site):
        before = site["f1"].calls(), site["r1"].calls()
        for number in range(20):
            await site.write(f"things/{number}")
            await trio.sleep(0.3)
        await site.write("things/3", None)
        await site.seconds_until(lambda: not site["f1"].has("things/3"), 0.5)
        self.assertEqual(site["r1"].copy.items, site["f1"].copy.items)
        self.assertEqual(before[0], site["f1"].calls())
        self.assertLess(before[1] + 20, site["r1"].calls())
        self.assertTrue(site["f1"].copy.is_answering)

    @with_site
    async def test_an_entry_that_is_turned_away_by_the_service_is_left_in_time(self, site):
        """Guards against requests to a server that left while the source had lost the service."""
        site.platform.set_mode("silent", "r1")
        await site.write("things/leaving")
        took_s = await site.seconds_until(lambda: site["f1"].has("things/leaving"), DRAIN_S)
        self.assertLess(took_s, DRAIN_S - 0.3)
        self.assertFalse(site["f1"].follower.is_watching)

    @with_site
    async def test_a_cut_between_entries_is_noticed_by_silence(self, site):
        """No byte passes between a follower and its source, and no error tells so."""
        site.network.cut("f1", "r1")
        await site.write("things/new")
        took_s = await site.seconds_until(lambda: site["f1"].has("things/new"), DRAIN_S)
        self.assertLess(took_s, 1.2)

    @with_site
    async def test_an_entry_without_others_watches_for_itself(self, site):
        """Guards against a copy that grows old though the service answers."""
        site.network.isolate("f1", site.nodes)
        await site.write("things/new")
        await site.seconds_until(lambda: site["f1"].has("things/new"), DRAIN_S)
        self.assertTrue(site["f1"].follower.is_watching)
        site.network.heal()
        await site.seconds_until(lambda: not site["f1"].follower.is_watching, 4)
        await site.write("things/newer")
        await site.seconds_until(lambda: site["f1"].has("things/newer"), 0.5)

    @with_site
    async def test_an_outage_of_the_service_is_known_to_all_and_so_is_its_end(self, site):
        """Guards against followers that believe what lapsed in an outage."""
        site.platform.set_mode("down")
        await site.seconds_until(lambda: not site["f2"].copy.is_answering, DRAIN_S)
        await trio.sleep(5)
        site.platform.set_mode("up")
        await site.seconds_until(lambda: site["f2"].copy.is_answering, 3)
        self.assertLess(site["f2"].copy.since_failure_s, 3)

    @with_site
    async def test_looks_for_a_source_in_an_outage_leave_no_streams_behind(self, site):
        """Guards against dozens of streams left open by looks for a source."""
        site.platform.set_mode("down")
        await trio.sleep(20)
        open_streams = sum(not stream.is_closed for stream in site.network.streams())
        # Both ends of at most the two streams of a look that is under way at each follower.
        self.assertLessEqual(open_streams, 8)

    @with_site
    async def test_an_entry_that_was_away_for_long_gets_everything_anew(self, site):
        site["f1"].scope.cancel()
        for number in range(mirror.HISTORY_BATCHES + 5):
            await site.write("often", str(number).encode())
            await trio.sleep(0.15)
        await site.write("things/gone")
        await trio.sleep(0.3)
        late = Node("f3", site, ["r1"])
        # What it knows is older than what the source remembers.
        late.copy.replace(keyvalue.RangeResult(2, (keyvalue.Item("old", b"x", 1, 2),)))
        site.nursery.start_soon(late.run)
        await trio.sleep(0.5)
        self.assertEqual(site["r1"].copy.items, late.copy.items)

    @with_site
    async def test_bytes_of_a_stranger_end_only_its_own_stream(self, site):
        stream = await site.network.transport("stranger").connect("r1")
        body = b"no message"
        await stream.send_all(len(body).to_bytes(4) + body)
        await trio.sleep(0.2)
        await site.write("things/new")
        await site.seconds_until(lambda: site["f1"].has("things/new"), 0.5)

    @with_site
    async def test_who_becomes_first_of_its_zone_watches_the_service(self, site):
        site["r1"].scope.cancel()
        site["f1"].sources = []
        site["f2"].sources = ["f1", "r2"]
        await trio.sleep(3)
        self.assertTrue(site["f1"].follower.is_watching)
        await site.write("things/new")
        await site.seconds_until(lambda: site["f2"].has("things/new"), 0.5)


class MirrorTest(unittest.TestCase):
    def setUp(self):
        self.copy = mirror.Mirror()
        items = (keyvalue.Item("a", b"1", 1, 1), keyvalue.Item("b", b"1", 2, 5))
        self.copy.replace(keyvalue.RangeResult(4, items))

    def test_changes_that_overlap_what_is_known_do_no_harm(self):
        newer = mirror.Changes(4, 9, (keyvalue.Item("a", b"2", 1, 9),))
        self.copy.apply(newer)
        older = mirror.Changes(3, 8, (keyvalue.Item("a", b"1", 1, 8),))
        self.copy.apply(older)
        self.assertEqual(b"2", self.copy.items["a"].value)

    def test_changes_after_a_gap_are_not_taken(self):
        self.copy.apply(mirror.Changes(7, 9, (keyvalue.Item("a", b"2", 1, 9),)))
        self.assertEqual((4, b"1"), (self.copy.revision, self.copy.items["a"].value))

    def test_an_old_deletion_does_not_take_a_later_item(self):
        self.copy.apply(mirror.Changes(4, 6, (), (mirror.Deletion("b", 4),)))
        self.assertIn("b", self.copy.items)

    def test_changes_since_merge_what_came_and_went(self):
        self.copy.apply(mirror.Changes(4, 6, (keyvalue.Item("c", b"1", 6, 6),)))
        self.copy.apply(mirror.Changes(6, 7, (), (mirror.Deletion("c", 7),)))
        self.copy.apply(mirror.Changes(7, 8, (keyvalue.Item("a", b"2", 1, 8),)))
        found = self.copy.changes_since(5)
        self.assertEqual((5, 8), (found.after, found.revision))
        self.assertEqual(["a"], [item.key for item in found.items])
        self.assertEqual(["c"], [deletion.key for deletion in found.deleted])
        self.assertIsNone(self.copy.changes_since(3))


class OneWatchTest(unittest.TestCase):
    """Zones that follow the planner, which alone watches the service."""

    def _chain(self, site):
        site["r2"].sources[:] = ["r1"]
        site["f2"].sources[:] = ["r2", "r1"]

    @with_site
    async def test_zones_that_follow_the_planner_make_no_calls(self, site):
        """Guards against calls for each change that grow with the availability zones."""
        self._chain(site)
        await trio.sleep(5)
        before = site["r2"].calls(), site["f2"].calls()
        for number in range(10):
            await site.write(f"things/{number}")
            await trio.sleep(0.3)
        await site.seconds_until(lambda: site["f2"].has("things/9"), 0.5)
        self.assertEqual(before, (site["r2"].calls(), site["f2"].calls()))

    @with_site
    async def test_a_planner_that_is_turned_away_is_left_in_time(self, site):
        """Guards against requests to a server that left while only the planner watched."""
        self._chain(site)
        await trio.sleep(5)
        site.platform.set_mode("silent", "r1")
        await site.write("things/leaving")
        took_s = await site.seconds_until(lambda: site["f2"].has("things/leaving"), DRAIN_S)
        self.assertLess(took_s, DRAIN_S - 0.3)

    @with_site
    async def test_a_planner_behind_a_cut_is_left_in_time(self, site):
        """Guards against a zone that learns nothing because it cannot reach the planner's zone."""
        self._chain(site)
        await trio.sleep(5)
        site.network.cut("r1", "r2")
        await site.write("things/leaving")
        took_s = await site.seconds_until(lambda: site["f2"].has("things/leaving"), DRAIN_S)
        self.assertLess(took_s, DRAIN_S - 0.3)
        self.assertTrue(site["r2"].follower.is_watching)

    @clocked.on_test_clock
    async def test_an_entry_that_finds_a_source_pays_for_no_watch(self):
        """Guards against a call an entry when all of a site start at once."""
        async with trio.open_nursery() as nursery:
            site = Site(nursery)
            await site.start()
            late = Node("late", site)
            site.nodes["late"] = late

            def note(keys):
                late.sources[:] = ["r1"]

            late.copy.listen("", note)
            await site.write("things/first")
            nursery.start_soon(late.run)
            await trio.sleep(3)
            self.assertEqual(1, late.calls())
            self.assertFalse(late.follower.is_watching)
            nursery.cancel_scope.cancel()


class MessagesTest(unittest.TestCase):
    def test_messages_come_back_as_they_went(self):
        items = tuple(keyvalue.Item(f"k{n}", b"value" * 20, n, n, 7) for n in range(50))
        for message in (
            messages.Subscribe(7),
            messages.Snapshot(9, items),
            messages.Update(mirror.Changes(3, 9, items, (mirror.Deletion("k", 4),))),
            messages.Status(False, float("inf"), 1.5),
        ):
            self.assertEqual(message, messages.decode(messages.encode(message)))

    def test_other_bytes_are_refused(self):
        for body in (b"", b"z", b"znot compressed", b"p\xc1", messages.PLAIN + b"\x92\xa1x\x80"):
            with self.assertRaises(messages.MessageError):
                messages.decode(body)


class HierarchyTest(unittest.TestCase):
    """Each change costs calls for those that watch, however many entries there are."""

    def _entries(self, count, zones):
        return [
            entries.Entry(f"e{n}", f"z{n % zones}", "r", f"c{n}", f"x{n}", "b", 0.5 + (n < 8))
            for n in range(count)
        ]

    def _sources(self, known, planner=""):
        return {
            own.exchange_address: hierarchy.sources(
                own, [each for each in known if each != own], planner
            )
            for own in known
        }

    def test_one_entry_a_zone_watches_and_everyone_reaches_it(self):
        for count, zones in ((1, 1), (7, 3), (60, 4), (390, 11)):
            found = self._sources(self._entries(count, zones))
            watching_now = [address for address, sources in found.items() if not sources]
            self.assertEqual(zones, len(watching_now))
            for address in found:
                depth = 0
                while found[address]:
                    address = found[address][0]
                    depth += 1
                self.assertLessEqual(depth, 2)

    def test_no_entry_is_followed_by_too_many(self):
        found = self._sources(self._entries(390, 11))
        first = [sources[0] for sources in found.values() if sources]
        self.assertLessEqual(max(map(first.count, first)), hierarchy.MAX_FOLLOWERS_PER_ENTRY)

    def test_the_planner_watches_and_large_machines_go_first(self):
        known = self._entries(60, 4)
        found = self._sources(known, planner="e59")
        self.assertEqual([], found["x59"])
        self.assertTrue(all(found[f"x{n}"] for n in range(8, 59)))

    def test_with_a_planner_the_other_zones_follow_it(self):
        found = self._sources(self._entries(195, 5), planner="e7")
        self.assertEqual(["x7"], [address for address, sources in found.items() if not sources])
        self.assertEqual(4, sum(sources == ["x7"] for sources in found.values()))

    def test_other_zones_come_after_the_own_one(self):
        known = self._entries(60, 4)
        zones = {entry.exchange_address: entry.zone for entry in known}
        for own, sources in self._sources(known).items():
            if sources:
                self.assertEqual(zones[own], zones[sources[0]])
                self.assertEqual(4, len({zones[address] for address in sources}))
