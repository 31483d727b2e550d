"""Groups are formed, kept whole and taken apart, through losses, kills and lost orders."""

import collections
import unittest
import unittest.mock

import trio

from standins import memory
from tests import clocked, replica_scenes
from toucanhold.registry import servers
from toucanhold.replicas import driver, orders


async def formed(nursery, **options):
    """A scene whose groups serve and whose spares hold a model."""
    scene = replica_scenes.Scene(nursery, **options)
    await scene.add_servers()
    node = scene.start("entry-1")
    wanted = scene.domains
    await scene.wait_for(lambda: len(node.serving("large")) == wanted, 60)
    await scene.wait_for(lambda: len(node.serving("small")) == wanted, 60)
    await trio.sleep(20)
    return scene, node


class FormingTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_domains_of_nine_hold_both_models_and_two_spares(self):
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            domains = collections.Counter(
                (group.record.model, scene.fleet.servers[group.head.server_id].domain)
                for group in node.board.groups.values()
            )
            self.assertEqual(4, len(domains))
            spares = set(scene.fleet.servers) - node.board.groups_by_server().keys()
            self.assertEqual(4, len(spares))
            self.assertEqual(
                {"large", "small"}, {scene.fleet.servers[name].model for name in spares}
            )
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_large_site_is_planned_in_writes_that_the_store_takes(self):
        """Guards against a plan of one write that the store refuses each time anew."""
        async with trio.open_nursery() as nursery:
            scene = replica_scenes.Scene(nursery, domains=34)
            sizes = []
            commit = memory.MirroredClient.commit

            async def counted(client, conditions, writes):
                sizes.append(len(conditions) + len(writes))
                return await commit(client, conditions, writes)

            await scene.add_servers()
            with unittest.mock.patch.object(memory.MirroredClient, "commit", counted):
                node = scene.start("entry-1")
                await scene.wait_for(lambda: len(node.board.groups) >= 60, 60)
            self.assertLessEqual(max(sizes), 32)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_heads_are_opened_only_when_every_member_is_ready(self):
        """Guards against a request in a group that is not whole."""
        async with trio.open_nursery() as nursery:
            scene = replica_scenes.Scene(nursery, domains=1, per_domain=4)
            await scene.add_servers()
            for name in ("s00", "s01", "s02"):
                scene.fleet.servers[name].model = "large"
                await scene.fleet.publish(scene.fleet.servers[name])
            node = scene.start("entry-1")
            await scene.wait_for(lambda: node.serving("large"), 60)
            opened_s = next(
                at_s for at_s, _, order in scene.fleet.orders if isinstance(order, orders.Open)
            )
            self.assertGreater(opened_s, 16)
            nursery.cancel_scope.cancel()


class LossTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_lost_member_is_replaced_by_a_spare_within_two_seconds(self):
        """Guards against a group that stands still until a registration lapses."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            lost = group.record.members[2].server_id
            await scene.fleet.darken(lost)
            await trio.sleep(0.3)
            node.planner.suspect(group.head.server_id)
            began_s = trio.current_time()
            await trio.sleep(0.5)
            await scene.wait_for(lambda: len(node.serving("large")) == 2, 10)
            self.assertLess(trio.current_time() - began_s, 2.0)
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_head_that_left_its_group_joins_the_next_one_without_a_wait(self):
        """Guards against joins refused for a count that a leave has moved on."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            await scene.fleet.darken(group.record.members[2].server_id)
            node.planner.suspect(group.head.server_id)
            began_s = trio.current_time()
            await scene.wait_for(lambda: len(node.serving("large")) == 1, 10)
            await scene.wait_for(lambda: len(node.serving("large")) == 2, 10)
            self.assertLess(trio.current_time() - began_s, 1.2)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_members_of_a_head_that_is_cut_off_wait_until_it_has_broken(self):
        """Guards against a member of two groups while its first head is open behind a cut."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            await scene.fleet.darken(group.head.server_id, "apart")
            node.planner.suspect(group.head.server_id)
            await scene.wait_for(lambda: group.name not in node.board.groups, 20)
            await trio.sleep(10)
            self.assertEqual([], scene.fleet.broken)
            self.assertGreaterEqual(len(node.serving("large")), 1)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_group_that_is_cut_off_whole_is_not_taken_apart_behind_the_cut(self):
        """Guards against members in two groups once a zone that was cut off is back."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            names = [member.server_id for member in group.record.members]
            await scene.fleet.cut_off_together(names)
            node.planner.suspect(group.head.server_id)
            await trio.sleep(10)
            for name in names:
                await scene.fleet.reconnect(name)
            await scene.wait_for(lambda: group.name not in node.board.groups, 10)
            await scene.wait_for(lambda: len(node.serving("large")) == 2, 10)
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_groups_that_only_the_planner_cannot_reach_go_on(self):
        """Guards against groups taken apart because two zones cannot reach each other."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            before = {name for name, group in node.board.groups.items()}
            far = [name for name, each in scene.fleet.servers.items() if each.zone == "zone-b"]
            for name in far:
                scene.fleet.servers[name].mode = "apart"
            heads = [group.head.server_id for group in node.board.groups.values()]
            for _ in range(11):
                for head in set(heads) & set(far):
                    node.planner.suspect(head)
                await trio.sleep(0.5)
            for name in far:
                await scene.fleet.reconnect(name)
            await trio.sleep(1)
            self.assertEqual(before, set(node.board.groups))
            self.assertEqual([2, 2], [len(node.serving("large")), len(node.serving("small"))])
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_groups_of_a_zone_that_was_cut_off_serve_at_once_after_it(self):
        """Guards against seconds without groups after a zone was cut off from all others."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            before = {name for name, group in node.board.groups.items()}
            far = [name for name, each in scene.fleet.servers.items() if each.zone == "zone-b"]
            await scene.fleet.cut_off_together(far)
            await trio.sleep(8)
            for name in far:
                await scene.fleet.reconnect(name)
            await trio.sleep(0.5)
            self.assertEqual(before, set(node.board.groups))
            self.assertEqual([2, 2], [len(node.serving("large")), len(node.serving("small"))])
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_head_that_lapses_before_it_opens_ends_no_entry(self):
        """Guards against a planner that ends, with all its requests, for a head that is gone."""
        async with trio.open_nursery() as nursery:
            scene = replica_scenes.Scene(nursery)
            await scene.add_servers()
            refused = unittest.mock.AsyncMock(return_value=orders.OrderOutcome.REFUSED)
            with (
                unittest.mock.patch.object(scene.fleet.__class__, "_change", refused),
                unittest.mock.patch.object(driver, "ORDER_AGAIN_S", 0.1),
            ):
                node = scene.start("entry-1")
                await trio.sleep(25)
                group, *_ = node.board.groups.values()
                await scene.fleet.darken(group.head.server_id, "unlisted")
                await trio.sleep(8)
            self.assertTrue(node.planner.may_act())
            left = node.board.groups.get(group.name)
            self.assertTrue(left is None or left.is_ending)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_domain_that_goes_dark_is_no_cut(self):
        """Guards against groups kept for dead servers beside others of the zone that answer."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery, domains=6)
            dark = [name for name, each in scene.fleet.servers.items() if each.domain == "d1"]
            lost = {
                group.name for group in node.board.groups.values() if group.head.server_id in dark
            }
            for name in dark:
                await scene.fleet.darken(name)
            for group in [node.board.groups[name] for name in lost]:
                node.planner.suspect(group.head.server_id)
            await trio.sleep(1.5)
            ending = {name for name in lost if node.board.groups[name].is_ending}
            self.assertEqual(lost, ending)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_group_goes_on_with_a_member_that_is_cut_off_from_the_store(self):
        """Guards against sound groups given up for registrations that lapsed."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            member = group.record.members[2].server_id
            await scene.fleet.darken(member, "unlisted")
            for _ in range(60):
                await trio.sleep(0.2)
                self.assertIn(group.name, [each.name for each in node.serving("large")])
            await scene.fleet.darken(member, "dark")
            await scene.wait_for(lambda: group.name not in node.board.groups, 2.5)
            await scene.wait_for(lambda: len(node.serving("large")) == 2, 3)
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_head_that_is_cut_off_from_the_store_is_taken_from_its_group_at_once(self):
        """Guards against members that wait for a head that could be asked."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            await scene.fleet.darken(group.head.server_id, "unlisted")
            await scene.wait_for(lambda: len(node.serving("large")) == 1, 8)
            await scene.wait_for(lambda: len(node.serving("large")) == 2, 2.5)
            members = {m.server_id for g in node.board.groups.values() for m in g.record.members}
            self.assertNotIn(group.head.server_id, members)
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_group_of_a_leaving_member_is_formed_anew(self):
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("small")[0]
            leaving = scene.fleet.servers[group.record.members[1].server_id]
            leaving.is_leaving = True
            await scene.fleet.publish(leaving)
            await scene.wait_for(lambda: group.name not in node.board.groups, 10)
            await scene.wait_for(lambda: len(node.serving("small")) == 2, 10)
            members = {m.server_id for g in node.board.groups.values() for m in g.record.members}
            self.assertNotIn(leaving.name, members)
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()


class PlannerChangeTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_next_planner_keeps_groups_that_are_whole(self):
        """Guards against a planner that starts from nothing and tears serving groups down."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            before = set(node.board.groups)
            given = len(scene.fleet.orders)
            node.kill()
            await trio.sleep(3)
            second = scene.start("entry-2")
            await scene.wait_for(second.planner.may_act, 10)
            await trio.sleep(5)
            self.assertEqual(before, set(second.board.groups))
            self.assertEqual(given, len(scene.fleet.orders))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_paused_planner_gives_no_order_after_its_lease(self):
        """Guards against orders of two planners that fight each other."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            scene.platform.set_mode("silent", "entry-1")
            second = scene.start("entry-2")
            await scene.wait_for(second.planner.may_act, 10)
            self.assertFalse(node.planner.may_act())
            nursery.cancel_scope.cancel()


class LeaseLossTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_entry_outlives_the_loss_of_its_lease_in_the_middle_of_orders(self):
        """Guards against an entry that ends, with all its requests, when its lease does."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            await scene.fleet.darken(group.record.members[1].server_id)
            fence = node.planner.order_sender.fence
            given = len(scene.fleet.orders)

            def lapse():
                return fence() if len(scene.fleet.orders) <= given + 1 else 0

            node.planner.order_sender.fence = lapse
            node.planner.suspect(group.head.server_id)
            await trio.sleep(5)
            self.assertFalse(node.scope.cancelled_caught)
            self.assertLessEqual(len(scene.fleet.orders), given + 2)
            nursery.cancel_scope.cancel()


class LostOrderTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_groups_stay_whole_while_orders_are_lost_and_come_late(self):
        """Guards against two open groups with one server where orders are late or lost."""
        for seed in range(6):
            with self.subTest(seed=seed):
                await self._lose_orders(seed)

    async def _lose_orders(self, seed):
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery, seed=seed)
            scene.fleet.lose_share = 0.35
            for _ in range(3):
                victims = [g.record.members[1].server_id for g in node.serving("large")[:1]]
                for name in victims:
                    await scene.fleet.darken(name)
                    await trio.sleep(6)
                    await scene.fleet.restart(name)
                for head in scene.fleet.open_groups().values():
                    scene.fleet.run_request(head.name, len(head.members))
            scene.fleet.lose_share = 0.0
            await trio.sleep(45)
            self.assertEqual([], scene.fleet.broken)
            self.assertGreaterEqual(len(node.serving("large")), 2)
            self.assertGreaterEqual(len(node.serving("small")), 2)
            nursery.cancel_scope.cancel()


class RecordTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_group_with_a_restarted_member_is_not_open(self):
        """Guards against requests to a group whose member knows nothing of it any more."""
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            self.assertIs(
                servers.GroupState.OPEN,
                node.registry.servers[group.head.server_id].state_in(group.name, group.epoch),
            )
            await scene.fleet.restart(group.record.members[1].server_id)
            await trio.sleep(0.1)
            self.assertFalse(group.is_open(node.registry))
            nursery.cancel_scope.cancel()
