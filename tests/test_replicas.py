"""Groups are formed, kept whole and taken apart, through losses, kills and lost orders."""

import collections
import unittest
import unittest.mock

import trio

from standins import memory
from tests import clocked, replica_scenes
from toucanhold.registry import servers
from toucanhold.replicas import orders


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
            spares = set(scene.fleet.servers) - node.board.occupied().keys()
            self.assertEqual(4, len(spares))
            self.assertEqual(
                {"large", "small"}, {scene.fleet.servers[name].model for name in spares}
            )
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_large_site_is_planned_in_writes_that_the_store_takes(self):
        """No group forms, and every request is refused.

        The plan of three hundred servers was one write of 62 rows; the store takes 32 and refuses
        the whole, each time anew.
        """
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
        """A head serves requests whatever its members do: nobody but the planner checks them.

        One member takes long to load. The head is ready at once; a request that it got then
        would run in a group that is not whole.
        """
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
        """Callers wait for nothing longer than for the group's next formation.

        A member dies silently. An entry finds the head's streams silent and tells the planner,
        which finds out who does not answer and forms the survivors anew with the spare.
        """
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
        """Callers of a group that lost a member wait a second longer than they need to.

        The head closes and leaves. The leave is done at once, so its answer says that it holds,
        but it counts as an order; and a report asked for right after tells the count of before.
        Two joins were refused, and the third came a second later.
        """
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
        """The head of a group is cut off from everyone while it is open.

        To the planner it looks like a dead one. Its members could serve at once, but a member
        that joins another group while its head is open belongs to two groups.
        """
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
        """A zone is cut off from everyone for ten seconds, with a group that is open in it.

        No order to leave reaches the members, and the head lacks none of them: it does not break
        by itself. When the zone is back, members that joined other groups would be in two.
        """
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
        """A fifth of all servers are cut off from the store, and requests still reach them.

        Their registrations lapse. Groups that were given up for that stood still for seconds, and
        of the large ones nearly all had such a member. One that really dies is noticed by asking.
        """
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
        """A head whose registration has lapsed must get no request, as if it were leaving.

        It can be reached, so it is told to close and leave; its members need not wait until it
        has broken by itself, which takes four seconds.
        """
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
        """All entries are killed and start again.

        Groups serve on meanwhile. A planner that starts from nothing would order joins and tear
        them down; the records tell it which groups there are and of whom.
        """
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
        """The store does not answer the planner, and answers its successor.

        The first one's lease ends. Orders that it gave afterwards would fight the second one's.
        """
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
        """The planner's lease ends while it sends several orders at once.

        The refusal to give orders came out of a nursery as a group of errors, which nobody
        caught. The whole entry ended, with every caller's request in it.
        """
        async with trio.open_nursery() as nursery:
            scene, node = await formed(nursery)
            group = node.serving("large")[0]
            await scene.fleet.darken(group.record.members[1].server_id)
            fence = node.planner.orderer.fence
            given = len(scene.fleet.orders)

            def lapse():
                return fence() if len(scene.fleet.orders) <= given + 1 else 0

            node.planner.orderer.fence = lapse
            node.planner.suspect(group.head.server_id)
            await trio.sleep(5)
            self.assertFalse(node.scope.cancelled_caught)
            self.assertLessEqual(len(scene.fleet.orders), given + 2)
            nursery.cancel_scope.cancel()


class LostOrderTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_groups_stay_whole_while_orders_are_lost_and_come_late(self):
        """A third of all orders gets no answer and is carried out seconds later.

        Members die meanwhile. Callers may wait longer, but no server may come to be in two open
        groups, and no group may take requests before all its members were ready.
        """
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
        """A member restarts under its old name and knows nothing of its group.

        The head still says that it is open. The record names the member's earlier start, so no
        entry sends it anything.
        """
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
