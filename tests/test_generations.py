"""A group that lost a member never serves again; orders come in time and in order."""

import unittest

import attrs
import trio
import trio.testing

from standins import fleet
from tests import scenes
from toucanhold.backends import client
from toucanhold.configuration import inventory


class GenerationTest(unittest.TestCase):
    def test_restarted_member_never_rejoins_its_generation(self):
        # A draft comes back cut or mixed up. A member restarts within one polling interval, is
        # ordered into the same generation again, and the group looks as if nothing had happened.
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                restarted_at_s = trio.current_time()
                site.engine(1).restart()
                await scenes.wait_until(lambda: scenes.other_generation(node, before))
                late = [
                    order.generation
                    for at_s, order in site.engine(1).history
                    if at_s > restarted_at_s and isinstance(order, client.JoinOrder)
                ]
                self.assertNotIn(before.generation, late)

        scenes.run(test)

    def test_restarted_member_put_back_by_someone_else_does_not_count(self):
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                site.platform.set_mode("down", "node")
                engine = site.engine(1)
                order = engine.place
                engine.restart()
                engine.obey(order)
                await trio.sleep(3)
                self.assertEqual([], node.whole_groups())

        scenes.run(test)

    def test_member_that_left_and_came_back_does_not_count(self):
        # Between two polls of the planner a member leaves and is put back by an order that came
        # late. This entry saw it outside; the requests it had there are gone.
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                site.platform.set_mode("down", "node")
                engine = site.engine(1)
                order, engine.place = engine.place, None
                await trio.sleep(1)
                engine.place = order
                await trio.sleep(3)
                self.assertEqual([], node.whole_groups())

        scenes.run(test)

    def test_entry_that_starts_late_does_not_take_a_restarted_member_for_a_whole_group(self):
        # The entry never saw the member before its restart; only the boot id on record tells.
        async def test():
            async with scenes.scene() as site:
                old = site.start("old")
                await scenes.wait_until(lambda: scenes.is_formed(old))
                (before,) = old.whole_groups()
                old.scope.cancel()
                order = site.engine(1).place
                site.engine(1).restart()
                site.engine(1).obey(order)
                late = site.start("late")
                while not scenes.other_generation(late, before):
                    self.assertEqual([], late.whole_groups())
                    await trio.sleep(0.05)

        scenes.run(test)

    def test_member_that_forgets_its_group_ends_the_generation(self):
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                site.engine(0).place = None
                await scenes.wait_until(lambda: scenes.other_generation(node, before))

        scenes.run(test)

    def test_forgetful_member_is_known_to_a_planner_that_never_saw_it_joined(self):
        # The first planner saw the group whole and wrote that down. Its successor knows only the
        # record and a member without a group: the group is over, not still being formed.
        async def test():
            async with scenes.scene() as site:
                old = site.start("old")
                await scenes.wait_until(lambda: scenes.is_formed(old))
                (before,) = old.whole_groups()
                old.scope.cancel()
                site.engine(0).place = None
                new = site.start("new")
                await scenes.wait_until(lambda: scenes.other_generation(new, before))
                joins = [order.generation for order in scenes.joins_of(site.engine(0))]
                self.assertEqual(1, joins.count(before.generation))

        scenes.run(test)

    def test_member_that_only_paused_keeps_its_generation(self):
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                site.engine(1).mode = fleet.Mode.SILENT
                await trio.sleep(1.5)
                site.engine(1).mode = fleet.Mode.UP
                await trio.sleep(4)
                self.assertEqual(
                    [before.generation_key], [group.generation_key for group in node.whole_groups()]
                )

        scenes.run(test)

    def test_refused_connection_ends_a_generation_sooner_than_silence(self):
        waits_s = {}

        async def test(mode):
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                site.engine(1).mode = mode
                waits_s[mode] = await scenes.wait_until(lambda: scenes.planned_other(node, before))

        for mode in (fleet.Mode.REFUSING, fleet.Mode.SILENT):
            trio.run(test, mode, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLess(waits_s[fleet.Mode.REFUSING], 1.5)
        self.assertGreater(waits_s[fleet.Mode.SILENT], 2.0)


class LeaveTest(unittest.TestCase):
    def test_planned_leave_waits_for_requests_on_every_member_and_starts_at_the_first(self):
        # A draft is cut short though its zone was taken out in good order. The request is counted
        # on another member than the one that was looked at; or a member leaves before the first
        # one, which goes on taking requests for a group that is no longer whole.
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                (group,) = node.whole_groups()
                site.engine(1).running = 1
                site.take_out("zone-0")
                await trio.sleep(10)
                self.assertEqual([[], []], [scenes.leaves_of(site.engine(each)) for each in (0, 1)])
                site.engine(1).running = 0
                await scenes.wait_until(lambda: scenes.leaves_of(site.engine(1)))
                self.assertLess(
                    scenes.leaves_of(site.engine(0))[0],
                    scenes.leaves_of(site.engine(1))[0],
                )

        scenes.run(test)

    def test_group_that_lost_a_member_is_disbanded_at_once(self):
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(node.whole_groups)
                site.engine(0).running = 3
                site.engine(1).mode = fleet.Mode.REFUSING
                waited_s = await scenes.wait_until(lambda: scenes.leaves_of(site.engine(0)))
                self.assertLess(waited_s, 2)

        scenes.run(test)

    def test_engine_in_a_group_that_nobody_planned_is_ordered_to_leave(self):
        async def test():
            async with scenes.scene() as site:
                engine = site.engine(2)
                engine.place = client.JoinOrder("other/1", 1, 0, 1, (), "writer", "1")
                node = site.start("node")
                await scenes.wait_until(lambda: scenes.leaves_of(engine))
                self.assertNotIn("other/1", [group.group for group in node.whole_groups()])

        scenes.run(test)


class OrderTest(unittest.TestCase):
    def test_late_order_does_not_undo_a_newer_one(self):
        # An order to join is held up on its way, its group ends, the VM joins another, and then
        # the old order arrives. An engine that checks refuses it, since each order carries the
        # revision of the plan; one that does not gets no newer order until that time has passed.
        for fencing in inventory.Fencing:
            with self.subTest(fencing=fencing):
                scenes.run(lambda fencing=fencing: self._late_order(fencing))

    async def _late_order(self, fencing):
        async with scenes.scene(fencing=fencing) as site:
            site.engine(1).order_delay_s = 8.0
            node = site.start("node")
            await scenes.wait_until(lambda: list(node.plans.groups()))
            await trio.sleep(0.5)
            site.engine(1).order_delay_s = 0
            site.engine(0).mode = fleet.Mode.REFUSING
            await scenes.wait_until(node.whole_groups, 40)
            (group,) = node.whole_groups()
            await trio.sleep(20)
            self.assertEqual(
                [group.generation_key], [each.generation_key for each in node.whole_groups()]
            )

    def test_loads_are_bounded_and_the_most_important_go_first(self):
        async def test():
            services = (
                attrs.evolve(scenes.DRAFTS, name="a", importance=1),
                attrs.evolve(scenes.DRAFTS, name="b", importance=9),
                attrs.evolve(scenes.DRAFTS, name="c", importance=5),
            )
            options = {"services": services, "max_loading_vms": 2, "engines": {"load_s": 5.0}}
            async with scenes.scene(vms=6, **options) as site:
                node = site.start("node")
                most = 0
                while len(node.whole_groups()) < 3:
                    loading = sum(engine.report().loading for engine in scenes.engines(site))
                    most = max(most, loading)
                    await trio.sleep(0.1)
                    if trio.current_time() > 60:
                        self.fail("not formed in time")
                self.assertEqual(2, most)
                first = {}
                for engine in scenes.engines(site):
                    for at_s, order in engine.history:
                        service = scenes.service_of(node, order.group)
                        first[service] = min(first.get(service, at_s), at_s)
                self.assertEqual(["b", "c", "a"], sorted(first, key=first.get))

        scenes.run(test)
