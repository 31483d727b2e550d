"""Forming, repair and teardown of groups under lost servers, planner changes and lost orders."""

import collections
import unittest
import unittest.mock

import trio

from standins import memory, replicas
from tests import clocked, replica_cluster
from toucanhold.coordination import keyvalue
from toucanhold.registry import servers
from toucanhold.replicas import driver, orders, preloading


async def start_formed_cluster(nursery, **options):
    """Start a cluster; return it and its planner once all groups serve and spares are loaded."""
    cluster = replica_cluster.Cluster(nursery, **options)
    await cluster.add_servers()
    node = cluster.start("entry-1")
    expected_groups = cluster.domains
    await cluster.wait_for(lambda: len(node.serving_groups("large")) == expected_groups, 60)
    await cluster.wait_for(lambda: len(node.serving_groups("small")) == expected_groups, 60)
    await trio.sleep(20)
    return cluster, node


class FormingTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_domain_of_nine_gets_a_group_of_each_model_and_two_spares(self):
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            domains = collections.Counter(
                (group.record.model, cluster.fleet.servers[group.head.server_id].domain)
                for group in node.group_table.groups.values()
            )
            self.assertEqual(4, len(domains))
            spares = set(cluster.fleet.servers) - node.group_table.groups_by_server().keys()
            self.assertEqual(4, len(spares))
            self.assertEqual(
                {"large", "small"}, {cluster.fleet.servers[name].model for name in spares}
            )
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_groups_of_a_large_cluster_are_written_within_the_commit_size_limit(self):
        """Guards against one commit of all groups that the store rejects at every attempt."""
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(nursery, domains=34)
            row_counts = []
            commit = memory.MemoryChangeSource.commit

            async def counting_commit(client, conditions, writes):
                row_counts.append(len(conditions) + len(writes))
                return await commit(client, conditions, writes)

            await cluster.add_servers()
            with unittest.mock.patch.object(memory.MemoryChangeSource, "commit", counting_commit):
                node = cluster.start("entry-1")
                await cluster.wait_for(lambda: len(node.group_table.groups) >= 60, 60)
            self.assertLessEqual(max(row_counts), 32)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_heads_are_opened_only_when_every_member_is_ready(self):
        """Guards against a request in a group that is not complete."""
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(nursery, domains=1, per_domain=4)
            await cluster.add_servers()
            for name in ("s00", "s01", "s02"):
                cluster.fleet.servers[name].model = "large"
                await cluster.fleet.register(cluster.fleet.servers[name])
            node = cluster.start("entry-1")
            await cluster.wait_for(lambda: node.serving_groups("large"), 60)
            opened_s = next(
                at_s
                for at_s, _, order in cluster.fleet.sent_orders
                if isinstance(order, orders.Open)
            )
            self.assertGreater(opened_s, 16)
            nursery.cancel_scope.cancel()


class LossTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_lost_member_is_replaced_by_a_spare_within_two_seconds(self):
        """Guards against a group that stalls until the lost member's registration lapses."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            lost = group.record.members[2].server_id
            await cluster.fleet.make_unreachable(lost)
            await trio.sleep(0.3)
            node.planner.suspect(group.head.server_id)
            start_s = trio.current_time()
            await trio.sleep(0.5)
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 2, 10)
            self.assertLess(trio.current_time() - start_s, 2.0)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_pause_of_a_member_does_not_end_its_group(self):
        """Guards against a sound group that is dissolved, with its streams, as a member pauses."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            before = set(node.group_table.groups)
            group = node.serving_groups("large")[0]
            for rank in (0, 2):
                nursery.start_soon(cluster.fleet.pause, group.record.members[rank].server_id, 1.3)
                await trio.sleep(0.2)
                node.planner.suspect(group.head.server_id)
                await trio.sleep(2.0)
                self.assertEqual(before, set(node.group_table.groups))
                self.assertEqual(2, len(node.serving_groups("large")))
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_member_that_stands_still_for_long_is_replaced(self):
        """Guards against a group that is kept for a member that will never go on."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            nursery.start_soon(cluster.fleet.pause, group.record.members[2].server_id, 60)
            await trio.sleep(0.3)
            node.planner.suspect(group.head.server_id)
            start_s = trio.current_time()
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 10)
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 2, 10)
            self.assertLess(trio.current_time() - start_s, 4.0)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_head_that_left_its_group_joins_the_next_one_without_delay(self):
        """Guards against refused joins after a leave has incremented the order count."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            await cluster.fleet.make_unreachable(group.record.members[2].server_id)
            node.planner.suspect(group.head.server_id)
            start_s = trio.current_time()
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 1, 10)
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 2, 10)
            self.assertLess(trio.current_time() - start_s, 1.2)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_members_of_a_partitioned_head_are_not_reused_until_it_has_broken(self):
        """Guards against a member in two groups while its partitioned first head is open."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            await cluster.fleet.make_unreachable(group.head.server_id, "apart")
            node.planner.suspect(group.head.server_id)
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 20)
            await trio.sleep(10)
            self.assertEqual([], cluster.fleet.violations)
            self.assertGreaterEqual(len(node.serving_groups("large")), 1)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_longer_stall_timeout_holds_for_running_groups(self):
        """Guards against members reused while their head works, after a reload of the settings."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            node.planner.stall_s = 9.0
            await cluster.fleet.make_unreachable(group.head.server_id, "apart")
            node.planner.suspect(group.head.server_id)
            await trio.sleep(8)
            self.assertIn(group.name, node.group_table.groups)
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 10)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_group_that_is_partitioned_as_a_whole_is_not_torn_down_meanwhile(self):
        """Guards against members in two groups after the partition of their zone has ended."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            names = [member.server_id for member in group.record.members]
            await cluster.fleet.partition_together(names)
            node.planner.suspect(group.head.server_id)
            await trio.sleep(10)
            for name in names:
                await cluster.fleet.reconnect(name)
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 10)
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 2, 10)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_groups_that_only_the_planner_cannot_reach_are_kept(self):
        """Guards against tearing down groups when two zones are partitioned from each other."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            before = {name for name, group in node.group_table.groups.items()}
            partitioned = [
                name for name, each in cluster.fleet.servers.items() if each.zone == "zone-b"
            ]
            for name in partitioned:
                cluster.fleet.servers[name].mode = "apart"
            heads = [group.head.server_id for group in node.group_table.groups.values()]
            for _ in range(11):
                for head in set(heads) & set(partitioned):
                    node.planner.suspect(head)
                await trio.sleep(0.5)
            for name in partitioned:
                await cluster.fleet.reconnect(name)
            await trio.sleep(1)
            self.assertEqual(before, set(node.group_table.groups))
            self.assertEqual(
                [2, 2], [len(node.serving_groups("large")), len(node.serving_groups("small"))]
            )
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_groups_of_a_partitioned_zone_serve_at_once_after_the_partition(self):
        """Guards against seconds without groups after a zone was partitioned from all others."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            before = {name for name, group in node.group_table.groups.items()}
            partitioned = [
                name for name, each in cluster.fleet.servers.items() if each.zone == "zone-b"
            ]
            await cluster.fleet.partition_together(partitioned)
            await trio.sleep(8)
            for name in partitioned:
                await cluster.fleet.reconnect(name)
            await trio.sleep(0.5)
            self.assertEqual(before, set(node.group_table.groups))
            self.assertEqual(
                [2, 2], [len(node.serving_groups("large")), len(node.serving_groups("small"))]
            )
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_planner_survives_a_head_that_lapses_before_it_opens(self):
        """Guards against a planner process that exits because a head is no longer registered."""
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(nursery)
            await cluster.add_servers()
            refused = unittest.mock.AsyncMock(return_value=orders.OrderOutcome.REFUSED)
            with (
                unittest.mock.patch.object(cluster.fleet.__class__, "_change", refused),
                unittest.mock.patch.object(driver, "ORDER_RETRY_S", 0.1),
            ):
                node = cluster.start("entry-1")
                await trio.sleep(25)
                group, *_ = node.group_table.groups.values()
                await cluster.fleet.make_unreachable(group.head.server_id, "unlisted")
                await trio.sleep(8)
            self.assertTrue(node.planner.may_act())
            remaining = node.group_table.groups.get(group.name)
            self.assertTrue(remaining is None or remaining.is_ending)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_dead_domain_is_not_treated_as_a_partition(self):
        """Guards against keeping groups of dead servers while others in the zone answer."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery, domains=6)
            dead_servers = [
                name for name, each in cluster.fleet.servers.items() if each.domain == "d1"
            ]
            lost = {
                group.name
                for group in node.group_table.groups.values()
                if group.head.server_id in dead_servers
            }
            for name in dead_servers:
                await cluster.fleet.make_unreachable(name)
            for group in [node.group_table.groups[name] for name in lost]:
                node.planner.suspect(group.head.server_id)
            await trio.sleep(1.5)
            ending = {name for name in lost if node.group_table.groups[name].is_ending}
            self.assertEqual(lost, ending)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_group_is_kept_with_a_member_that_is_partitioned_from_the_store(self):
        """Guards against tearing down healthy groups because a registration lapsed."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            member = group.record.members[2].server_id
            await cluster.fleet.make_unreachable(member, "unlisted")
            for _ in range(60):
                await trio.sleep(0.2)
                self.assertIn(group.name, [each.name for each in node.serving_groups("large")])
            await cluster.fleet.make_unreachable(member, "dark")
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 2.5)
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 2, 3)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_head_that_is_partitioned_from_the_store_is_replaced_at_once(self):
        """Guards against members that wait for the stall timeout though the head can be probed."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            await cluster.fleet.make_unreachable(group.head.server_id, "unlisted")
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 1, 8)
            await cluster.wait_for(lambda: len(node.serving_groups("large")) == 2, 2.5)
            members = {
                m.server_id for g in node.group_table.groups.values() for m in g.record.members
            }
            self.assertNotIn(group.head.server_id, members)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_group_of_a_leaving_member_is_formed_again_without_it(self):
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("small")[0]
            leaving = cluster.fleet.servers[group.record.members[1].server_id]
            leaving.is_leaving = True
            await cluster.fleet.register(leaving)
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 10)
            await cluster.wait_for(lambda: len(node.serving_groups("small")) == 2, 10)
            members = {
                m.server_id for g in node.group_table.groups.values() for m in g.record.members
            }
            self.assertNotIn(leaving.name, members)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_requests_of_a_group_that_ends_by_plan_are_finished(self):
        """Guards against streams that are cut off because they run longer than a group may end."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("small")[0]
            head, leaving = (
                cluster.fleet.servers[member.server_id] for member in group.record.members[:2]
            )
            head.busy_until_s = trio.current_time() + 8
            leaving.is_leaving = True
            await cluster.fleet.register(leaving)
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 10)
            self.assertEqual([], cluster.fleet.cut_off_heads)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_member_that_leaves_works_on_for_the_requests_of_its_group(self):
        """Guards against streams cut off because a member that drains accepts no connections."""
        for is_announced in (True, False):
            await self._let_member_leave(is_announced)

    async def _let_member_leave(self, is_announced):
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("small")[0]
            head, leaving = (
                cluster.fleet.servers[member.server_id] for member in group.record.members[:2]
            )
            head.busy_until_s = trio.current_time() + 10
            if is_announced:
                leaving.is_leaving = True
                await cluster.fleet.register(leaving)
            else:
                await cluster.fleet.make_unreachable(leaving.name, "unlisted")
            await trio.sleep(5)
            await cluster.fleet.partition_together([leaving.name])
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 10)
            self.assertEqual([], cluster.fleet.cut_off_heads)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_registration_that_cannot_be_read_does_not_cut_off_a_group(self):
        """Guards against streams that are cut off because a member's record was overwritten."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            for model, rank in (("large", 2), ("small", 0)):
                group = node.serving_groups(model)[0]
                head = cluster.fleet.servers[group.head.server_id]
                head.busy_until_s = trio.current_time() + 4
                key = replicas.REGISTRATIONS_PREFIX + group.record.members[rank].server_id
                await cluster.fleet.store.commit([], [keyvalue.Write(key, b"{")])
                await trio.sleep(1.2)
                await cluster.fleet.register(
                    cluster.fleet.servers[group.record.members[rank].server_id]
                )
                await trio.sleep(4)
            self.assertEqual([], cluster.fleet.cut_off_heads)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_member_that_answers_is_kept_however_long_it_is_unregistered(self):
        """Guards against a sound group that ends when a member has been unlisted for a time."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            member = group.record.members[2].server_id
            await cluster.fleet.make_unreachable(member, "unlisted")
            await trio.sleep(60)
            self.assertIn(group.name, [each.name for each in node.serving_groups("large")])
            await cluster.fleet.make_unreachable(member, "dark")
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 2.5)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_members_stay_with_an_unregistered_head_that_pauses(self):
        """Guards against members taken from a head that finishes its requests after a pause."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            head = cluster.fleet.servers[group.head.server_id]
            head.busy_until_s = trio.current_time() + 16
            await cluster.fleet.make_unreachable(head.name, "unlisted")
            await cluster.wait_for(lambda: node.group_table.groups[group.name].is_ending, 8)
            await trio.sleep(0.5)
            head.mode = "paused"
            await trio.sleep(1.3)
            head.mode = "unlisted"
            await cluster.wait_for(lambda: group.name not in node.group_table.groups, 14)
            self.assertEqual([], cluster.fleet.cut_off_heads)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()


class PlannerChangeTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_next_planner_keeps_complete_groups(self):
        """Guards against a new planner that tears down groups that are serving."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            before = set(node.group_table.groups)
            orders_before = len(cluster.fleet.sent_orders)
            node.kill()
            await trio.sleep(3)
            second = cluster.start("entry-2")
            await cluster.wait_for(second.planner.may_act, 10)
            await trio.sleep(5)
            self.assertEqual(before, set(second.group_table.groups))
            self.assertEqual(orders_before, len(cluster.fleet.sent_orders))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_next_planner_limits_the_loads_of_new_servers(self):
        """Guards against a new planner that lets all new servers load from the store at once."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            node.kill()
            for number in range(12):
                await cluster.fleet.add(f"new{number:02}", "d0", "zone-a")
            orders_before = len(cluster.fleet.sent_orders)
            second = cluster.start("entry-2")
            await cluster.wait_for(second.planner.may_act, 10)
            await trio.sleep(1.5)
            preloaded = {
                order.group
                for _, _, order in cluster.fleet.sent_orders[orders_before:]
                if isinstance(order, orders.Join)
                and order.group.startswith(preloading.SPARE_PREFIX)
            }
            self.assertGreater(len(preloaded), 0)
            self.assertLessEqual(len(preloaded), cluster.engine.max_concurrent_loads)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_next_planner_keeps_groups_with_a_member_that_it_never_saw(self):
        """Guards against streams cut off because an entry that started late becomes planner."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            head = cluster.fleet.servers[group.head.server_id]
            await cluster.fleet.make_unreachable(group.record.members[2].server_id, "unlisted")
            await trio.sleep(8)
            next_node = cluster.start("entry-2")
            await trio.sleep(1)
            head.busy_until_s = trio.current_time() + 12
            node.kill()
            await cluster.wait_for(next_node.planner.may_act, 5)
            await trio.sleep(60)
            self.assertIn(group.name, [each.name for each in next_node.serving_groups("large")])
            self.assertEqual([], cluster.fleet.cut_off_heads)
            await cluster.fleet.make_unreachable(group.record.members[2].server_id, "dark")
            await cluster.wait_for(lambda: group.name not in next_node.group_table.groups, 6)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_next_planner_lets_a_head_that_it_never_saw_finish(self):
        """Guards against streams cut off as a late entry takes over a group that is ending."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            head = cluster.fleet.servers[group.head.server_id]
            head.busy_until_s = trio.current_time() + 25
            await cluster.fleet.make_unreachable(head.name, "unlisted")
            await cluster.wait_for(lambda: node.group_table.groups[group.name].is_ending, 8)
            await trio.sleep(2)
            next_node = cluster.start("entry-2")
            await trio.sleep(1)
            node.kill()
            await cluster.wait_for(next_node.planner.may_act, 5)
            await cluster.wait_for(lambda: group.name not in next_node.group_table.groups, 25)
            self.assertEqual([], cluster.fleet.cut_off_heads)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_next_planner_lets_requests_finish_with_a_member_that_left(self):
        """Guards against streams cut off by a planner that did not see a member leave."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            next_node = cluster.start("entry-2")
            group = node.serving_groups("small")[0]
            head, leaving = (
                cluster.fleet.servers[member.server_id] for member in group.record.members[:2]
            )
            head.busy_until_s = trio.current_time() + 14
            await cluster.fleet.make_unreachable(leaving.name, "unlisted")
            await trio.sleep(5)
            await cluster.fleet.partition_together([leaving.name])
            await cluster.wait_for(lambda: node.group_table.groups[group.name].is_ending, 2)
            await trio.sleep(0.5)
            node.kill()
            await cluster.wait_for(next_node.planner.may_act, 5)
            await cluster.wait_for(lambda: group.name not in next_node.group_table.groups, 14)
            self.assertEqual([], cluster.fleet.cut_off_heads)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_paused_planner_sends_no_orders_after_its_lease_expired(self):
        """Guards against conflicting orders from two planners."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            cluster.platform.set_mode("silent", "entry-1")
            second = cluster.start("entry-2")
            await cluster.wait_for(second.planner.may_act, 10)
            self.assertFalse(node.planner.may_act())
            nursery.cancel_scope.cancel()


class LeaseLossTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_entry_survives_the_loss_of_its_lease_while_it_sends_orders(self):
        """Guards against an entry that exits, and drops its requests, when its lease expires."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            await cluster.fleet.make_unreachable(group.record.members[1].server_id)
            fence = node.planner.order_sender.fence
            orders_before = len(cluster.fleet.sent_orders)

            def fence_after_one_order():
                return fence() if len(cluster.fleet.sent_orders) <= orders_before + 1 else 0

            node.planner.order_sender.fence = fence_after_one_order
            node.planner.suspect(group.head.server_id)
            await trio.sleep(5)
            self.assertFalse(node.scope.cancelled_caught)
            self.assertLessEqual(len(cluster.fleet.sent_orders), orders_before + 2)
            nursery.cancel_scope.cancel()


class LostOrderTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_no_server_is_in_two_groups_while_orders_are_lost_or_delayed(self):
        """Guards against two open groups that share a server when orders are delayed or lost."""
        for seed in range(6):
            with self.subTest(seed=seed):
                await self._run_with_lost_orders(seed)

    async def _run_with_lost_orders(self, seed):
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery, seed=seed)
            cluster.fleet.order_loss_ratio = 0.35
            for _ in range(3):
                failed_members = [
                    g.record.members[1].server_id for g in node.serving_groups("large")[:1]
                ]
                for name in failed_members:
                    await cluster.fleet.make_unreachable(name)
                    await trio.sleep(6)
                    await cluster.fleet.restart(name)
                for head in cluster.fleet.serving_heads().values():
                    cluster.fleet.check_request(head.name, len(head.members))
            cluster.fleet.order_loss_ratio = 0.0
            await trio.sleep(45)
            self.assertEqual([], cluster.fleet.violations)
            self.assertGreaterEqual(len(node.serving_groups("large")), 2)
            self.assertGreaterEqual(len(node.serving_groups("small")), 2)
            nursery.cancel_scope.cancel()


class RecordTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_group_with_a_restarted_member_is_not_open(self):
        """Guards against requests to a group with a member that lost its state in a restart."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = node.serving_groups("large")[0]
            self.assertIs(
                servers.GroupState.OPEN,
                node.server_registry.servers[group.head.server_id].state_in(
                    group.name, group.epoch
                ),
            )
            await cluster.fleet.restart(group.record.members[1].server_id)
            await trio.sleep(0.1)
            self.assertFalse(group.is_open(node.server_registry))
            nursery.cancel_scope.cancel()


class StandInTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_only_members_that_were_never_ready_break_the_rule(self):
        """Guards against a check that blames a head for a member which has just restarted."""
        async with trio.open_nursery() as nursery:
            cluster, node = await start_formed_cluster(nursery)
            group = next(iter(node.group_table.groups.values()))
            fleet, head = cluster.fleet, group.head.server_id
            member = next(name for name in fleet.servers[head].members if name != head)
            size = len(fleet.servers[head].members)
            await fleet.restart(member)
            fleet.check_request(head, size)
            self.assertEqual([], fleet.violations)
            fleet.servers[member].ready_epochs.clear()
            fleet.check_request(head, size)
            self.assertEqual(1, len(fleet.violations))
            nursery.cancel_scope.cancel()
